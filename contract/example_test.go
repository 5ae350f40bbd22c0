package contract_test

import (
	"fmt"
	"time"

	"fulmarhoist.example/contract"
)

// A request is executed once per key, however often it is resent.
func ExampleLedger() {
	start := time.Unix(0, 0)
	ledger := contract.NewLedger("entry-1", 7, start)
	key := contract.Key{Ticket: ledger.Ticket(start), Name: "reorder-1"}

	entry, first, _ := ledger.Open(start, key)
	fmt.Println("first copy runs:", first)
	ledger.Settle(key, entry, contract.Answer{Status: 200, Body: []byte("done")})

	entry, first, _ = ledger.Open(start.Add(time.Minute), key)
	fmt.Println("second copy runs:", first)
	<-entry.Done()
	fmt.Println("it gets:", string(entry.Answer().Body))

	_, _, err := ledger.Open(start.Add(time.Hour), key)
	fmt.Println("an hour later:", err)
	// Output:
	// first copy runs: true
	// second copy runs: false
	// it gets: done
	// an hour later: too-old: ticket-expired
}
