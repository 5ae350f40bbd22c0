package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fulmarhoist.example/feed"
)

// Log reads one topic through the relay if there is one, and from the store
// otherwise. Records that Read gets are added to the buffer. Log implements feed.Log
// for a single follower. All fields must be set before the
// first call.
type Log struct {
	Client
	Store  feed.Log
	Buffer *Buffer

	downSince time.Time // when Read first found the store down or last called it since; zero while it is up
}

// downReadInterval is the time between two reads from the store while neither the
// relay nor this instance reaches it. Membership renewals, which are cheaper,
// normally tell sooner that it is back.
const downReadInterval = 6 * time.Second

// Newest implements feed.Log. It always reads from the store.
func (l *Log) Newest(ctx context.Context, topic string) (feed.Batch, error) {
	batch, err := l.Store.Newest(ctx, topic)
	if err != nil {
		return batch, fmt.Errorf("read topic %s from the store: %w", topic, err)
	}
	l.Buffer.RecordStoreResponse(time.Now())
	l.Buffer.Reset(batch.Next)
	return batch, nil
}

// Read implements feed.Log. It reads from the store if the relay fails or does not
// hold the records. It returns a *StaleError if neither the relay nor this instance
// reaches the store.
func (l *Log) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (feed.Batch, error) {
	deadline := time.Now().Add(wait)
	for ctx.Err() == nil {
		address := l.activeRelay(time.Now())
		if address == "" {
			break
		}
		resp, err := l.poll(ctx, address, topic, from)
		if err != nil && ctx.Err() != nil {
			l.disconnect()
			return feed.Batch{}, fmt.Errorf("read topic %s from relay at %s: %w", topic, address, ctx.Err())
		}
		var stale *StaleError
		if errors.As(err, &stale) && l.waitsAtRelay(ctx) {
			return feed.Batch{}, err
		}
		if err != nil {
			l.dropRelay(time.Now(), address, err)
			continue // with the next relay, if there is one
		}
		if resp.readStore {
			break
		}
		// Other instances may read through this one, while their lists of members
		// differ or if the relay fails.
		l.Buffer.RecordStoreResponse(time.Now())
		l.Buffer.Add(from, resp.Records)
		if len(resp.Records) > 0 || time.Now().After(deadline) {
			return resp.Batch, nil
		}
	}
	batch, err := l.Store.Read(ctx, topic, from, wait)
	if err != nil {
		return batch, fmt.Errorf("read topic %s from the store: %w", topic, err)
	}
	l.Buffer.RecordStoreResponse(time.Now())
	l.Buffer.Add(from, batch.Records)
	return batch, nil
}

// waitsAtRelay reports whether to go on asking a relay that does not reach the store:
// this instance does not reach it either, and has not tried for a while.
func (l *Log) waitsAtRelay(ctx context.Context) bool {
	if !l.StoreDown() {
		l.downSince = time.Time{}
		return !l.StoreResponds(ctx)
	}
	now := time.Now()
	if l.downSince.IsZero() || now.Sub(l.downSince) >= downReadInterval {
		mayRead := !l.downSince.IsZero()
		l.downSince = now
		return !mayRead
	}
	return true
}
