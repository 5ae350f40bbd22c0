package hop

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Back-off of RetryListener after consecutive failures.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 100 * time.Millisecond
)

// RetryListener is a listener whose Accept waits and tries again after a failure that
// passes, such as a lack of file descriptors. Such a failure must not end the
// process: it would lose all requests of the connections that are open.
type RetryListener struct {
	net.Listener
	// OnRetry is called for the first of several failures in a row; it may be nil.
	OnRetry func(err error)
}

// Accept implements net.Listener.
func (l *RetryListener) Accept() (net.Conn, error) {
	for backoff := time.Duration(0); ; {
		conn, err := l.Listener.Accept()
		if err == nil || !isTransient(err) {
			return conn, err
		}
		if backoff == 0 && l.OnRetry != nil {
			l.OnRetry(err)
		}
		backoff = min(max(minAcceptBackoff, 2*backoff), maxAcceptBackoff)
		<-time.After(backoff)
	}
}

// isTransient reports whether a later call of Accept may succeed.
func isTransient(err error) bool {
	for _, transient := range [...]syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EPROTO,
	} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
