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
	// queueFrames and queueBytes bound what waits for a slow peer: two of the
	// largest frames, or some minutes of heartbeats.
	queueFrames = 512
	queueBytes  = 2 * (MaxFrame + lengthBytes)
	// writeTimeout ends a connection whose peer takes no byte for this long.
	writeTimeout = 10 * time.Second
	// SilentAfter is how long a sent frame may go without any frame from the
	// peer.
	SilentAfter = 3 * instance.HeartbeatInterval
	// pongAfter is how long this side has written nothing when it answers a
	// heartbeat with a pong. Peers that send each other heartbeats need none.
	pongAfter = instance.HeartbeatInterval * 3 / 2
	ioBuffer  = 16 << 10
)

// Conn is one connection to a peer after the handshake. Any goroutine may send.
type Conn struct {
	Peer Identity

	nc      net.Conn
	dialer  string // ID of the side that dialed
	opened  time.Time
	count   *counters
	queue   chan []byte // a nil frame asks the writer to close
	queued  atomic.Int64
	done    chan struct{}
	close   sync.Once
	onClose atomic.Pointer[time.Timer]

	// lastWrite and unanswered are nanoseconds since opened. Unanswered is when
	// the first frame that calls for an answer was written after the last one
	// read, 0 if none was.
	lastWrite  atomic.Int64
	unanswered atomic.Int64
	lastUse    atomic.Int64 // when the connection was last wanted, same unit
	running    atomic.Int64 // requests under way, in both directions
	onPurpose  atomic.Bool  // one of the sides closes deliberately

	nextID  atomic.Uint64
	mu      sync.Mutex // guards pending
	pending map[uint64]chan reply
}

func newConn(nc net.Conn, peer Identity, dialer string, count *counters) *Conn {
	return &Conn{
		Peer: peer, nc: nc, dialer: dialer, opened: time.Now(), count: count,
		queue: make(chan []byte, queueFrames), done: make(chan struct{}),
		pending: map[uint64]chan reply{},
	}
}

// Close ends the connection at once. Requests that wait on it get a *LostError.
func (c *Conn) Close() {
	c.close.Do(func() {
		close(c.done)
		_ = c.nc.Close()
		if timer := c.onClose.Load(); timer != nil {
			timer.Stop()
		}
	})
}

// finish says goodbye, writes what is queued, and closes.
func (c *Conn) finish() {
	c.onPurpose.Store(true)
	if c.Send(&Bye{}) != nil || c.enqueue(nil) != nil {
		c.Close()
	}
}

