package caller

import (
	"errors"
	"net"
	"testing"
)

// sink is a connection that takes all bytes.
type sink struct{ net.Conn }

func (sink) Write(b []byte) (int, error) { return len(b), nil }

// Guards against "not sent" for a request that an earlier connection carried,
// and against a write after the decision that nothing was sent.
func TestFlightKnowsWhatWasWritten(t *testing.T) {
	written, unwritten := &conn{Conn: sink{}}, &conn{Conn: sink{}}
	f := flight{taken: []takenConn{{written, 0}, {unwritten, 0}}}
	if _, err := written.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if f.certainlyNotSent() {
		t.Error("the first connection was written")
	}
	if !f.sentBefore() {
		t.Error("the connection before the last one was written")
	}
	if _, err := unwritten.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("write after the decision gives %v", err)
	}
	fresh := &conn{Conn: sink{}}
	only := flight{taken: []takenConn{{fresh, 0}}}
	if !only.certainlyNotSent() {
		t.Error("nothing was written")
	}
	if !(&flight{}).certainlyNotSent() {
		t.Error("there was no connection")
	}
}
