package relay

import (
	"context"
	"net"
	"sync"
	"time"
)

// Server answers other instances from the buffers.
type Server struct {
	Buffers Buffers
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
	buffer := s.Buffers[asked.Topic]
	if buffer == nil {
		return answer{}
	}
	wait := min(max(0, time.Duration(asked.WaitMs)*time.Millisecond), maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		f, ok := buffer.since(time.Now(), asked.From)
		switch {
		case !ok:
			return answer{}
		case f.elsewhere:
			return answer{Current: true, Next: asked.From, Elsewhere: true}
		case expired || len(f.batch.Records) > 0:
			return answer{Current: true, Next: f.batch.Next, Records: f.batch.Records}
		}
		select {
		case <-f.changed:
		case <-ctx.Done():
			return answer{}
		case <-timer.C:
			expired = true
		}
	}
}
