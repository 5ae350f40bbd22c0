package peerwire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/instance"
)

const (
	// maxQueuedFrames and maxQueuedBytes limit the send queue to a slow peer: two
	// frames of the maximum size, or a few minutes of heartbeats.
	maxQueuedFrames = 512
	maxQueuedBytes  = 2 * (MaxFrameBytes + lengthPrefixBytes)
	// writeTimeout limits the time to write one batch of frames.
	writeTimeout = 10 * time.Second
	// SilenceTimeout is how long the peer may send nothing after a frame was
	// sent to it, before the connection is considered silent.
	SilenceTimeout = 3 * instance.HeartbeatInterval
	// pongThreshold is how long this side must have written nothing for it to
	// reply to a heartbeat with a Pong. Peers that both send heartbeats to each
	// other do not need one.
	pongThreshold = instance.HeartbeatInterval * 3 / 2
	ioBufferBytes = 16 << 10
)

// Conn is one connection to a peer after the handshake. Its methods are safe
// for concurrent use.
type Conn struct {
	Peer Identity

	nc          net.Conn
	dialerID    string // ID of the side that dialed
	openedAt    time.Time
	count       *counters
	queue       chan []byte // encoded frames; nil makes writeLoop close the connection
	queuedBytes atomic.Int64
	done        chan struct{}
	closeOnce   sync.Once
	retiring    chan struct{} // makes writeLoop close gracefully after retirePeriod

	// lastWrite and unansweredSince are nanoseconds since openedAt.
	// unansweredSince is the time of the first write, after the last frame read,
	// of a frame that the peer must reply to or acknowledge. It is 0 if there was
	// none.
	lastWrite         atomic.Int64
	unansweredSince   atomic.Int64
	lastUsed          atomic.Int64 // when the connection was last needed, in nanoseconds since openedAt
	activeRequests    atomic.Int64 // requests in flight, in both directions
	closingGracefully atomic.Bool  // one of the sides is closing the connection intentionally

	nextID  atomic.Uint64
	mu      sync.Mutex // guards pending
	pending map[uint64]chan reply
}

func newConn(nc net.Conn, peer Identity, dialerID string, count *counters) *Conn {
	return &Conn{
		Peer: peer, nc: nc, dialerID: dialerID, openedAt: time.Now(), count: count,
		queue: make(chan []byte, maxQueuedFrames), done: make(chan struct{}),
		retiring: make(chan struct{}, 1),
		pending:  map[uint64]chan reply{},
	}
}

// Close closes the connection immediately. Pending requests return a
// *ConnectionLostError.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.nc.Close()
	})
}

// closeGracefully queues a Bye and closes the connection once everything that
// is queued has been written.
func (c *Conn) closeGracefully() {
	c.closingGracefully.Store(true)
	if c.Send(&Bye{}) != nil || c.enqueue(nil) != nil {
		c.Close()
	}
}

// retire closes the connection gracefully after retirePeriod, so that replies
// to requests in flight still arrive.
func (c *Conn) retire() {
	c.closingGracefully.Store(true)
	select {
	case c.retiring <- struct{}{}:
	default:
	}
}

func (c *Conn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// Send queues a message without blocking. A *NoConnectionError, *OverflowError
// or *FrameSizeError means that the message was not sent.
func (c *Conn) Send(m Message) error {
	frame, err := EncodeFrame(m)
	if err != nil {
		return err
	}
	return c.enqueue(frame)
}

// enqueue adds the size of the frame to queuedBytes before it queues the frame,
// so that concurrent senders cannot exceed maxQueuedBytes together.
func (c *Conn) enqueue(frame []byte) error {
	if c.closed() {
		return &NoConnectionError{Peer: c.Peer.ID}
	}
	size := int64(len(frame))
	for {
		queued := c.queuedBytes.Load()
		if queued+size > maxQueuedBytes {
			c.count.overflows.Add(1)
			return &OverflowError{Peer: c.Peer.ID, Queued: queued}
		}
		if c.queuedBytes.CompareAndSwap(queued, queued+size) {
			break
		}
	}
	select {
	case c.queue <- frame:
		return nil
	default:
		c.count.overflows.Add(1)
		return &OverflowError{Peer: c.Peer.ID, Queued: c.queuedBytes.Add(-size)}
	}
}

// request sends a request and waits for its reply. A *ConnectionLostError or an
// error of ctx means that the peer may have received the request.
func (c *Conn) request(ctx context.Context, m request) (reply, error) {
	c.activeRequests.Add(1)
	defer c.activeRequests.Add(-1)
	c.markUsed()
	id := c.nextID.Add(1)
	m.setID(id)
	replies := make(chan reply, 1)
	c.mu.Lock()
	c.pending[id] = replies
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
	}()
	if err := c.Send(m); err != nil {
		return nil, err
	}
	select {
	case got := <-replies:
		return got, nil
	case <-c.done:
		return nil, &ConnectionLostError{Peer: c.Peer.ID}
	case <-ctx.Done():
		return nil, fmt.Errorf("waiting for a reply from %s: %w", c.Peer.ID, ctx.Err())
	}
}

