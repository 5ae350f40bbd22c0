package capacity

import (
	"encoding/json"
	"fmt"
	"testing"

	"fulmarhoist.example/daemon"
)

// BenchmarkDirectory measures the encoding time and the size of a directory
// response, which a caller requests once per directory lifetime.
func BenchmarkDirectory(b *testing.B) {
	for _, count := range []int{7, 90, 200} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			body := daemon.DirectoryBody{Version: 12, LifetimeMs: 30_000}
			for i := range count {
				p := testInstance(start, i)
				body.Instances = append(body.Instances, daemon.DirectoryInstance{ID: p.ID, Zone: p.Zone, Address: p.CallerAddress, Ticket: p.Ticket().String()})
			}
			var data []byte
			for b.Loop() {
				data, _ = json.Marshal(body)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
