package contract_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"fulmarhoist.example/contract"
)

// FuzzParseKey guards against a key that changes when an instance writes it and
// the owner reads it again: the same request would have two entries.
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
		written := key.String()
		if len(written) > contract.MaxKeyBytes {
			return // a short form of the incarnation was padded
		}
		g.Expect(contract.ParseKey(written)).To(Equal(key))
	})
}
