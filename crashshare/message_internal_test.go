package crashshare

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/fleet"
	"fulmarhoist.example/frame"
)

func newTestSharer() *Sharer {
	return New(Options{
		Roster: fleet.NewRoster(fleet.Member{Name: "a"}), Port: "1", Logger: zerolog.New(io.Discard),
		CountSent: func(string, bool) {}, CountDropped: func() {},
	})
}

// Guards against a message that loses crashes on its way, or that an instance of a
// later version cannot send because of fields that are unknown here.
func TestMessagesKeepWhatTheySay(t *testing.T) {
	RegisterTestingT(t)
	crashed, answered := contract.NewFingerprint("a", "", "", "", nil), contract.NewFingerprint("b", "", "", "", nil)
	sent := message{Kind: kindReport}
	sent.add([]contract.CrashReport{{Fingerprint: crashed, Target: "t1", Age: 3 * time.Second}})
	sent.addCleared(answered)
	data, err := msgpack.Marshal(&sent)
	Expect(err).NotTo(HaveOccurred())
	var received message
	Expect(frame.Decode(data, received.decode)).To(Succeed())
	Expect(received.Kind).To(Equal(kindReport))
	Expect(received.reports()).To(Equal([]contract.CrashReport{{Fingerprint: crashed, Target: "t1", Age: 3 * time.Second}}))
	Expect(received.cleared()).To(Equal([]contract.Fingerprint{answered}))
	data, err = msgpack.Marshal(map[string]any{"kind": 3, "later": "text"})
	Expect(err).NotTo(HaveOccurred())
	var later message
	Expect(frame.Decode(data, later.decode)).To(Succeed())
	Expect(later.Kind).To(Equal(kindQuery))
}

// Guards against a stranger whose message ends the process, fills the table with
// targets that have no name, or makes a crash count for longer than one that happens
// now.
func TestOddMessagesAreSkipped(t *testing.T) {
	RegisterTestingT(t)
	s := newTestSharer()
	good := contract.NewFingerprint("a", "", "", "", nil)
	odd := &message{Kind: kindNotice, Crashes: []crash{
		{Fingerprint: []byte("short"), Target: "t1"},
		{Fingerprint: good[:]},
		{Fingerprint: good[:], Target: strings.Repeat("x", maxTargetBytes+1)},
		{Fingerprint: good[:], Target: "t1", AgeMs: -1 << 62},
		{Fingerprint: good[:], Target: "t2", AgeMs: 1 << 62},
	}, Cleared: [][]byte{nil, []byte("short")}}
	now := time.Now()
	s.handle(context.Background(), now, odd, "stranger")
	Expect(s.crashes.Targets(now, good)).To(Equal([]string{"t1"}))
	Expect(s.crashes.Targets(now.Add(contract.FingerprintLifetime), good)).To(BeEmpty())
	Expect(s.handle(context.Background(), now, &message{Kind: 99}, "stranger").empty()).To(BeTrue())
	for _, data := range []string{"\x81\xa7crashes\xdd\xff\xff\xff\xff", "\x81\xa7cleared\x91\xc6\xff\xff\xff\xff", strings.Repeat("\x91", 1_000_000)} {
		Expect(frame.Decode([]byte(data), (&message{}).decode)).NotTo(Succeed())
	}
}

// Guards against a stranger that holds a connection with a message that never ends.
func TestServerEndsAConnectionWithAMalformedMessage(t *testing.T) {
	RegisterTestingT(t)
	for _, data := range []string{"\xff\xff\xff\xff", "\x00\x00\x00\x04abcd", "GET / HTTP/1.1\r\n\r\n"} {
		client, conn := net.Pipe()
		ended := make(chan struct{})
		go func() { newTestSharer().serve(context.Background(), conn); close(ended) }()
		go func() { _, _ = io.WriteString(client, data) }()
		Eventually(ended, "2s").Should(BeClosed())
		_ = client.Close()
	}
}

// FuzzMessage guards against a message that makes the process panic.
func FuzzMessage(f *testing.F) {
	sent := message{Kind: kindReport}
	sent.add([]contract.CrashReport{{Target: "t1"}})
	data, _ := msgpack.Marshal(&sent)
	f.Add(data)
	f.Add([]byte("\x81\xa7crashes\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var received message
		framed := append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
		if frame.Read(bytes.NewReader(framed), maxMessageBytes, received.decode) == nil {
			newTestSharer().merge(time.Now(), &received, "")
		}
	})
}
