package caller

import (
	"errors"
	"net"
	"testing"
)

// discardConn is a connection that discards all written bytes.
type discardConn struct{ net.Conn }

func (discardConn) Write(b []byte) (int, error) { return len(b), nil }

// Guards against reporting "not sent" for a request that was written to an
// earlier connection, and against a write after "not sent" was reported.
func TestConnTrackerDetectsWrites(t *testing.T) {
	written, unwritten := &conn{Conn: discardConn{}}, &conn{Conn: discardConn{}}
	tracker := connTracker{used: []usedConn{{written, 0}, {unwritten, 0}}}
	if _, err := written.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if tracker.certainlyNotSent() {
		t.Error("certainlyNotSent() = true, want false: the first connection was written to")
	}
	if !tracker.sentBefore() {
		t.Error("sentBefore() = false, want true: the connection before the last one was written to")
	}
	if _, err := unwritten.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Write to a sealed connection returned %v, want %v", err, net.ErrClosed)
	}
	fresh := &conn{Conn: discardConn{}}
	unwrittenTracker := connTracker{used: []usedConn{{fresh, 0}}}
	if !unwrittenTracker.certainlyNotSent() {
		t.Error("certainlyNotSent() = false, want true: nothing was written")
	}
	if !(&connTracker{}).certainlyNotSent() {
		t.Error("certainlyNotSent() = false, want true: no connection was used")
	}
}
