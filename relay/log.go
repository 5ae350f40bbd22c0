package relay

import (
	"context"
	"fmt"
	"time"

	"fulmarhoist.example/feed"
)

// Log reads one topic: through the instance that relays it if there is one, and
// from the store otherwise. What it reads from the store goes into the buffer. It
// implements feed.Log for one follower; all fields are set before the first call.
type Log struct {
	Client
	Store  feed.Log
	Buffer *Buffer
}

// Newest implements feed.Log.
func (l *Log) Newest(ctx context.Context, topic string) (feed.Batch, error) {
	batch, err := l.Store.Newest(ctx, topic)
	if err != nil {
		return batch, fmt.Errorf("read from the store: %w", err)
	}
	l.Buffer.Heard(time.Now())
	l.Buffer.Reset(batch.Next)
	return batch, nil
}

// Read implements feed.Log.
func (l *Log) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (feed.Batch, error) {
	end := time.Now().Add(wait)
	for ctx.Err() == nil {
		address := l.relay(time.Now())
		if address == "" {
			break
		}
		got, err := l.poll(ctx, address, topic, from)
		if err != nil && ctx.Err() != nil {
			l.disconnect()
			return feed.Batch{}, fmt.Errorf("read from the relay: %w", ctx.Err())
		}
		if err != nil {
			l.giveUp(time.Now(), address, err)
			break
		}
		if got.Elsewhere {
			break
		}
		if len(got.Records) > 0 || time.Now().After(end) {
			return feed.Batch{Records: got.Records, Next: got.Next}, nil
		}
	}
	batch, err := l.Store.Read(ctx, topic, from, wait)
	if err != nil {
		return batch, fmt.Errorf("read from the store: %w", err)
	}
	l.Buffer.Heard(time.Now())
	l.Buffer.Add(from, batch.Records)
	return batch, nil
}
