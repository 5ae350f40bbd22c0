package peerwire_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/peerwire"
	"fulmarhoist.example/target"
)

// samples returns one message of each kind with all fields set.
func samples() []peerwire.Message {
	header := peerwire.Header{{Name: "Content-Type", Value: "text/plain"}, {Name: "Set-Cookie", Value: "a=1"}}
	peer := instance.Instance{
		ID: "entry-3", Incarnation: 1 << 63, Zone: "az-2", CallerAddress: "127.0.0.1:8003", PeerAddress: "127.0.0.1:9003",
		Sequence: 290_000_000, Epoch: 15, ConfigVersion: 12, Leaving: true, State: instance.StateSuspected,
	}
	short := peer
	short.Zone, short.CallerAddress, short.PeerAddress = "", "", ""
	return []peerwire.Message{
		&peerwire.Hello{
			Identity:  peerwire.Identity{ID: "entry-1", Incarnation: 7, Zone: "az-1", CallerAddress: "c", PeerAddress: "p"},
			Challenge: make([]byte, 32), Purpose: peerwire.PurposeReplace,
		},
		&peerwire.Proof{MAC: []byte{1, 2}},
		&peerwire.Pong{},
		&peerwire.Bye{},
		&peerwire.Heartbeat{Heartbeat: instance.Heartbeat{
			From:   instance.Instance{Sequence: 9, Epoch: 3, ConfigVersion: 4, Leaving: true, State: instance.StateLive},
			Expect: instance.ExpectMore, LogAge: 300 * time.Millisecond, ProbesSent: 2,
			Loads:  []instance.Load{{Target: 3, InFlight: 2, State: target.StateWarm}, {Target: 999, InFlight: 65535, State: target.StateLeaving}},
			Deltas: []instance.Instance{peer, short},
		}},
		&peerwire.ConfigState{Version: 5, State: []byte("state")},
		&peerwire.Forward{ID: 1, Method: "POST", URI: "/refund?x=1", Header: header, Body: []byte("body")},
		&peerwire.ForwardReply{
			ID: 1, Outcome: contract.OutcomeUnknown, Reason: contract.ReasonAnswerLost, RetryAfter: time.Second,
			Owner: "entry-1", Attempts: 2, Replayed: true, Status: 502, Header: header, Body: []byte("x"),
		},
		&peerwire.Busy{ID: 4},
		&peerwire.ColdLeaseRequest{ID: 1, Target: "t", Generation: 2, Holder: "entry-1", Incarnation: 3, Sequence: 4},
		&peerwire.ColdLeaseReply{ID: 1, Verdict: peerwire.VerdictGranted, Holder: "entry-1", HolderIncarnation: 3, Sequence: 4},
		&peerwire.ColdLeaseRelease{Target: "t", Generation: 2, Holder: "entry-1", Incarnation: 3, Sequence: 4},
		&peerwire.CrashReport{Fingerprint: []byte{9}, Target: "t", Generation: 1},
	}
}

var _ = Describe("frames", func() {
	// Guards against fields that are lost or swapped in encoding or decoding.
	It("preserve every message in a round trip", func() {
		for _, m := range samples() {
			frame, err := peerwire.EncodeFrame(m)
			Expect(err).NotTo(HaveOccurred())
			body, err := peerwire.ReadFrame(bytes.NewReader(frame), peerwire.MaxFrameBytes)
			Expect(err).NotTo(HaveOccurred())
			got, err := peerwire.DecodeFrame(body)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(m))
		}
	})

	// Guards against truncated frames that are decoded as shorter messages.
	It("are rejected when truncated at any byte", func() {
		rapid.Check(suiteT, func(t *rapid.T) {
			m := rapid.SampledFrom(samples()).Draw(t, "message")
			frame, _ := peerwire.EncodeFrame(m)
			body := frame[4:]
			cut := rapid.IntRange(0, len(body)-1).Draw(t, "cut")
			if got, err := peerwire.DecodeFrame(body[:cut]); err == nil {
				t.Fatalf("%d of %d bytes decode to %v", cut, len(body), got)
			}
		})
	})

	// Guards against allocations whose size is a length that the peer has claimed.
	It("are rejected above the size limit when encoded and when decoded", func() {
		var size *peerwire.FrameSizeError
		_, err := peerwire.EncodeFrame(&peerwire.ConfigState{State: make([]byte, peerwire.MaxFrameBytes)})
		Expect(errors.As(err, &size)).To(BeTrue())
		head := binary.BigEndian.AppendUint32(nil, peerwire.MaxFrameBytes+1)
		_, err = peerwire.ReadFrame(bytes.NewReader(head), peerwire.MaxFrameBytes)
		Expect(errors.As(err, &size)).To(BeTrue())
		head = binary.BigEndian.AppendUint32(nil, peerwire.MaxFrameBytes)
		_, err = peerwire.ReadFrame(bytes.NewReader(head), peerwire.MaxFrameBytes)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		// An array of 2^31 header fields in a frame of a few bytes.
		_, err = peerwire.DecodeFrame([]byte{0x92, byte(peerwire.KindForward), 0x95, 1, 0xa0, 0xa0, 0xdd, 0x80, 0, 0, 0})
		var list *peerwire.ListSizeError
		Expect(errors.As(err, &list)).To(BeTrue())
	})

	It("distinguish unknown kinds from malformed messages", func() {
		var unknown *peerwire.UnknownKindError
		_, err := peerwire.DecodeFrame([]byte{0x92, 99, 0x90})
		Expect(errors.As(err, &unknown)).To(BeTrue())
	})

	// Guards against leaking the shared key into a log line through any format
	// verb.
	It("do not reveal the shared key when options are formatted", func() {
		key, err := peerwire.NewKey([]byte(secret))
		Expect(err).NotTo(HaveOccurred())
		for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
			Expect(fmt.Sprintf(verb, peerwire.Options{Key: key})).NotTo(Or(ContainSubstring(secret), ContainSubstring("61206b6579"), ContainSubstring("97 32")))
		}
		_, err = peerwire.NewKey([]byte("short"))
		var tooShort *peerwire.KeyError
		Expect(errors.As(err, &tooShort)).To(BeTrue())
	})
})

// FuzzDecodeFrame guards against panics and unbounded allocation on arbitrary
// input, and against messages that change when they are encoded again.
func FuzzDecodeFrame(f *testing.F) {
	for _, m := range samples() {
		frame, err := peerwire.EncodeFrame(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame[4:])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := peerwire.DecodeFrame(data)
		if err != nil {
			return
		}
		first, err := peerwire.EncodeFrame(m)
		if err != nil {
			t.Fatalf("a decoded message does not encode: %v", err)
		}
		again, err := peerwire.DecodeFrame(first[4:])
		if err != nil {
			t.Fatalf("an encoded message does not decode: %v", err)
		}
		second, err := peerwire.EncodeFrame(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("the message changed: %x, then %x", first, second)
		}
	})
}
