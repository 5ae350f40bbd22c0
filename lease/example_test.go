package lease_test

import (
	"fmt"
	"time"

	"fulmarhoist.example/lease"
)

// An instance that has the consent of all others holds the lease on a cold
// target. The others refuse the lease to anyone else, and it expires unless it
// is renewed.
func Example() {
	now := time.Unix(100, 0)
	a, b := lease.Participant{Instance: "a", Incarnation: 1}, lease.Participant{Instance: "b", Incarnation: 2}
	granterA, granterB := lease.NewGranter(), lease.NewGranter()
	requester := lease.NewRequester(a, "orders-1")

	if granterA.HandleRequest(now, requester.NextRequest(), a, time.Second) == lease.ReplyGranted {
		for _, request := range requester.BeginRound(now, []lease.Participant{b}) {
			reply := granterB.HandleRequest(now, request, a, time.Second)
			requester.HandleReply(now, b, request.Round, reply, 0)
		}
	}
	fmt.Println("holds the lease:", now.Before(requester.ExpiresAt()))
	fmt.Println("b acquires it too:", granterB.HandleRequest(now, lease.Request{Target: "orders-1", Round: 1}, b, time.Second) == lease.ReplyGranted)
	fmt.Println("holds it 3 s later without renewal:", now.Add(3*time.Second).Before(requester.ExpiresAt()))
	// Output:
	// holds the lease: true
	// b acquires it too: false
	// holds it 3 s later without renewal: false
}
