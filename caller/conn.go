package caller

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// sealed is the value of conn.writes after further writes have been disabled.
const sealed = -1

// conn is a connection that counts writes, so that after a failed exchange it
// is certain whether any byte of the request was written. A single atomic word
// holds either the number of writes or the value sealed.
type conn struct {
	net.Conn
	writes atomic.Int64
}

// Write returns net.ErrClosed if the connection is sealed.
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

// seal disables further writes and returns true if the number of writes is
// still the given one. This keeps a goroutine that still holds the request from
// writing it after the request was found not to have been sent.
func (c *conn) seal(writes int64) bool { return c.writes.CompareAndSwap(writes, sealed) }

// connTracker records the connections that net/http uses for one request.
// net/http may resend a request on a new connection by itself.
type connTracker struct {
	used []usedConn
	// untracked means that a connection was used that does not count writes.
	untracked bool
}

// usedConn is a connection that net/http has assigned to a request.
type usedConn struct {
	conn         *conn
	writesBefore int64 // number of writes when it was assigned
}

// trace returns a context that makes net/http report the connections it uses.
// The fields need no lock because net/http calls GotConn on the goroutine of
// RoundTrip.
func (t *connTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*conn)
			if !ok {
				t.untracked = true
				return
			}
			t.used = append(t.used, usedConn{c, c.writes.Load()})
		},
	})
}

// certainlyNotSent reports, after a failed exchange, whether no byte of the
// request was written to any connection. It seals the connections without
// writes, so that none is written later.
func (t *connTracker) certainlyNotSent() bool {
	notSent := !t.untracked
	for _, u := range t.used {
		notSent = u.conn.seal(u.writesBefore) && notSent
	}
	return notSent
}

// sentBefore reports whether the request may have been written to a connection
// before the last one. It seals the earlier connections that were not written
// to.
func (t *connTracker) sentBefore() bool {
	if t.untracked {
		return true
	}
	for n := range max(0, len(t.used)-1) {
		if !t.used[n].conn.seal(t.used[n].writesBefore) {
			return true
		}
	}
	return false
}
