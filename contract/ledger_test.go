package contract_test

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/contract"
)

var _ = Describe("Ledger", func() {
	start := time.Unix(1_000_000, 0)
	var ledger *contract.Ledger

	BeforeEach(func() { ledger = contract.NewLedger("entry-1", 7, start) })

	key := func(name string, now time.Time) contract.Key {
		return contract.Key{Ticket: ledger.Ticket(now), Name: name}
	}

	// Guards against executing two copies of a request that arrive concurrently.
	It("opens a key first for exactly one of many concurrent copies", func() {
		k := key("reorder-1", start)
		var firsts atomic.Int32
		var group sync.WaitGroup
		for range 64 {
			group.Go(func() {
				_, first, err := ledger.Open(start, k)
				if err == nil && first {
					firsts.Add(1)
				}
			})
		}
		group.Wait()
		Expect(firsts.Load()).To(Equal(int32(1)))
	})

	// Guards against executing a request again after the ledger has dropped its
	// entry.
	It("refuses a key as too old as soon as its epoch has expired", func() {
		k := key("refund-1", start)
		_, first, err := ledger.Open(start, k)
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(BeTrue())

		last := start.Add(contract.ValidEpochs*contract.EpochLength - time.Nanosecond)
		_, first, err = ledger.Open(last, k)
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(BeFalse())

		_, _, err = ledger.Open(last.Add(time.Nanosecond), k)
		var refusal *contract.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Outcome).To(Equal(contract.OutcomeTooOld))
	})

	// Guards against executing a request whose ticket another incarnation issued.
	It("does not open keys of another incarnation", func() {
		k := key("booking-1", start)
		k.Ticket.Incarnation++
		_, _, err := ledger.Open(start, k)
		var notOwner *contract.NotOwnerError
		Expect(errors.As(err, &notOwner)).To(BeTrue())
	})
})
