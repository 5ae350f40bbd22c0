package peerwire_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/instance"
	"fulmarhoist.example/peerwire"
	"fulmarhoist.example/target"
)

// budget is 2 KB per second and node, from the size to design for.
const budget = 2000

// packetBytes is the IPv4 and TCP header with timestamps, without Ethernet.
const packetBytes = 52

// cost is what one instance sends per second in quiet times.
type cost struct {
	frames, payload float64
}

// wire estimates the bytes with headers: each frame is a packet, and each frame
// received is acknowledged by one of its own.
func (c cost) wire() float64 { return c.payload + 2*packetBytes*c.frames }

// measure runs one instance among count for 20 s after news has settled, with
// all loads of its targets changing in every interval.
func measure(count, targets int) (cost, instance.Heartbeat) {
	now := time.Unix(1_764_000_000, 0)
	peer := func(i int) instance.Instance {
		id := fmt.Sprintf("entry-%d", i)
		return instance.Instance{
			ID: id, Incarnation: 1<<63 + uint64(i), Zone: "az-1", Sequence: instance.FirstSequence(now), Epoch: 14, ConfigVersion: 300,
			CallerAddress: fmt.Sprintf("10.0.0.%d:8001", i), PeerAddress: fmt.Sprintf("10.0.0.%d:9001", i), State: instance.StateLive,
		}
	}
	roster := instance.NewRoster(now, peer(0))
	names := make([]string, targets)
	for i := range names {
		names[i] = fmt.Sprintf("target-%04d", i)
	}
	table := instance.NewTable(300, names)
	var reporter instance.Reporter
	own := make([]instance.Load, targets)
	var total cost
	var beat instance.Heartbeat
	const settle, rounds = 80, 40
	for round := range settle + rounds {
		now = now.Add(instance.HeartbeatInterval)
		for i := 1; i < count; i++ {
			from := peer(i)
			from.Sequence += uint64(round)
			roster.ApplyHeartbeat(now, instance.Heartbeat{From: from, Expect: instance.ExpectMore})
		}
		roster.Tick(now)
		for i := range own {
			own[i] = instance.Load{InFlight: uint16((i+round)%4 + 1), State: target.StateWarm}
		}
		recipients := roster.Recipients(now, 7)
		beat = roster.NextBeat(now)
		beat.Loads, beat.LogAge = reporter.Next(now, table, own), 500*time.Millisecond
		for _, to := range recipients {
			sent := beat
			sent.Expect = to.Expect
			sent.Deltas = append(append([]instance.Instance(nil), beat.Deltas...), to.Transfer...)
			frame, err := peerwire.EncodeFrame(&peerwire.Beat{Heartbeat: sent})
			if err != nil {
				panic(err)
			}
			if round >= settle {
				total.frames++
				total.payload += float64(len(frame))
			}
		}
	}
	seconds := (rounds * instance.HeartbeatInterval).Seconds()
	return cost{total.frames / seconds, total.payload / seconds}, beat
}

var _ = Describe("heartbeats", func() {
	// Guards against control traffic that grows past the size to design for.
	DescribeTable("stay within 2 KB/s of payload per node", func(count, targets int) {
		c, _ := measure(count, targets)
		AddReportEntry(fmt.Sprintf("%d instances: %.1f frames/s, %.0f B/s payload, %.0f B/s with TCP/IP headers", count, c.frames, c.payload, c.wire()))
		Expect(c.payload).To(BeNumerically("<=", budget))
	},
		Entry("with 7 instances and 35 targets", 7, 35),
		Entry("with 200 instances and 1,000 targets", 200, 1000))
})

func BenchmarkBeat(b *testing.B) {
	_, beat := measure(7, 35)
	frame, err := peerwire.EncodeFrame(&peerwire.Beat{Heartbeat: beat})
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = peerwire.EncodeFrame(&peerwire.Beat{Heartbeat: beat})
		}
		b.ReportMetric(float64(len(frame)), "bytes/beat")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = peerwire.DecodeFrame(frame[4:])
		}
	})
	for _, size := range [][2]int{{7, 35}, {200, 1000}} {
		b.Run(fmt.Sprintf("traffic-%d", size[0]), func(b *testing.B) {
			var c cost
			for b.Loop() {
				c, _ = measure(size[0], size[1])
			}
			b.ReportMetric(c.payload, "payload-B/s")
			b.ReportMetric(c.wire(), "wire-B/s")
			b.ReportMetric(c.frames, "frames/s")
		})
	}
}
