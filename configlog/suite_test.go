package configlog_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/config"
)

var suiteT *testing.T

func TestConfiglog(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "configlog")
}

// memoryLog is an in-memory log with fault injection.
type memoryLog struct {
	mu               sync.Mutex
	first            uint64
	records          [][]byte // all records ever appended; those below first are trimmed
	appendTimes      []time.Time
	unavailable      bool
	hang             bool // reads and appends block until their context ends
	loseNextResponse bool // the next append takes effect, but its response is lost
	dropNextAppend   bool // the next append is lost without taking effect
	calls            int
}

// startCall counts a call and fails or blocks it as the injected faults say.
func (l *memoryLog) startCall(ctx context.Context) error {
	l.mu.Lock()
	l.calls++
	hang, unavailable := l.hang, l.unavailable
	l.mu.Unlock()
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if unavailable {
		return &backing.UnavailableError{Service: "log service", Op: "test"}
	}
	return ctx.Err()
}

func (l *memoryLog) Append(ctx context.Context, stream backing.Stream, data []byte) (uint64, error) {
	if err := l.startCall(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dropNextAppend {
		l.dropNextAppend = false
		return 0, &backing.UncertainAppendError{Stream: stream, Err: errors.ErrUnsupported}
	}
	l.records, l.appendTimes = append(l.records, data), append(l.appendTimes, time.Now())
	if l.loseNextResponse {
		l.loseNextResponse = false
		return 0, &backing.UncertainAppendError{Stream: stream, Err: errors.ErrUnsupported}
	}
	return uint64(len(l.records) - 1), nil
}

func (l *memoryLog) Read(ctx context.Context, stream backing.Stream, from uint64, limit int) (backing.Page, error) {
	if err := l.startCall(ctx); err != nil {
		return backing.Page{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.first {
		return backing.Page{}, &backing.TrimmedError{Stream: stream, From: from, First: l.first}
	}
	page := backing.Page{First: l.first, Next: uint64(len(l.records))}
	for o := from; o < page.Next && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, backing.Record{Offset: o, Data: l.records[o]})
	}
	return page, nil
}

// locked calls change with the lock of the log held.
func (l *memoryLog) locked(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// trimAll drops all records.
func (l *memoryLog) trimAll() { l.locked(func() { l.first = uint64(len(l.records)) }) }

// trimOlderThan drops the records that are older than the retention period.
func (l *memoryLog) trimOlderThan(retention time.Duration) {
	l.locked(func() {
		for l.first < uint64(len(l.appendTimes)) && time.Since(l.appendTimes[l.first]) > retention {
			l.first++
		}
	})
}

func (l *memoryLog) callCount() (n int) {
	l.locked(func() { n = l.calls })
	return n
}

// recordTypes returns the Go types of all records ever appended.
func (l *memoryLog) recordTypes() (types []string) {
	l.locked(func() {
		for _, data := range l.records {
			types = append(types, fmt.Sprintf("%T", decode(data)))
		}
	})
	return types
}

// sampleConfig returns a valid configuration. The queue limit distinguishes one
// sample from another.
func sampleConfig(queueLimit int) *config.Configuration {
	return &config.Configuration{
		Deployment: "Hűtővissza <test>", MaxInstances: 7, DirectoryLifetimeMs: 30_000,
		Zones: []config.Zone{{Name: "az-1", Region: "r", RoundTripMs: 3}},
		Services: []config.Service{{
			Name:      "orders",
			Classes:   []config.Class{{Name: "status", Priority: config.PriorityInteractive, Idempotent: true, DeadlineMs: 1000}},
			Targets:   []config.Target{{Name: "orders-1", Address: "127.0.0.1:9001", Zone: "az-1", Slots: 2, Connections: 250}},
			ColdStart: config.ColdStart{MaxConcurrent: 1, DurationMs: 5000}, QueueLimit: queueLimit, RetryPercent: 10,
		}},
	}
}

// newPublication returns a valid publication; its queue limit is the length of
// id.
func newPublication(id string, base uint64) config.Publication {
	return config.Publication{ID: id, Base: base, Config: sampleConfig(len(id))}
}

const second = time.Second
