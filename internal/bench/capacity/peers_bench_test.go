package capacity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/peerwire"
	"fulmarhoist.example/target"
)

const (
	// packetBytes is the IPv4 and TCP header with timestamps, without Ethernet.
	packetBytes = 52
	// ticks of the roster in one heartbeat interval, as the daemon does them.
	ticks = 5
)

// world is one instance among count ones, driven in virtual time.
type world struct {
	now      time.Time
	count    int
	round    int
	roster   *instance.Roster
	loads    *instance.Loads
	reporter instance.Reporter
	table    *instance.Table
	own      []instance.Load
	listing  backing.Listing
	senders  []int // peers from which heartbeats come in each interval
}

func newWorld(count, targetCount int) *world {
	names := make([]string, targetCount)
	for i := range names {
		names[i] = fmt.Sprintf("target-%04d", i)
	}
	w := &world{now: start, count: count, table: instance.NewTable(300, names), own: make([]instance.Load, targetCount)}
	w.roster = instance.NewRoster(start, peer(start, 0))
	w.loads = instance.NewLoads(w.table)
	w.senders = senders(count)
	for i := range count {
		p := peer(start, i)
		w.listing.Members = append(w.listing.Members, backing.Member{ID: p.ID, Kind: backing.KindEntry, Zone: p.Zone, Address: p.PeerAddress})
	}
	return w
}

// senders returns the peers that send heartbeats to the first instance: all of
// them in a full mesh, else its ring predecessors and as many others as it sends
// to at random.
func senders(count int) []int {
	var all []instance.Instance
	for i := range count {
		all = append(all, peer(start, i))
	}
	var found, others []int
	for i := 1; i < count; i++ {
		r := instance.NewRoster(start, all[i])
		r.ApplyHeartbeat(start, instance.Heartbeat{From: all[0], Deltas: append(slices.Clone(all[1:i]), all[i+1:]...)})
		before := slices.ContainsFunc(r.Recipients(start, 7), func(to instance.Recipient) bool {
			return to.Instance.ID == all[0].ID && to.Expect == instance.ExpectMore
		})
		if before {
			found = append(found, i)
		} else {
			others = append(others, i)
		}
	}
	return append(found, others[:min(len(others), instance.RandomPeers)]...)
}

// heard returns the heartbeats of this interval.
func (w *world) heard() []instance.Heartbeat {
	var beats []instance.Heartbeat
	for k, from := range w.senders {
		beat := instance.Heartbeat{From: w.peer(from - 1), Expect: instance.ExpectNone}
		for l := range instance.MaxLoads {
			beat.Loads = append(beat.Loads, instance.Load{Target: uint32((w.round*instance.MaxLoads + l) % len(w.own)), InFlight: 2, State: target.StateWarm})
		}
		if w.count > instance.FullMeshMax {
			// News of others as refreshes carry it.
			for d := range 2 {
				beat.Deltas = append(beat.Deltas, w.peer(w.round*7+k*2+d))
			}
		}
		beats = append(beats, beat)
	}
	return beats
}

func (w *world) peer(k int) instance.Instance {
	p := peer(start, 1+k%(w.count-1))
	p.Sequence += uint64(w.round)
	return p
}

// receive takes one interval's heartbeats and ticks in.
func (w *world) receive() {
	for _, beat := range w.heard() {
		w.roster.ApplyHeartbeat(w.now, beat)
		w.loads.ApplyHeartbeat(w.now, beat)
	}
	for range ticks {
		w.now = w.now.Add(instance.HeartbeatInterval / ticks)
		w.roster.UpdateSelf(w.now, instance.LocalState{Epoch: 14, ConfigVersion: 300})
		w.roster.Tick(w.now)
	}
	w.roster.ApplyListing(w.now, w.listing)
	w.loads.Tick(w.now)
	w.round++
}

// send makes this interval's heartbeat and returns its frames.
func (w *world) send() (frames, size int) {
	for i := range w.own {
		w.own[i] = instance.Load{InFlight: uint16((i+w.round)%4 + 1), State: target.StateWarm}
	}
	beat := w.roster.NextBeat(w.now)
	beat.Loads, beat.LogAge = w.reporter.Next(w.now, w.table, w.own), 500*time.Millisecond
	for _, to := range w.roster.Recipients(w.now, 7) {
		own := beat
		own.Expect, own.Deltas = to.Expect, slices.Concat(beat.Deltas, to.Transfer)
		frame, err := peerwire.EncodeFrame(&peerwire.Beat{Heartbeat: own})
		if err != nil {
			panic(err)
		}
		frames++
		size += len(frame)
	}
	return frames, size
}

// BenchmarkPeers measures the processor time of the roster, the table of loads
// and the frames of one heartbeat interval, and the bytes sent, with 1,000
// targets whose loads all change.
func BenchmarkPeers(b *testing.B) {
	for _, count := range []int{7, 30, 200, 400} {
		b.Run(fmt.Sprintf("receive/instances=%d", count), func(b *testing.B) {
			w := settled(count)
			b.ReportAllocs()
			for b.Loop() {
				w.receive()
			}
			b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N)/instance.HeartbeatInterval.Seconds(), "%core")
		})
		b.Run(fmt.Sprintf("send/instances=%d", count), func(b *testing.B) {
			w := settled(count)
			var frames, size int
			for b.Loop() {
				f, s := w.send()
				frames, size = frames+f, size+s
				w.round++
			}
			perSecond := 1 / instance.HeartbeatInterval.Seconds() / float64(b.N)
			b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N)/instance.HeartbeatInterval.Seconds(), "%core")
			b.ReportMetric(float64(frames)*perSecond, "frames/s")
			b.ReportMetric(float64(size)*perSecond, "B/s")
			b.ReportMetric((float64(size)+2*packetBytes*float64(frames))*perSecond, "wireB/s")
		})
	}
}

// settled returns a world whose roster has heard of all instances and has passed
// on the news.
func settled(count int) *world {
	w := newWorld(count, 1000)
	for range 120 {
		w.receive()
		w.send()
	}
	return w
}

// BenchmarkHome measures the choice of the home of a cold target.
func BenchmarkHome(b *testing.B) {
	for _, count := range []int{7, 30, 200} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			homes := holders(count)
			for b.Loop() {
				home(homes)
			}
		})
	}
}
