package node

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"fulmarhoist.example/feed"
	"fulmarhoist.example/registry"
	"fulmarhoist.example/routing"
	"fulmarhoist.example/targetconn"
)

// keyDecoder decodes every value to an entry of the key, except "odd"; the target of
// the value "draining" drains.
type keyDecoder struct{}

func (keyDecoder) OperatorKey(string) OperatorKey         { return OperatorKey{} }
func (keyDecoder) Config([]byte) (*routing.Config, error) { return nil, errors.ErrUnsupported }
func (keyDecoder) Target(_ time.Time, id string, value []byte) (registry.Entry, error) {
	if string(value) == "odd" {
		return registry.Entry{}, errors.ErrUnsupported
	}
	return registry.Entry{ID: id, Address: "10.0.0.1:80", Service: "orders", Zone: "az-1", Slots: 2, StartedAtMs: 1, Draining: string(value) == "draining"}, nil
}

func newTestApplier() *applier {
	return &applier{
		topics: Topics{Targets: "targets"}, decoder: keyDecoder{}, pools: targetconn.NewPools(targetconn.PoolOptions{}),
		registry: registry.New(registry.Options{
			RetryPercent: func() int { return 10 }, RetryMinimum: func() int { return 1 },
			PacingInterval: func(string, *routing.Service) time.Duration { return 0 },
		}),
		storeHealth: feed.NewHealth(), logger: zerolog.New(io.Discard), listed: make(chan struct{}), ready: make(chan struct{}),
	}
}

func entries(from, to int) (records []feed.Record) {
	for i := from; i < to; i++ {
		records = append(records, feed.Record{Key: fmt.Sprintf("i-%d", i), Value: []byte("good")})
	}
	return records
}

// removals returns records that remove the entries of entries(from, to).
func removals(from, to int) (records []feed.Record) {
	for _, record := range entries(from, to) {
		records = append(records, feed.Record{Key: record.Key, Deleted: true})
	}
	return records
}

// Guards against requests to targets that have left, because many entries disappeared
// in one read: this was taken for an effect of an outage of the store, although there
// was none, and the targets stayed in use for nearly two seconds more.
func TestApplierRemovesManyTargetsAtOnceWhileTheStoreIsWell(t *testing.T) {
	const targets = 36
	drained := entries(0, 17)
	for i := range drained {
		drained[i].Value = []byte("draining")
	}
	for name, c := range map[string]struct {
		before []feed.Record // applied before the event
		event  feed.Event
		left   int
	}{
		"some of them had announced it":           {drained, feed.Event{Records: removals(0, 20)}, 16},
		"none of them had announced it":           {nil, feed.Event{Records: removals(0, 18)}, 18},
		"all targets":                             {nil, feed.Event{Records: removals(0, targets)}, 0},
		"a listing lacks them":                    {nil, feed.Event{Records: entries(20, targets), Listing: true}, 16},
		"a listing lacks them and has other ones": {nil, feed.Event{Records: entries(20, targets+20), Listing: true}, 36},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			a := newTestApplier()
			a.registry.SetConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "orders"}}})
			a.apply(feed.Event{Topic: "targets", Listing: true, Records: entries(0, targets)})
			a.apply(feed.Event{Topic: "targets", Records: c.before})
			c.event.Topic = "targets"
			a.apply(c.event)
			a.refresh(time.Now())
			Expect(a.registry.Candidates()).To(Equal(c.left))
		})
	}
}

// Guards against removing live targets at once whose entries have expired in an outage
// of the store, in a listing that has as many new ones.
func TestApplierKeepsTargetsThatAListingLacksAfterAnOutage(t *testing.T) {
	RegisterTestingT(t)
	a := newTestApplier()
	a.apply(feed.Event{Topic: "targets", Listing: true, Records: entries(0, 10)})
	now := time.Now()
	a.storeHealth.RecordFailure(now, now)
	a.storeHealth.RecordSuccess(time.Now())
	a.apply(feed.Event{Topic: "targets", Listing: true, Records: entries(5, 15)})
	Expect(a.registry.IDs()).To(HaveLen(15), "the lost ones are kept for a while")
	a.apply(feed.Event{Topic: "targets", Listing: true, Records: entries(6, 15)})
	a.refresh(time.Now().Add(time.Minute))
	Expect(a.registry.IDs()).To(HaveLen(9))
}

// Guards against an odd entry among good ones that keeps these from being followed.
func TestApplierFollowsGoodEntriesAmongOddOnes(t *testing.T) {
	RegisterTestingT(t)
	a := newTestApplier()
	odd := feed.Record{Key: "i-0", Value: []byte("odd")}
	a.apply(feed.Event{Topic: "targets", Listing: true, Records: append([]feed.Record{odd}, entries(1, 4)...)})
	Expect(a.registry.IDs()).To(Equal([]string{"i-1", "i-2", "i-3"}))
	a.apply(feed.Event{Topic: "targets", Records: append(entries(4, 6), feed.Record{Key: "i-1", Value: []byte("odd")}, feed.Record{Deleted: true})})
	Expect(a.registry.IDs()).To(Equal([]string{"i-2", "i-3", "i-4", "i-5"}), "an odd entry names no target to use")
}
