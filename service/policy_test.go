package service_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
)

func policies() map[string]service.Policy {
	return map[string]service.Policy{
		"sed":             service.ShortestExpectedDelay{},
		"round-robin":     &service.RoundRobin{},
		"random":          service.Random{},
		"least-in-flight": service.LeastInFlight{},
		"p2c":             service.PowerOfTwo{},
	}
}

var _ = Describe("Policies", func() {
	now := time.Unix(1_000_000, 0)

	// Guards against a policy that finds no target although one has a free permit,
	// that chooses a target on which the request has failed, or that takes more
	// permits than the limit of a target.
	for name, policy := range policies() {
		It("takes a permit if and only if an untried target has one: "+name, func() {
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				var targets []*target.Target
				var tried service.Tried
				free := 0
				for i := range rapid.IntRange(0, 80).Draw(t, "targets") {
					slots := max(0, rapid.IntRange(-8, 2).Draw(t, "limit"))
					candidate := warmTarget(fmt.Sprint(i), slots)
					targets = append(targets, candidate)
					if rapid.IntRange(0, 4).Draw(t, "tried") == 0 {
						tried = append(tried, candidate)
					} else {
						free += slots
					}
				}
				view := newView(targets...)
				for ; free >= 0; free-- {
					permit, ok := policy.Choose(now, view, tried, rapid.Uint64().Draw(t, "random"))
					if ok != (free > 0) {
						t.Fatalf("Choose() found a target = %v with %d free permits", ok, free)
					}
					if ok && tried.Contains(permit.Target) {
						t.Fatalf("Choose() returned target %s, which was tried before", permit.Target.Spec.Name)
					}
				}
			})
		})
	}

	// Guards against a long back-off after one broken connection pool: requests
	// that fail together count as one failure, not as consecutive ones.
	It("counts failures during a back-off once", func() {
		t := warmTarget("a", 8)
		for range 8 {
			t.RecordFailure(now)
		}
		Expect(t.Admits(now.Add(49 * time.Millisecond))).To(BeFalse())
		Expect(t.Admits(now.Add(50 * time.Millisecond))).To(BeTrue())
		t.RecordFailure(now.Add(50 * time.Millisecond))
		Expect(t.Admits(now.Add(149*time.Millisecond))).To(BeFalse(), "the second back-off is longer")
		Expect(t.Admits(now.Add(150 * time.Millisecond))).To(BeTrue())
	})

	// Guards against failing to find a target of a large service because no target
	// in the first scanned window admits a request.
	It("finds the only free target of a large view from any start position", func() {
		var targets []*target.Target
		for i := range 200 {
			targets = append(targets, target.New(target.Spec{Name: fmt.Sprint(i), Slots: 2}))
		}
		free := warmTarget("free", 2)
		view := newView(append(targets, free)...)
		for start := range uint64(201) {
			permit, ok := service.ShortestExpectedDelay{}.Choose(now, view, nil, start)
			Expect(ok).To(BeTrue(), "start %d", start)
			Expect(permit.Target).To(BeIdenticalTo(free))
			permit.Release()
		}
	})
})

// TestComparePolicies simulates each policy in virtual time with COMPARE_SEEDS
// seeds, 1 if unset, and prints the latencies. It guards against a change of the
// estimated delay that makes the p99 latency of ShortestExpectedDelay worse than
// that of a baseline.
//
//	COMPARE_SEEDS=5 go test -v -run TestComparePolicies ./service/
func TestComparePolicies(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("COMPARE_SEEDS"))
	meanP99 := map[string]float64{}
	for seed := range uint64(max(1, seeds)) {
		runs := map[string]*model{}
		for name := range policies() {
			runs[name] = runModel(seed+1, func() service.Policy { return policies()[name] })
			meanP99[name] += runs[name].quantile(0.99) / float64(max(1, seeds))
		}
		for name, run := range runs {
			line := fmt.Sprintf("seed %d %-15s n=%d", seed+1, name, len(run.latencies))
			for _, q := range []float64{0.5, 0.99, 0.999} {
				v := run.quantile(q)
				line += fmt.Sprintf("  p%g %.1f ms (rr %.2f, p2c %.2f)", q*100, v,
					v/runs["round-robin"].quantile(q), v/runs["p2c"].quantile(q))
			}
			t.Log(line)
		}
	}
	for name, p99 := range meanP99 {
		t.Logf("mean p99 %-15s %.1f ms", name, p99)
		if p99 < meanP99["sed"] {
			t.Errorf("mean p99 of %s is %.1f ms, lower than %.1f ms of ShortestExpectedDelay", name, p99, meanP99["sed"])
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for _, size := range []int{20, 1000} {
		var targets []*target.Target
		for i := range size {
			targets = append(targets, warmTarget(fmt.Sprint(i), 64))
			targets[i].ObservePeerLoad(now, 1)
		}
		view := newView(targets...)
		for name, policy := range policies() {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				b.ReportAllocs()
				random := uint64(1)
				for b.Loop() {
					random = random*6364136223846793005 + 1442695040888963407
					permit, _ := policy.Choose(now.Add(time.Millisecond), view, nil, random>>20)
					permit.Release()
				}
			})
		}
	}
}

// BenchmarkAdmitRelease measures one target under contention from all processors.
func BenchmarkAdmitRelease(b *testing.B) {
	t, now := warmTarget("one", 64), time.Unix(1_000_000, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if permit, ok := t.Admit(now); ok {
				permit.Release()
			}
		}
	})
}

// TestChooseDoesNotAllocate guards against allocations in Choose, which is on the
// path of every request.
func TestChooseDoesNotAllocate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, policy := range policies() {
		view := newView(warmTarget("a", 64), warmTarget("b", 64))
		if allocs := testing.AllocsPerRun(100, func() {
			permit, _ := policy.Choose(now, view, nil, 3)
			permit.Release()
		}); allocs != 0 {
			t.Errorf("%s: Choose() made %v allocations, want 0", name, allocs)
		}
	}
}