// resolve passes a reply to the pending request with its ID. The reply is
// dropped if the request no longer waits.
func (c *Conn) resolve(m reply) {
	c.mu.Lock()
	replies := c.pending[m.requestID()]
	delete(c.pending, m.requestID())
	c.mu.Unlock()
	if replies != nil {
		replies <- m
	}
}

// run reads and delivers messages until the connection ends. It returns after
// writeLoop has returned.
func (c *Conn) run(deliver func(Message)) error {
	var writer sync.WaitGroup
	writer.Go(c.writeLoop)
	err := c.readLoop(deliver)
	c.Close()
	writer.Wait()
	return err
}

func (c *Conn) readLoop(deliver func(Message)) error {
	br := bufio.NewReaderSize(c.nc, ioBufferBytes)
	for {
		frame, err := ReadFrame(br, MaxFrameBytes)
		if err != nil {
			return c.readError(err)
		}
		c.unansweredSince.Store(0)
		c.count.framesReceived.Add(1)
		c.count.bytesReceived.Add(uint64(len(frame) + lengthPrefixBytes))
		m, err := DecodeFrame(frame)
		var unknown *UnknownKindError
		if errors.As(err, &unknown) {
			c.count.skipped.Add(1)
			continue
		}
		if err != nil {
			return c.readError(err)
		}
		c.dispatch(m, deliver)
	}
}

// readError wraps an error that ends the connection and counts invalid frames.
func (c *Conn) readError(err error) error {
	var size *FrameSizeError
	var format *FormatError
	if errors.As(err, &size) || errors.As(err, &format) {
		c.count.malformed.Add(1)
	}
	return fmt.Errorf("reading from %s: %w", c.Peer.ID, err)
}

func (c *Conn) dispatch(m Message, deliver func(Message)) {
	switch m := m.(type) {
	case *Pong:
		return
	case *Bye:
		c.closingGracefully.Store(true)
		return
	case reply:
		c.resolve(m)
		return
	case *Heartbeat:
		if c.age()-time.Duration(c.lastWrite.Load()) > pongThreshold {
			c.sendPong()
		}
	default:
		c.sendPong()
	}
	deliver(m)
}

// sendPong shows the peer that its frames arrive. If the queue is full, the
// frames in it serve the same purpose.
func (c *Conn) sendPong() { _ = c.Send(&Pong{}) }

// writeLoop writes queued frames until the connection ends. Frames that are
// queued at the same time are written as one batch.
func (c *Conn) writeLoop() {
	defer c.Close()
	out := bufio.NewWriterSize(c.nc, ioBufferBytes)
	var retired <-chan time.Time
	for {
		select {
		case <-c.done:
			return
		case <-c.retiring:
			retired = time.After(retirePeriod)
		case <-retired:
			c.closeGracefully()
		case frame := <-c.queue:
			if !c.writeBatch(out, frame) {
				return
			}
		}
	}
}

// writeBatch writes frame and all frames queued after it. It returns false if
// writeLoop must return.
func (c *Conn) writeBatch(out *bufio.Writer, frame []byte) bool {
	defer func() { _ = c.nc.SetWriteDeadline(time.Time{}) }()
	expectsReply := false
	for {
		// Each frame has its own deadline: a batch goes on while frames are queued.
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if frame == nil {
			_ = out.Flush()
			return false
		}
		expectsReply = expectsReply || frameKind(frame) != KindPong
		_, err := out.Write(frame)
		c.queuedBytes.Add(-int64(len(frame)))
		if err != nil {
			return false
		}
		c.count.framesSent.Add(1)
		c.count.bytesSent.Add(uint64(len(frame)))
		select {
		case frame = <-c.queue:
		default:
			if out.Flush() != nil {
				return false
			}
			now := int64(c.age())
			c.lastWrite.Store(now)
			if expectsReply {
				c.unansweredSince.CompareAndSwap(0, now)
			}
			return true
		}
	}
}

func (c *Conn) age() time.Duration { return max(1, time.Since(c.openedAt)) }

// silentFor returns how long the oldest unanswered frame has been waiting, or 0
// if there is none.
func (c *Conn) silentFor() time.Duration {
	since := c.unansweredSince.Load()
	if since == 0 {
		return 0
	}
	return c.age() - time.Duration(since)
}

// markUsed restarts the idle time of the connection.
func (c *Conn) markUsed() { c.lastUsed.Store(int64(c.age())) }

// idleFor returns the time since the connection was last needed, 0 while
// requests are in flight.
func (c *Conn) idleFor() time.Duration {
	if c.activeRequests.Load() > 0 {
		return 0
	}
	return c.age() - time.Duration(c.lastUsed.Load())
}
