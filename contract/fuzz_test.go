package contract_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"fulmarhoist.example/contract"
)

// FuzzParseKey guards against a key that changes when one instance formats it
// and the owning instance parses it: the ledger would hold two entries for the
// same request, which could then run twice.
func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{
		"entry-1.00c0ffee00c0ffee.3/reorder-1", "a.b.c.1.2/x/y", "e.1.0/x", "/", "e..0/x", "e.ffffffffffffffff.18446744073709551615/\x00",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		g := NewWithT(t)
		key, err := contract.ParseKey(text)
		if err != nil {
			return
		}
		g.Expect(key.IsZero()).To(BeFalse())
		g.Expect(key.Ticket.Instance).NotTo(BeEmpty())
		formatted := key.String()
		if len(formatted) > contract.MaxKeyBytes {
			return // String pads the incarnation to 16 digits, which made the key too long
		}
		g.Expect(contract.ParseKey(formatted)).To(Equal(key))
	})
}
