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

	readStoreAt time.Time // when the latest read from the store began
}

// downReadInterval is the minimum time between two reads from the store while
// neither the relay nor this instance reaches it. Membership renewals, which are
// cheaper, normally tell sooner that it is back.
const downReadInterval = 3 * time.Second

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
		if errors.As(err, &stale) && l.StoreDown() && time.Since(l.readStoreAt) < downReadInterval {
			return feed.Batch{}, err
		}
		if err != nil {
			l.dropRelay(time.Now(), address, err)
			break
		}
		if resp.readStore {
			break
		}
		// Other instances may take this one for the relay while their lists of
		// members differ.
		l.Buffer.Add(from, resp.Records)
		if len(resp.Records) > 0 || time.Now().After(deadline) {
			return resp.Batch, nil
		}
	}
	l.readStoreAt = time.Now()
	batch, err := l.Store.Read(ctx, topic, from, wait)
	if err != nil {
		return batch, fmt.Errorf("read topic %s from the store: %w", topic, err)
	}
	l.Buffer.RecordStoreResponse(time.Now())
	l.Buffer.Add(from, batch.Records)
	return batch, nil
}
