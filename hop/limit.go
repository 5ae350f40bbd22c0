package hop

import (
	"net"
	"sync/atomic"
)

// Unlimited is a limit that no message reaches.
const Unlimited = 1 << 62

// TooLongError reports a header that is longer than the limit.
type TooLongError struct{}

func (*TooLongError) Error() string { return "the header is too long" }

// LimitedConn is a connection from which at most a number of bytes can be read
// until the limit is set anew. It bounds headers, whose length nobody announces.
type LimitedConn struct {
	net.Conn
	left atomic.Int64
}

// SetLimit sets how many bytes may still be read.
func (l *LimitedConn) SetLimit(bytes int64) { l.left.Store(bytes) }

// Read implements net.Conn.
func (l *LimitedConn) Read(p []byte) (int, error) {
	left := l.left.Load()
	if left <= 0 {
		return 0, &TooLongError{}
	}
	if int64(len(p)) > left {
		p = p[:left]
	}
	n, err := l.Conn.Read(p)
	l.left.Add(-int64(n))
	return n, err
}
