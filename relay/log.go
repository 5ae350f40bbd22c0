package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"fulmarhoist.example/feed"
)

// Log reads one topic: through the instance that relays it if there is one, and
// from the store otherwise. What it reads from the store goes into the buffer. It
// implements feed.Log for one follower; all fields are set before the first call.
type Log struct {
	Store  feed.Log
	Buffer *Buffer
	// Relay returns the address of the instance that reads for this one, or "" if
	// it reads for itself.
	Relay func() string
	// Lost is told that a relay was given up.
	Lost func(address string, err error)

	mu     sync.Mutex
	conn   net.Conn
	peer   string    // address of conn
	direct time.Time // read from the store until then
}

const (
	// pollWait is how long one question waits at the relay, and pollMargin how much
	// longer its answer may take. A relay that has stopped must be noticed well
	// within the two seconds in which changes are to be known.
	pollWait   = 400 * time.Millisecond
	pollMargin = 300 * time.Millisecond
	// directFor is how long this instance reads for itself after a relay failed.
	directFor = 3 * time.Second
)

// StaleError reports a relay that has not heard from the store for too long.
type StaleError struct {
	Address string
}

func (e *StaleError) Error() string { return "relay at " + e.Address + " cannot tell" }

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
		got, err := l.poll(ctx, address, question{Topic: topic, From: from, WaitMs: pollWait.Milliseconds()})
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

// relay returns the address of the relay to ask now, or "".
func (l *Log) relay(now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.direct) {
		return ""
	}
	return l.Relay()
}

func (l *Log) giveUp(now time.Time, address string, err error) {
	l.disconnect()
	l.mu.Lock()
	l.direct = now.Add(directFor)
	l.mu.Unlock()
	l.Lost(address, err)
}

// disconnect closes the connection: an answer that was not waited for would be
// taken for the next one.
func (l *Log) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// poll asks the relay once.
func (l *Log) poll(ctx context.Context, address string, asked question) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollMargin)
	defer cancel()
	conn, err := l.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := writeFrame(conn, &asked); err != nil {
		return nil, err
	}
	var got answer
	if err := readFrame(conn, &got); err != nil {
		return nil, err
	}
	if !got.Current {
		return nil, &StaleError{address}
	}
	return &got, nil
}

// connect returns the connection to the relay, and opens one if there is none.
func (l *Log) connect(ctx context.Context, address string) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.peer == address {
		return l.conn, nil
	}
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to the relay: %w", err)
	}
	l.conn, l.peer = conn, address
	return conn, nil
}
