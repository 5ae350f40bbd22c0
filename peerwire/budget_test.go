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

// maxBytesPerSecond is the control traffic that each node may send in a
// deployment of the maximum size.
const maxBytesPerSecond = 2000

// packetHeaderBytes is the size of the IPv4 and TCP headers with timestamps,
// without Ethernet.
const packetHeaderBytes = 52

// traffic is what one instance sends per second while membership is stable.
type traffic struct {
	frames, payload float64
}

// withHeaders estimates the bytes per second with TCP/IP headers. Each frame is
// a packet, and each received frame is acknowledged by another packet.
func (t traffic) withHeaders() float64 { return t.payload + 2*packetHeaderBytes*t.frames }

// measureTraffic simulates one instance among count instances for 20 s after
// the membership deltas have been disseminated. The loads of all targets change
// in every heartbeat interval.
func measureTraffic(count, targets int) (traffic, instance.Heartbeat) {
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
	loads := make([]instance.Load, targets)
	var total traffic
	var heartbeat instance.Heartbeat
	const settleRounds, measuredRounds = 80, 40
	for round := range settleRounds + measuredRounds {
		now = now.Add(instance.HeartbeatInterval)
		for i := 1; i < count; i++ {
			from := peer(i)
			from.Sequence += uint64(round)
			roster.ApplyHeartbeat(now, instance.Heartbeat{From: from, Expect: instance.ExpectMore})
		}
		roster.Tick(now)
		for i := range loads {
			loads[i] = instance.Load{InFlight: uint16((i+round)%4 + 1), State: target.StateWarm}
		}
		recipients := roster.Recipients(now, 7)
		heartbeat = roster.NextHeartbeat(now)
		heartbeat.Loads, heartbeat.LogAge = reporter.Next(now, table, loads), 500*time.Millisecond
		for _, to := range recipients {
			message := heartbeat
			message.Expect = to.Expect
			message.Deltas = append(append([]instance.Instance(nil), heartbeat.Deltas...), to.Transfer...)
			frame, err := peerwire.EncodeFrame(&peerwire.Heartbeat{Heartbeat: message})
			if err != nil {
				panic(err)
			}
			if round >= settleRounds {
				total.frames++
				total.payload += float64(len(frame))
			}
		}
	}
	seconds := (measuredRounds * instance.HeartbeatInterval).Seconds()
	return traffic{total.frames / seconds, total.payload / seconds}, heartbeat
}

var _ = Describe("heartbeats", func() {
	// Guards against control traffic that exceeds the limit in large deployments.
	DescribeTable("stay within 2 KB/s of payload per node", func(count, targets int) {
		t, _ := measureTraffic(count, targets)
		AddReportEntry(fmt.Sprintf("%d instances: %.1f frames/s, %.0f B/s payload, %.0f B/s with TCP/IP headers", count, t.frames, t.payload, t.withHeaders()))
		Expect(t.payload).To(BeNumerically("<=", maxBytesPerSecond))
	},
		Entry("with 7 instances and 35 targets", 7, 35),
		Entry("with 200 instances and 1,000 targets", 200, 1000))
})

func BenchmarkBeat(b *testing.B) {
	_, heartbeat := measureTraffic(7, 35)
	frame, err := peerwire.EncodeFrame(&peerwire.Heartbeat{Heartbeat: heartbeat})
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = peerwire.EncodeFrame(&peerwire.Heartbeat{Heartbeat: heartbeat})
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
			var t traffic
			for b.Loop() {
				t, _ = measureTraffic(size[0], size[1])
			}
			b.ReportMetric(t.payload, "payload-B/s")
			b.ReportMetric(t.withHeaders(), "wire-B/s")
			b.ReportMetric(t.frames, "frames/s")
		})
	}
}
