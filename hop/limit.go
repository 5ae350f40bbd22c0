package hop

import (
	"net"
	"sync/atomic"
)

// Unlimited is a limit in bytes that is never reached in practice.
const Unlimited = 1 << 62

// HeaderTooLongError reports that the limit of a LimitedConn has been reached,
// that is, that a header is too long.
type HeaderTooLongError struct{}

func (*HeaderTooLongError) Error() string { return "header exceeds the size limit" }

// LimitedConn limits the number of bytes that can be read from a connection until
// the limit is set again. It is used for headers, whose length is not known in
// advance.
type LimitedConn struct {
	net.Conn
	remaining atomic.Int64 // bytes that may still be read
}

// SetLimit sets the number of bytes that may be read from now on.
func (l *LimitedConn) SetLimit(bytes int64) { l.remaining.Store(bytes) }

// Read implements net.Conn. It returns a *HeaderTooLongError once the limit is
// reached.
func (l *LimitedConn) Read(p []byte) (int, error) {
	remaining := l.remaining.Load()
	if remaining <= 0 {
		return 0, &HeaderTooLongError{}
	}
	if int64(len(p)) > remaining {
		p = p[:remaining]
	}
	n, err := l.Conn.Read(p)
	l.remaining.Add(-int64(n))
	return n, err
}
