package relay

import (
	"context"
	"net"
	"sync"
	"time"
)

// Server answers other instances from a buffer.
type Server struct {
	Buffer *Buffer
}

const (
	// idleTimeout ends a connection on which nothing is asked.
	idleTimeout = 10 * time.Second
	// replyTimeout bounds the time in which an answer is taken.
	replyTimeout = 2 * time.Second
	// maxWait bounds the wait that a question may ask for.
	maxWait = time.Second
)

// Serve accepts connections until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	var group sync.WaitGroup
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			break
		}
		group.Go(func() { s.serve(ctx, conn) })
	}
	group.Wait()
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var asked question
		if readFrame(conn, &asked) != nil {
			return
		}
		reply := s.answer(ctx, &asked)
		_ = conn.SetWriteDeadline(time.Now().Add(replyTimeout))
		if writeFrame(conn, &reply) != nil {
			return
		}
	}
}

// answer waits for records as long as the question allows.
func (s *Server) answer(ctx context.Context, asked *question) answer {
	wait := min(max(0, time.Duration(asked.WaitMs)*time.Millisecond), maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, ok := s.Buffer.since(time.Now(), asked.From)
		if !ok {
			return answer{}
		}
		if len(batch.Records) > 0 {
			return answer{Current: true, Next: batch.Next, Records: batch.Records}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return answer{}
		case <-timer.C:
			batch, _, ok = s.Buffer.since(time.Now(), asked.From)
			return answer{Current: ok, Next: batch.Next, Records: batch.Records}
		}
	}
}
