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

// keyDecoder decodes every value to an entry of the key, except "odd".
type keyDecoder struct{}

func (keyDecoder) OperatorKey(string) OperatorKey         { return OperatorKey{} }
func (keyDecoder) Config([]byte) (*routing.Config, error) { return nil, errors.ErrUnsupported }
func (keyDecoder) Target(_ time.Time, id string, value []byte) (registry.Entry, error) {
	if string(value) == "odd" {
		return registry.Entry{}, errors.ErrUnsupported
	}
	return registry.Entry{ID: id, Address: "10.0.0.1:80", Service: "orders", Zone: "az-1", Slots: 2, StartedAtMs: 1}, nil
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

// Guards against removing live targets at once after the store has lost data: new
// targets in the same listing hid the lost ones from the count.
func TestApplierCountsLostTargetsOfAListingWithNewOnes(t *testing.T) {
	RegisterTestingT(t)
	a := newTestApplier()
	a.apply(feed.Event{Topic: "targets", Listing: true, Records: entries(0, 10)})
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
