package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/peerwire"
)

// simulatedDeployment is a set of rosters that exchange heartbeats in virtual
// time, without loss or delay.
type simulatedDeployment struct {
	now     time.Time
	random  *rand.Rand
	rosters []*instance.Roster
	byID    map[string]int
	listing backing.Listing
	// frames and bytes count what was sent so far, by index of the sender.
	frames, bytes map[int]float64
}

// join adds an instance.
func (d *simulatedDeployment) join() {
	p := testInstance(d.now, len(d.rosters))
	p.State, p.Sequence = instance.StateLive, 0
	d.byID[p.ID] = len(d.rosters)
	d.rosters = append(d.rosters, instance.NewRoster(d.now, p))
	d.listing.Version++
	d.listing.Members = append(d.listing.Members, backing.Member{ID: p.ID, Kind: backing.KindEntry, Zone: p.Zone, Address: p.PeerAddress})
}

// runInterval runs one heartbeat interval of all instances.
func (d *simulatedDeployment) runInterval() {
	d.now = d.now.Add(instance.HeartbeatInterval)
	for _, r := range d.rosters {
		r.ApplyListing(d.now, d.listing)
		r.Tick(d.now)
	}
	for n, r := range d.rosters {
		heartbeat := r.NextHeartbeat(d.now)
		for _, to := range r.Recipients(d.now, d.random.Uint64()) {
			message := heartbeat
			message.Expect = to.Expect
			message.Deltas = append(append([]instance.Instance(nil), heartbeat.Deltas...), to.Transfer...)
			frame, err := peerwire.EncodeFrame(&peerwire.Heartbeat{Heartbeat: message})
			if err != nil {
				panic(err)
			}
			d.frames[n]++
			d.bytes[n] += float64(len(frame))
			d.rosters[d.byID[to.Instance.ID]].ApplyHeartbeat(d.now, message)
		}
	}
}

// BenchmarkNewcomer measures, in virtual time, how long an instance that joins a
// settled deployment takes to know all others as live, and to receive a heartbeat
// from each directly. Before that, it requests no leases on cold targets.
func BenchmarkNewcomer(b *testing.B) {
	const maxTime = 2 * time.Hour
	const countedTime = 10 * time.Second // minimum time over which frames and bytes are counted
	for _, count := range []int{7, 9, 30, 60, 200} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			for b.Loop() {
				d := &simulatedDeployment{now: start, random: rand.New(rand.NewPCG(1, uint64(count))), byID: map[string]int{}}
				d.frames, d.bytes = map[int]float64{}, map[int]float64{}
				for range count - 1 {
					d.join()
				}
				for range 60 {
					d.runInterval()
				}
				d.join()
				joinedAt, knownAfter := d.now, time.Duration(0)
				newcomer := d.rosters[count-1]
				clear(d.frames)
				clear(d.bytes)
				for d.now.Sub(joinedAt) < maxTime {
					d.runInterval()
					view := newcomer.Snapshot()
					if knownAfter == 0 && len(view.Live()) >= count-1 {
						knownAfter = d.now.Sub(joinedAt)
					}
					if view.ContactedByAllListed {
						break
					}
				}
				b.ReportMetric(knownAfter.Seconds(), "s-until-known")
				b.ReportMetric(d.now.Sub(joinedAt).Seconds(), "s-until-heard-all")
				for d.now.Sub(joinedAt) < countedTime {
					d.runInterval()
				}
				otherBytes := 0.0
				for n := range count - 1 {
					otherBytes += d.bytes[n]
				}
				b.ReportMetric(d.frames[count-1], "newcomer-frames")
				b.ReportMetric(d.bytes[count-1], "newcomer-B")
				b.ReportMetric(otherBytes/float64(count-1), "other-B")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkColdFrames measures the encoding time and the size of the frames of a
// lease on a cold target.
func BenchmarkColdFrames(b *testing.B) {
	for _, c := range []struct {
		name    string
		message peerwire.Message
	}{
		{"ask", &peerwire.ColdLeaseRequest{ID: 1 << 20, Target: "service-01-0001", Generation: 3, Sequence: 40}},
		{"answer", &peerwire.ColdLeaseReply{ID: 1 << 20, Verdict: peerwire.VerdictGranted, Sequence: 40}},
		{"release", &peerwire.ColdLeaseRelease{Target: "service-01-0001", Sequence: 40}},
	} {
		b.Run(c.name, func(b *testing.B) {
			var size int
			for b.Loop() {
				frame, err := peerwire.EncodeFrame(c.message)
				if err != nil {
					b.Fatal(err)
				}
				size = len(frame)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
