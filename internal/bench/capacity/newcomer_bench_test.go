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

// village is a number of rosters that exchange heartbeats in virtual time
// without loss or delay.
type village struct {
	now     time.Time
	random  *rand.Rand
	rosters []*instance.Roster
	byID    map[string]int
	listing backing.Listing
	// frames and bytes sent so far, by sender.
	frames, bytes map[int]float64
}

func (v *village) join() {
	p := peer(v.now, len(v.rosters))
	p.State, p.Sequence = instance.StateLive, 0
	v.byID[p.ID] = len(v.rosters)
	v.rosters = append(v.rosters, instance.NewRoster(v.now, p))
	v.listing.Version++
	v.listing.Members = append(v.listing.Members, backing.Member{ID: p.ID, Kind: backing.KindEntry, Zone: p.Zone, Address: p.PeerAddress})
}

func (v *village) interval() {
	v.now = v.now.Add(instance.HeartbeatInterval)
	for _, r := range v.rosters {
		r.ApplyListing(v.now, v.listing)
		r.Tick(v.now)
	}
	for n, r := range v.rosters {
		beat := r.NextBeat(v.now)
		for _, to := range r.Recipients(v.now, v.random.Uint64()) {
			own := beat
			own.Expect = to.Expect
			own.Deltas = append(append([]instance.Instance(nil), beat.Deltas...), to.Transfer...)
			frame, err := peerwire.EncodeFrame(&peerwire.Beat{Heartbeat: own})
			if err != nil {
				panic(err)
			}
			v.frames[n]++
			v.bytes[n] += float64(len(frame))
			v.rosters[v.byID[to.Instance.ID]].ApplyHeartbeat(v.now, own)
		}
	}
}

// BenchmarkNewcomer measures, in virtual time, when an instance that joins a
// settled deployment knows all others as live, and when it has heard from each
// directly, before which it asks for no lease on cold targets.
func BenchmarkNewcomer(b *testing.B) {
	const limit = 2 * time.Hour
	const joinSpan = 10 * time.Second // in which bytes are counted
	for _, count := range []int{7, 9, 30, 60, 200} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			for b.Loop() {
				v := &village{now: start, random: rand.New(rand.NewPCG(1, uint64(count))), byID: map[string]int{}}
				v.frames, v.bytes = map[int]float64{}, map[int]float64{}
				for range count - 1 {
					v.join()
				}
				for range 60 {
					v.interval()
				}
				v.join()
				joined, known := v.now, time.Duration(0)
				newcomer := v.rosters[count-1]
				clear(v.frames)
				clear(v.bytes)
				for v.now.Sub(joined) < limit {
					v.interval()
					view := newcomer.Snapshot()
					if known == 0 && len(view.Live()) >= count-1 {
						known = v.now.Sub(joined)
					}
					if view.ContactedByAllListed {
						break
					}
				}
				b.ReportMetric(known.Seconds(), "s-until-known")
				b.ReportMetric(v.now.Sub(joined).Seconds(), "s-until-heard-all")
				for v.now.Sub(joined) < joinSpan {
					v.interval()
				}
				others := 0.0
				for n := range count - 1 {
					others += v.bytes[n]
				}
				b.ReportMetric(v.frames[count-1], "newcomer-frames")
				b.ReportMetric(v.bytes[count-1], "newcomer-B")
				b.ReportMetric(others/float64(count-1), "other-B")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkColdFrames measures the frames of a lease on a cold target.
func BenchmarkColdFrames(b *testing.B) {
	for _, c := range []struct {
		name    string
		message peerwire.Message
	}{
		{"ask", &peerwire.ColdAsk{ID: 1 << 20, Target: "service-01-0001", Generation: 3, Sequence: 40}},
		{"answer", &peerwire.ColdAnswer{ID: 1 << 20, Verdict: peerwire.VerdictGranted, Sequence: 40}},
		{"release", &peerwire.ColdRelease{Target: "service-01-0001", Sequence: 40}},
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
