package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"fulmarhoist.example/feed"
	"fulmarhoist.example/fleet"
	"fulmarhoist.example/frame"
)

// Guards against an instance of an earlier version that takes a compressed value for
// a plain one during an upgrade.
func TestServerSendsNoCompressedValueToAnEarlierVersion(t *testing.T) {
	RegisterTestingT(t)
	buffer := NewBuffer()
	now := time.Now()
	buffer.RecordStoreResponse(now)
	buffer.read(now, 0)
	buffer.Add(0, []feed.Record{{Key: "a", Value: bytes.Repeat([]byte("x"), 10_000)}})
	server := &Server{Buffers: Buffers{"t": buffer}}
	earlier := server.respond(context.Background(), &request{Topic: "t"})
	Expect(earlier.Current).To(BeTrue())
	Expect(earlier.ReadStore).To(BeTrue())
	Expect(earlier.Records).To(BeEmpty())
	current := server.respond(context.Background(), &request{Topic: "t", Deflate: true})
	Expect(current.Records).To(HaveLen(1))
}

// Guards against messages of an earlier version that cannot be read, and the reverse.
func TestRecordsKeepTheirNamesInMessages(t *testing.T) {
	RegisterTestingT(t)
	data, err := msgpack.Marshal(&wireRecord{Key: "a", Value: []byte("v"), Deleted: true})
	Expect(err).NotTo(HaveOccurred())
	var earlier feed.Record
	Expect(msgpack.Unmarshal(data, &earlier)).To(Succeed())
	Expect(earlier).To(Equal(feed.Record{Key: "a", Value: []byte("v"), Deleted: true}))
}

// Guards against a peer that makes this instance reserve or decompress any amount of
// memory.
func TestMessagesAreBounded(t *testing.T) {
	RegisterTestingT(t)
	var tooLong *frame.SizeError
	message := binary.BigEndian.AppendUint32(nil, 1_000_000_000)
	Expect(errors.As(frame.Read(bytes.NewReader(message), maxResponseBytes, (&response{}).decode), &tooLong)).To(BeTrue())
	message = binary.BigEndian.AppendUint32(nil, maxRequestBytes+1)
	Expect(errors.As(frame.Read(bytes.NewReader(message), maxRequestBytes, (&request{}).decode), &tooLong)).To(BeTrue())
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	Expect(err).NotTo(HaveOccurred())
	zeros := make([]byte, 1<<20)
	for range maxValueBytes>>20 + 1 {
		_, _ = w.Write(zeros)
	}
	Expect(w.Close()).To(Succeed())
	_, err = inflateRecords([]wireRecord{{Key: "a", Value: bomb.Bytes(), Deflated: true}})
	var tooLarge *ValueSizeError
	Expect(errors.As(err, &tooLarge)).To(BeTrue())
}

// Guards against a message that ends the process: lists and values that claim to be
// longer than the message made the decoder reserve up to 200 GB, and a nested unknown
// field exhausted the stack.
func TestDecoderRefusesMessagesThatClaimOrNestTooMuch(t *testing.T) {
	RegisterTestingT(t)
	nested := strings.Repeat("\x91", 1_000_000)
	var problem *frame.MessageError
	for _, message := range []string{
		"\x81\xa7records\xdd\xff\xff\xff\xff", "\x81\xa7records\x91\x81\xa5Value\xc6\xff\xff\xff\xffabc",
		"\x81\xa7records\x91\x81\xa3Key\xdb\xff\xff\xff\xffabc", "\xdf\xff\xff\xff\xff\xa1x\x01", "\x81\xa7unknown" + nested, nested,
	} {
		Expect(errors.As(frame.Decode([]byte(message), (&response{}).decode), &problem)).To(BeTrue(), "%.40q", message)
		Expect(errors.As(frame.Decode([]byte(message), (&request{}).decode), &problem)).To(BeTrue(), "%.40q", message)
	}
	for _, message := range []string{"\xdd\xff\xff\xff\xff", "\x91\x81\xa4Name\xdb\xff\xff\xff\xff", "\x91\x81\xa1x" + nested} {
		_, err := decodeMembers([]byte(message))
		Expect(errors.As(err, &problem)).To(BeTrue(), "%.40q", message)
	}
}

// Guards against a list of members that every instance of a large fleet reads from the
// store at each change, because it is too large for the relay.
func TestListOfManyMembersIsRelayed(t *testing.T) {
	RegisterTestingT(t)
	var members []fleet.Member
	for i := range 1000 {
		name := fmt.Sprintf("front-zone-%d-%d", i%5, i)
		members = append(members, fleet.Member{
			Name: name, Zone: fmt.Sprintf("zone-%d", i%5), Address: fmt.Sprintf("10.%d.0.%d:8126", i%5, i), Relay: fmt.Sprintf("10.%d.0.%d:7660", i%5, i),
		})
	}
	value, err := msgpack.Marshal(members)
	Expect(err).NotTo(HaveOccurred())
	kept := newBufferedRecord(feed.Record{Key: TopicMembers, Value: value}, true)
	Expect(kept.valueDropped).To(BeFalse())
	records, err := inflateRecords([]wireRecord{kept.record})
	Expect(err).NotTo(HaveOccurred())
	Expect(decodeMembers(records[0].Value)).To(Equal(members))
}

// Guards against an upgrade in which instances cannot read each other's messages.
func TestDecoderSkipsUnknownFieldsOfLaterVersions(t *testing.T) {
	RegisterTestingT(t)
	data, err := msgpack.Marshal(map[string]any{"topic": "t", "later": "text", "later_number": 7, "from": 3, "nothing": nil})
	Expect(err).NotTo(HaveOccurred())
	var req request
	Expect(frame.Decode(data, req.decode)).To(Succeed())
	Expect(req).To(Equal(request{Topic: "t", From: 3}))
}

// Guards against a stranger that holds a connection to the relay with a request that
// never ends.
func TestServerEndsAConnectionWithAMalformedRequest(t *testing.T) {
	RegisterTestingT(t)
	for _, data := range []string{"\xff\xff\xff\xff", "\x00\x00\x00\x04abcd", "GET / HTTP/1.1\r\n\r\n"} {
		client, conn := net.Pipe()
		ended := make(chan struct{})
		go func() { (&Server{Buffers: NewBuffers("t")}).serve(context.Background(), conn); close(ended) }()
		go func() { _, _ = io.WriteString(client, data) }()
		Eventually(ended, "2s").Should(BeClosed())
		_ = client.Close()
	}
}

// FuzzDecode guards against a response of a relay that makes the process panic.
func FuzzDecode(f *testing.F) {
	compressed, _ := deflate([]byte("value"))
	data, _ := msgpack.Marshal(&response{Current: true, Next: 3, Records: []wireRecord{{Key: "a", Value: compressed, Deflated: true}, {Key: "b", Deleted: true}}})
	f.Add(data)
	f.Add([]byte("\x81\xa7records\xdd\xff\xff\xff\xff"))
	f.Add(bytes.Repeat([]byte("\x91"), 10_001))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var resp response
		message := append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
		if frame.Read(bytes.NewReader(message), maxResponseBytes, resp.decode) == nil {
			_, _ = inflateRecords(resp.Records)
		}
		_, _ = decodeMembers(data)
		var req request
		_ = frame.Read(bytes.NewReader(message), maxRequestBytes, req.decode)
	})
}
