package configlog_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarhoist.example/configlog"
)

// Guards against a reader that selects on a timer that is due when it gets there.
// The race detector's part of the runtime ends the process when goroutines of one
// synctest bubble do so at the same moment (docs/PROOFS.md).
func TestManyReadersStartAtOnce(t *testing.T) {
	const bubbles, readers = 300, 8
	for range bubbles {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			log := &memoryLog{}
			var running sync.WaitGroup
			for range readers {
				r := configlog.NewReader(log, configlog.Options{})
				running.Go(func() { r.Run(ctx) })
			}
			time.Sleep(20 * time.Second)
			cancel()
			running.Wait()
		})
	}
}
