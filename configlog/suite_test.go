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

// memoryLog is a log whose faults the tests switch.
type memoryLog struct {
	mu       sync.Mutex
	first    uint64
	records  [][]byte // all records ever; those below first are trimmed
	times    []time.Time
	down     bool
	hang     bool // reads and appends wait for the end of their context
	loseNext bool // the answer to the next append is lost after it took effect
	dropNext bool // the next append is lost before it took effect
	calls    int
}

func (l *memoryLog) enter(ctx context.Context) error {
	l.mu.Lock()
	l.calls++
	hang, down := l.hang, l.down
	l.mu.Unlock()
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return &backing.UnavailableError{Service: "log service", Op: "test"}
	}
	return ctx.Err()
}

func (l *memoryLog) Append(ctx context.Context, stream backing.Stream, data []byte) (uint64, error) {
	if err := l.enter(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dropNext {
		l.dropNext = false
		return 0, &backing.UncertainAppendError{Stream: stream, Err: errors.ErrUnsupported}
	}
	l.records, l.times = append(l.records, data), append(l.times, time.Now())
	if l.loseNext {
		l.loseNext = false
		return 0, &backing.UncertainAppendError{Stream: stream, Err: errors.ErrUnsupported}
	}
	return uint64(len(l.records) - 1), nil
}

func (l *memoryLog) Read(ctx context.Context, stream backing.Stream, from uint64, limit int) (backing.Page, error) {
	if err := l.enter(ctx); err != nil {
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

// with changes the log under its lock.
func (l *memoryLog) with(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *memoryLog) trim() { l.with(func() { l.first = uint64(len(l.records)) }) }

// expire drops the records that are older than the retention.
func (l *memoryLog) expire(retention time.Duration) {
	l.with(func() {
		for l.first < uint64(len(l.times)) && time.Since(l.times[l.first]) > retention {
			l.first++
		}
	})
}

func (l *memoryLog) callCount() (n int) {
	l.with(func() { n = l.calls })
	return n
}

// kinds lists the kinds of all records.
func (l *memoryLog) kinds() (kinds []string) {
	l.with(func() {
		for _, data := range l.records {
			kinds = append(kinds, fmt.Sprintf("%T", decode(data)))
		}
	})
	return kinds
}

func sample(queue int) *config.Configuration {
	return &config.Configuration{
		Deployment: "Hűtővissza <test>", MaxInstances: 7, DirectoryLifetimeMs: 30_000,
		Zones: []config.Zone{{Name: "az-1", Region: "r", RoundTripMs: 3}},
		Services: []config.Service{{
			Name:      "orders",
			Classes:   []config.Class{{Name: "status", Priority: config.PriorityInteractive, Idempotent: true, DeadlineMs: 1000}},
			Targets:   []config.Target{{Name: "orders-1", Address: "127.0.0.1:9001", Zone: "az-1", Slots: 2, Connections: 250}},
			ColdStart: config.ColdStart{Bears: 1, DurationMs: 5000}, QueueLimit: queue, RetryPercent: 10,
		}},
	}
}

func proposal(id string, base uint64) config.Publication {
	return config.Publication{ID: id, Base: base, Config: sample(len(id))}
}

const second = time.Second
