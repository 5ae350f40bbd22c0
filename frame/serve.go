package frame

import (
	"context"
	"net"
	"sync"
)

// ServeConns calls the function on a goroutine of its own for each connection that it
// accepts, until the context is canceled or accepting fails. It closes a connection
// when the function returns, and the listener and all connections when the context is
// canceled. It returns when all functions have returned.
func ServeConns(ctx context.Context, listener net.Listener, serve func(ctx context.Context, conn net.Conn)) {
	var group sync.WaitGroup
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			break
		}
		group.Go(func() {
			defer func() { _ = conn.Close() }()
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stop()
			serve(ctx, conn)
		})
	}
	group.Wait()
}
