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
	// packetHeaderBytes is the size of the IPv4 and TCP headers with timestamps,
	// without Ethernet.
	packetHeaderBytes = 52
	// ticksPerInterval is the number of roster ticks per heartbeat interval, as
	// in the daemon.
	ticksPerInterval = 5
)

// simulatedInstance is one of count instances, run in virtual time.
type simulatedInstance struct {
	now      time.Time
	count    int
	round    int
	roster   *instance.Roster
	loads    *instance.Loads
	reporter instance.Reporter
	table    *instance.Table
	ownLoads []instance.Load
	listing  backing.Listing
	senders  []int // peers that send a heartbeat in each interval
}

// newSimulatedInstance returns an instance whose instance list has count
// instances.
func newSimulatedInstance(count, targetCount int) *simulatedInstance {
	names := make([]string, targetCount)
	for i := range names {
		names[i] = fmt.Sprintf("target-%04d", i)
	}
	s := &simulatedInstance{now: start, count: count, table: instance.NewTable(300, names), ownLoads: make([]instance.Load, targetCount)}
	s.roster = instance.NewRoster(start, testInstance(start, 0))
	s.loads = instance.NewLoads(s.table)
	s.senders = senders(count)
	for i := range count {
		p := testInstance(start, i)
		s.listing.Members = append(s.listing.Members, backing.Member{ID: p.ID, Kind: backing.KindEntry, Zone: p.Zone, Address: p.PeerAddress})
	}
	return s
}

// senders returns the peers that send heartbeats to the first instance: all
// peers in a full mesh, otherwise its ring predecessors and as many others as
// an instance selects at random.
func senders(count int) []int {
	var all []instance.Instance
	for i := range count {
		all = append(all, testInstance(start, i))
	}
	var predecessors, others []int
	for i := 1; i < count; i++ {
		r := instance.NewRoster(start, all[i])
		r.ApplyHeartbeat(start, instance.Heartbeat{From: all[0], Deltas: append(slices.Clone(all[1:i]), all[i+1:]...)})
		isPredecessor := slices.ContainsFunc(r.Recipients(start, 7), func(to instance.Recipient) bool {
			return to.Instance.ID == all[0].ID && to.Expect == instance.ExpectMore
		})
		if isPredecessor {
			predecessors = append(predecessors, i)
		} else {
			others = append(others, i)
		}
	}
	return append(predecessors, others[:min(len(others), instance.RandomPeers)]...)
}

// nextHeartbeats returns the heartbeats received in this interval.
func (s *simulatedInstance) nextHeartbeats() []instance.Heartbeat {
	var heartbeats []instance.Heartbeat
	for k, from := range s.senders {
		heartbeat := instance.Heartbeat{From: s.peer(from - 1), Expect: instance.ExpectNone}
		for l := range instance.MaxLoads {
			heartbeat.Loads = append(heartbeat.Loads, instance.Load{Target: uint32((s.round*instance.MaxLoads + l) % len(s.ownLoads)), InFlight: 2, State: target.StateWarm})
		}
		if s.count > instance.FullMeshMax {
			// Changed entries of other instances, as in refreshes.
			for d := range 2 {
				heartbeat.Deltas = append(heartbeat.Deltas, s.peer(s.round*7+k*2+d))
			}
		}
		heartbeats = append(heartbeats, heartbeat)
	}
	return heartbeats
}

// peer returns the k-th peer, counted cyclically, as of this interval.
func (s *simulatedInstance) peer(k int) instance.Instance {
	p := testInstance(start, 1+k%(s.count-1))
	p.Sequence += uint64(s.round)
	return p
}

// receive processes the heartbeats and ticks of one interval.
func (s *simulatedInstance) receive() {
	for _, heartbeat := range s.nextHeartbeats() {
		s.roster.ApplyHeartbeat(s.now, heartbeat)
		s.loads.ApplyHeartbeat(s.now, heartbeat)
	}
	for range ticksPerInterval {
		s.now = s.now.Add(instance.HeartbeatInterval / ticksPerInterval)
		s.roster.UpdateSelf(s.now, instance.LocalState{Epoch: 14, ConfigVersion: 300})
		s.roster.Tick(s.now)
	}
	s.roster.ApplyListing(s.now, s.listing)
	s.loads.Tick(s.now)
	s.round++
}

// send encodes the heartbeat of this interval for each recipient and returns the
// number of frames and their total size in bytes.
func (s *simulatedInstance) send() (frames, size int) {
	for i := range s.ownLoads {
		s.ownLoads[i] = instance.Load{InFlight: uint16((i+s.round)%4 + 1), State: target.StateWarm}
	}
	heartbeat := s.roster.NextHeartbeat(s.now)
	heartbeat.Loads, heartbeat.LogAge = s.reporter.Next(s.now, s.table, s.ownLoads), 500*time.Millisecond
	for _, to := range s.roster.Recipients(s.now, 7) {
		message := heartbeat
		message.Expect, message.Deltas = to.Expect, slices.Concat(heartbeat.Deltas, to.Transfer)
		frame, err := peerwire.EncodeFrame(&peerwire.Heartbeat{Heartbeat: message})
		if err != nil {
			panic(err)
		}
		frames++
		size += len(frame)
	}
	return frames, size
}

// BenchmarkPeers measures the CPU time per heartbeat interval for the roster,
// the table of loads and the frames, and the bytes sent, with 1,000 targets
// whose loads all change.
func BenchmarkPeers(b *testing.B) {
	for _, count := range []int{7, 30, 200, 400} {
		b.Run(fmt.Sprintf("receive/instances=%d", count), func(b *testing.B) {
			s := newSettledInstance(count)
			b.ReportAllocs()
			for b.Loop() {
				s.receive()
			}
			b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N)/instance.HeartbeatInterval.Seconds(), "%core")
		})
		b.Run(fmt.Sprintf("send/instances=%d", count), func(b *testing.B) {
			s := newSettledInstance(count)
			var frames, size int
			for b.Loop() {
				f, n := s.send()
				frames, size = frames+f, size+n
				s.round++
			}
			perSecond := 1 / instance.HeartbeatInterval.Seconds() / float64(b.N)
			b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N)/instance.HeartbeatInterval.Seconds(), "%core")
			b.ReportMetric(float64(frames)*perSecond, "frames/s")
			b.ReportMetric(float64(size)*perSecond, "B/s")
			b.ReportMetric((float64(size)+2*packetHeaderBytes*float64(frames))*perSecond, "wireB/s")
		})
	}
}

// newSettledInstance returns an instance whose roster contains all instances
// and has no changes left to forward.
func newSettledInstance(count int) *simulatedInstance {
	s := newSimulatedInstance(count, 1000)
	for range 120 {
		s.receive()
		s.send()
	}
	return s
}

// BenchmarkHome measures the choice of the preferred lease holder for a cold
// target.
func BenchmarkHome(b *testing.B) {
	for _, count := range []int{7, 30, 200} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			all := participants(count)
			for b.Loop() {
				preferredHolder(all)
			}
		})
	}
}
