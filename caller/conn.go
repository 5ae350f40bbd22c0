package caller

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// sealed marks a connection that must not be written any more.
const sealed = -1

// conn counts writes, so that the end of an exchange can tell for certain
// whether a byte of the request was written. One atomic word holds the number
// of writes or sealed.
type conn struct {
	net.Conn
	writes atomic.Int64
}

func (c *conn) Write(b []byte) (int, error) {
	for {
		n := c.writes.Load()
		if n == sealed {
			return 0, net.ErrClosed
		}
		if c.writes.CompareAndSwap(n, n+1) {
			return c.Conn.Write(b)
		}
	}
}

// seal returns true if nothing was written since the count was taken, and then
// prevents all later writes: a writer that still holds the request cannot send
// it after the decision that it was not sent.
func (c *conn) seal(count int64) bool { return c.writes.CompareAndSwap(count, sealed) }

// flight follows one request through the connections that net/http uses for it.
// net/http may resend a request on a fresh connection by itself.
type flight struct {
	taken []takenConn
	// untraced means that a connection of an unknown type was used.
	untraced bool
}

type takenConn struct {
	conn  *conn
	count int64
}

// trace returns a context in which net/http reports its connections. GotConn is
// called on the goroutine of RoundTrip.
func (f *flight) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*conn)
			if !ok {
				f.untraced = true
				return
			}
			f.taken = append(f.taken, takenConn{c, c.writes.Load()})
		},
	})
}

// certainlyNotSent tells, after a failed exchange, whether no connection had a
// byte of the request written to it; none will from then on.
func (f *flight) certainlyNotSent() bool {
	notSent := !f.untraced
	for _, t := range f.taken {
		notSent = t.conn.seal(t.count) && notSent
	}
	return notSent
}

// sentBefore tells whether a connection before the last one may have carried
// the request.
func (f *flight) sentBefore() bool {
	if f.untraced {
		return true
	}
	for n := range max(0, len(f.taken)-1) {
		if !f.taken[n].conn.seal(f.taken[n].count) {
			return true
		}
	}
	return false
}
