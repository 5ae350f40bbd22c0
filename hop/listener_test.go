package hop_test

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"fulmarhoist.example/hop"
)

// failingListener returns the errors in order, then a connection.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, err
}

// Guards against a process that ends because it has no free file descriptor for a
// moment.
func TestRetryListenerWaitsWhileThereAreNoDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		noDescriptor := &net.OpError{Op: "accept", Err: syscall.EMFILE}
		reported := 0
		l := &hop.RetryListener{
			Listener: &failingListener{errors: []error{noDescriptor, noDescriptor, syscall.ECONNABORTED}}, OnRetry: func(error) { reported++ },
		}
		began := time.Now()
		conn, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		Expect(conn).NotTo(BeNil())
		Expect(reported).To(Equal(1))
		Expect(time.Since(began)).To(Equal(35 * time.Millisecond))
	})
}

// Guards against an accept loop that does not end when its listener is closed.
func TestRetryListenerReturnsTheErrorOfAClosedListener(t *testing.T) {
	RegisterTestingT(t)
	_, err := (&hop.RetryListener{Listener: &failingListener{errors: []error{net.ErrClosed}}}).Accept()
	Expect(err).To(MatchError(net.ErrClosed))
}
