package configlog_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarhoist.example/configlog"
)

// TestManyReadersStartAtOnce guards against a reader that selects on a timer
// that has already expired. With the race detector, the runtime aborts the
// process if several goroutines of one synctest bubble do so at the same time
// (docs/PROOFS.md).
func TestManyReadersStartAtOnce(t *testing.T) {
	const bubbles, readers = 300, 8
	for range bubbles {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			log := &memoryLog{}
			var wg sync.WaitGroup
			for range readers {
				r := configlog.NewReader(log, configlog.Options{})
				wg.Go(func() { r.Run(ctx) })
			}
			time.Sleep(20 * time.Second)
			cancel()
			wg.Wait()
		})
	}
}
