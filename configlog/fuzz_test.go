package configlog_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
	"fulmarhoist.example/configlog"
)

// FuzzDecode guards against a record that makes a reader panic, and against one
// that changes when an instance decodes and encodes it again.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"kind":"publication","id":"p1","base":3,"config":{"deployment":"d","zones":[{"name":"az-1","round_trip_ms":1.5}]}}`,
		`{"kind":"checkpoint","state":{"version":1,"id":"p1","offset":2,"config":null},"as_of":3,"written_at_ms":-1}`,
		`{"kind":"other"}`, `{"kind":1}`, `[]`, `null`, "", `{"kind":"publication","base":-1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		record := configlog.Decode(data)
		if unreadable, ok := record.(config.Unreadable); ok {
			g.Expect(unreadable.Reason).NotTo(BeEmpty())
			return
		}
		encoded, err := configlog.Encode(record)
		if err != nil {
			return // the record grew above its size limit
		}
		decoded := configlog.Decode(encoded)
		g.Expect(decoded).To(BeAssignableToTypeOf(record))
		reencoded, err := configlog.Encode(decoded)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reencoded).To(Equal(encoded))
	})
}
