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

	// Guards against a policy that finds no target while one admits, that
	// chooses a target the request has failed on, or that takes a permit beyond
	// the limit.
	for name, policy := range policies() {
		It("takes a permit exactly if an untried target admits: "+name, func() {
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				var targets []*target.Target
				var tried service.Tried
				free := 0
				for i := range rapid.IntRange(0, 80).Draw(t, "targets") {
					slots := max(0, rapid.IntRange(-8, 2).Draw(t, "limit"))
					one := warm(fmt.Sprint(i), slots)
					targets = append(targets, one)
					if rapid.IntRange(0, 4).Draw(t, "tried") == 0 {
						tried = append(tried, one)
					} else {
						free += slots
					}
				}
				view := viewOf(targets...)
				for ; free >= 0; free-- {
					permit, ok := policy.Choose(now, view, tried, rapid.Uint64().Draw(t, "random"))
					if ok != (free > 0) {
						t.Fatalf("chose = %v with %d free", ok, free)
					}
					if ok && tried.Has(permit.Target) {
						t.Fatal("chose a target that was tried")
					}
				}
			})
		})
	}

	// Guards against one broken connection pool that keeps a target out for
	// seconds: requests that fail together are one failure, not several in a row.
	It("counts failures during a pause once", func() {
		one := warm("one", 8)
		for range 8 {
			one.Failed(now)
		}
		Expect(one.Admits(now.Add(49 * time.Millisecond))).To(BeFalse())
		Expect(one.Admits(now.Add(50 * time.Millisecond))).To(BeTrue())
		one.Failed(now.Add(50 * time.Millisecond))
		Expect(one.Admits(now.Add(149 * time.Millisecond))).To(BeFalse(), "the second pause is longer")
		Expect(one.Admits(now.Add(150 * time.Millisecond))).To(BeTrue())
	})

	// Guards against "no target" for a large service of which a window is full.
	It("finds the only free target of a large view from any start", func() {
		var targets []*target.Target
		for i := range 200 {
			targets = append(targets, target.New(target.Spec{Name: fmt.Sprint(i), Slots: 2}))
		}
		free := warm("free", 2)
		view := viewOf(append(targets, free)...)
		for start := range uint64(201) {
			permit, ok := service.ShortestExpectedDelay{}.Choose(now, view, nil, start)
			Expect(ok).To(BeTrue(), "start %d", start)
			Expect(permit.Target).To(BeIdenticalTo(free))
			permit.Release()
		}
	})
})

// TestComparePolicies prints the latency of each policy for COMPARE_SEEDS seeds,
// 1 if unset, in virtual time. It guards against a change of the estimate that
// makes the shortest expected delay worse at p99 than a baseline.
//
//	COMPARE_SEEDS=5 go test -v -run TestComparePolicies ./service/
func TestComparePolicies(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("COMPARE_SEEDS"))
	mean := map[string]float64{}
	for seed := range uint64(max(1, seeds)) {
		runs := map[string]*model{}
		for name := range policies() {
			runs[name] = runModel(seed+1, func() service.Policy { return policies()[name] })
			mean[name] += runs[name].quantile(0.99) / float64(max(1, seeds))
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
	for name, p99 := range mean {
		t.Logf("mean p99 %-15s %.1f ms", name, p99)
		if p99 < mean["sed"] {
			t.Errorf("%s has a lower p99 than the shortest expected delay", name)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for _, size := range []int{20, 1000} {
		var targets []*target.Target
		for i := range size {
			targets = append(targets, warm(fmt.Sprint(i), 64))
			targets[i].ReportPeers(now, 1)
		}
		view := viewOf(targets...)
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

// BenchmarkAdmitRelease measures one target that all processors use.
func BenchmarkAdmitRelease(b *testing.B) {
	one, now := warm("one", 64), time.Unix(1_000_000, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if permit, ok := one.Admit(now); ok {
				permit.Release()
			}
		}
	})
}

// The choice is on the path of every request and must not allocate.
func TestChooseDoesNotAllocate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, policy := range policies() {
		view := viewOf(warm("a", 64), warm("b", 64))
		if allocs := testing.AllocsPerRun(100, func() {
			permit, _ := policy.Choose(now, view, nil, 3)
			permit.Release()
		}); allocs != 0 {
			t.Errorf("%s: %v allocations", name, allocs)
		}
	}
}