// retire finishes the connection later, so that replies under way arrive.
func (c *Conn) retire(after time.Duration) {
	c.onPurpose.Store(true)
	timer := time.AfterFunc(after, c.finish)
	c.onClose.Store(timer)
	if c.closed() {
		timer.Stop()
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

// Send queues a message and returns at once. A *NoConnectionError,
// *OverflowError or *FrameSizeError means that nothing was sent.
func (c *Conn) Send(m Message) error {
	frame, err := EncodeFrame(m)
	if err != nil {
		return err
	}
	return c.enqueue(frame)
}

// enqueue reserves room for the frame before it queues it, so that the bound on
// bytes holds for concurrent senders.
func (c *Conn) enqueue(frame []byte) error {
	if c.closed() {
		return &NoConnectionError{Peer: c.Peer.ID}
	}
	size := int64(len(frame))
	for {
		queued := c.queued.Load()
		if queued+size > queueBytes {
			c.count.overflows.Add(1)
			return &OverflowError{Peer: c.Peer.ID, Queued: queued}
		}
		if c.queued.CompareAndSwap(queued, queued+size) {
			break
		}
	}
	select {
	case c.queue <- frame:
		return nil
	default:
		c.count.overflows.Add(1)
		return &OverflowError{Peer: c.Peer.ID, Queued: c.queued.Add(-size)}
	}
}

// request sends a request and waits for its reply. A *LostError or an error of
// the context means that the peer may have got the request.
func (c *Conn) request(ctx context.Context, m request) (reply, error) {
	c.running.Add(1)
	defer c.running.Add(-1)
	c.use()
	id := c.nextID.Add(1)
	m.setID(id)
	answer := make(chan reply, 1)
	c.mu.Lock()
	c.pending[id] = answer
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
	case got := <-answer:
		return got, nil
	case <-c.done:
		return nil, &LostError{Peer: c.Peer.ID}
	case <-ctx.Done():
		return nil, fmt.Errorf("waiting for a reply of %s: %w", c.Peer.ID, ctx.Err())
	}
}

// settle hands a reply to the request that waits for it. A late reply is
// dropped.
func (c *Conn) settle(m reply) {
	c.mu.Lock()
	answer := c.pending[m.requestID()]
	delete(c.pending, m.requestID())
	c.mu.Unlock()
	if answer != nil {
		answer <- m
	}
}

// run reads until the connection ends and returns after its writer has ended.
func (c *Conn) run(deliver func(Message)) error {
	var writer sync.WaitGroup
	writer.Go(c.write)
	err := c.readAll(deliver)
	c.Close()
	writer.Wait()
	return err
}

func (c *Conn) readAll(deliver func(Message)) error {
	in := bufio.NewReaderSize(c.nc, ioBuffer)
	for {
		frame, err := ReadFrame(in, MaxFrame)
		if err != nil {
			return c.ended(err)
		}
		c.unanswered.Store(0)
		c.count.framesReceived.Add(1)
		c.count.bytesReceived.Add(uint64(len(frame) + lengthBytes))
		m, err := DecodeFrame(frame)
		var unknown *UnknownKindError
		if errors.As(err, &unknown) {
			c.count.skipped.Add(1)
			continue
		}
		if err != nil {
			return c.ended(err)
		}
		c.dispatch(m, deliver)
	}
}

// ended counts frames that are not of the protocol.
func (c *Conn) ended(err error) error {
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
		c.onPurpose.Store(true)
		return
	case reply:
		c.settle(m)
		return
	case *Beat:
		if c.sinceOpened()-time.Duration(c.lastWrite.Load()) > pongAfter {
			c.pong()
		}
	default:
		c.pong()
	}
	deliver(m)
}

// pong shows the peer that its frames arrive. If the queue is full, what is in
// it shows the same.
func (c *Conn) pong() { _ = c.Send(&Pong{}) }

// write sends queued frames until the connection ends. Frames that are queued
// together go out together.
func (c *Conn) write() {
	defer c.Close()
	out := bufio.NewWriterSize(c.nc, ioBuffer)
	for {
		select {
		case <-c.done:
			return
		case frame := <-c.queue:
			if !c.writeBatch(out, frame) {
				return
			}
		}
	}
}

// writeBatch writes a frame and those behind it and tells whether to go on.
func (c *Conn) writeBatch(out *bufio.Writer, frame []byte) bool {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	calls := false
	for {
		if frame == nil {
			_ = out.Flush()
			return false
		}
		calls = calls || frameKind(frame) != KindPong
		_, err := out.Write(frame)
		c.queued.Add(-int64(len(frame)))
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
			now := int64(c.sinceOpened())
			c.lastWrite.Store(now)
			if calls {
				c.unanswered.CompareAndSwap(0, now)
			}
			return true
		}
	}
}

func (c *Conn) sinceOpened() time.Duration { return max(1, time.Since(c.opened)) }

// silentFor returns how long the oldest unanswered frame has waited.
func (c *Conn) silentFor() time.Duration {
	since := c.unanswered.Load()
	if since == 0 {
		return 0
	}
	return c.sinceOpened() - time.Duration(since)
}

// use keeps the connection from being closed as idle.
func (c *Conn) use() { c.lastUse.Store(int64(c.sinceOpened())) }

// idleFor returns the time since the connection was last wanted or used.
func (c *Conn) idleFor() time.Duration {
	if c.running.Load() > 0 {
		return 0
	}
	return c.sinceOpened() - time.Duration(c.lastUse.Load())
}
