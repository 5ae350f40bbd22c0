package lease_test

import (
	"fmt"
	"time"

	"fulmarhoist.example/lease"
)

// An instance that has the consent of all others holds the lease on a cold target.
func Example() {
	now := time.Unix(100, 0)
	a, b := lease.Holder{Instance: "a", Incarnation: 1}, lease.Holder{Instance: "b", Incarnation: 2}
	ownGranter, granterOfB := lease.NewGranter(), lease.NewGranter()
	asker := lease.NewAsker(a, "orders-1")

	if ownGranter.Ask(now, asker.Next(), a, time.Second) == lease.ReplyGranted {
		for _, request := range asker.Begin(now, []lease.Holder{b}) {
			reply := granterOfB.Ask(now, request, a, time.Second)
			asker.Answered(now, b, request.Round, reply, 0)
		}
	}
	fmt.Println("holds the lease:", now.Before(asker.Until()))
	fmt.Println("b gives it to itself:", granterOfB.Ask(now, lease.Request{Target: "orders-1", Round: 1}, b, time.Second) == lease.ReplyGranted)
	fmt.Println("holds it after a pause of 3 s:", now.Add(3*time.Second).Before(asker.Until()))
	// Output:
	// holds the lease: true
	// b gives it to itself: false
	// holds it after a pause of 3 s: false
}
