package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/fleet"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

func member(i int) fleet.Member {
	return fleet.Member{Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("az-%d", i%3), Address: fmt.Sprintf("10.0.0.%d:80", i)}
}

func members(n int) []fleet.Member {
	var all []fleet.Member
	for i := range n {
		all = append(all, member(i))
	}
	return all
}

var _ = Describe("Roster", func() {
	now := time.Now()

	Describe("Collectors", func() {
		names := func(r *fleet.Roster, key string) (names []string) {
			for _, m := range r.Collectors(key) {
				names = append(names, m.Name)
			}
			return names
		}

		// Guards against instances that report on the same key to different collectors,
		// so that none sees all reports.
		It("returns the same instances at all that know the same members", func() {
			first, second := fleet.NewRoster(member(0)), fleet.NewRoster(member(7))
			first.Replace(now, members(20))
			second.Replace(now, members(20))
			chosen := map[string]bool{}
			for i := range 100 {
				key := fmt.Sprint("key", i)
				Expect(names(first, key)).To(Equal(names(second, key)))
				chosen[names(first, key)[0]] = true
			}
			Expect(len(chosen)).To(BeNumerically(">", 10), "the keys are spread over the instances")
		})

		// Guards against the loss of all collectors of a key with one zone.
		It("returns instances of different zones, at most three", func() {
			zones := func(key string, all []fleet.Member) map[string]int {
				r, count := fleet.NewRoster(all[0]), map[string]int{}
				r.Replace(now, all)
				for _, m := range r.Collectors(key) {
					count[m.Zone]++
				}
				return count
			}
			var many []fleet.Member
			for i := range 15 {
				m := member(i)
				m.Zone = fmt.Sprintf("az-%d", i%5)
				many = append(many, m)
			}
			for i := range 20 {
				Expect(zones(fmt.Sprint(i), members(9))).To(HaveLen(3))
				Expect(zones(fmt.Sprint(i), members(2))).To(HaveLen(2))
				Expect(zones(fmt.Sprint(i), many)).To(And(HaveLen(3), HaveEach(1)))
			}
		})
	})

	Describe("Addresses", func() {
		// Guards against sending callers to another zone without need.
		It("returns the instances in the zone of the caller", func() {
			r := fleet.NewRoster(member(0))
			r.Replace(now, members(6))
			Expect(r.Addresses("az-1", true)).To(ConsistOf("10.0.0.1:80", "10.0.0.4:80"))
		})

		// Guards against an answer without addresses when all instances of a
		// zone are lost.
		It("returns the other instances if the zone has none", func() {
			r := fleet.NewRoster(member(0))
			r.Replace(now, []fleet.Member{member(0), member(3), member(1)})
			Expect(r.Addresses("az-2", true)).To(HaveLen(3))
		})

		// Guards against sending callers to an instance that is shutting down.
		It("omits this instance while it is not serving", func() {
			r := fleet.NewRoster(member(0))
			r.Replace(now, members(6))
			Expect(r.Addresses("az-0", false)).To(ConsistOf("10.0.0.3:80"))
		})
	})

	Describe("Relay", func() {
		roster := func(self, count int) *fleet.Roster {
			var all []fleet.Member
			for i := range count {
				m := member(i)
				m.Zone, m.Relay = "az-0", fmt.Sprintf("10.0.0.%d:90", i)
				all = append(all, m)
			}
			r := fleet.NewRoster(all[self])
			r.Replace(now, all)
			return r
		}

		// Guards against a zone in which no instance, or each of many, reads
		// from the store.
		It("is the first instance by name in a large zone", func() {
			Expect(roster(0, 5).Relays()).To(BeEmpty())
			Expect(roster(1, 3).Relays()).To(BeEmpty())
			Expect(roster(1, 5).Relays()).To(Equal([]string{"10.0.0.0:90"}))
		})

		// Guards against a zone in which all instances call the store because the
		// first one does not reach it.
		It("is followed by others that can take its place", func() {
			Expect(roster(2, 5).Relays()).To(Equal([]string{"10.0.0.0:90", "10.0.0.1:90"}))
			Expect(roster(4, 5).Relays()).To(Equal([]string{"10.0.0.0:90", "10.0.0.1:90", "10.0.0.2:90"}))
		})

		// Guards against instances that read from the store, or wait, although they
		// could know which one reads for them.
		It("is known with other instances, or once all members are known", func() {
			Expect(roster(3, 5).RelayKnown()).To(BeClosed())
			Expect(roster(0, 2).RelayKnown()).To(BeClosed())
			r := roster(0, 1)
			Expect(r.RelayKnown()).NotTo(BeClosed())
			r.MarkComplete()
			Expect(r.RelayKnown()).To(BeClosed())
			r.MarkComplete()
		})

		It("is known to the instance that is the relay, before others read through it", func() {
			Expect(roster(0, 5).IsRelay()).To(BeTrue())
			Expect(roster(3, 5).IsRelay()).To(BeFalse())
			Expect(roster(0, 3).IsRelay()).To(BeFalse())
		})
	})

	Describe("PacingInterval", func() {
		bound := fleet.ColdBound{PerSecond: 3.5, Overshoot: 1.5, Slack: 5}

		// maxPerSecond returns the maximum number of requests that all instances
		// together send within any period of one second.
		maxPerSecond := func(count int, target string) int {
			total := 0
			for i := range count {
				r := fleet.NewRoster(member(i))
				r.Replace(now, members(count))
				r.MarkComplete()
				if interval := r.PacingInterval(target, bound); interval >= 0 {
					total += int(time.Second/interval) + 1
				}
			}
			return total
		}

		// Guards against overloading a cold target because each of many instances
		// sends a few requests.
		It("keeps all instances together within the bound", func() {
			for _, count := range []int{1, 2, 5, 7, 8, 9, 48, 300} {
				for t := range 20 {
					Expect(maxPerSecond(count, fmt.Sprint("t", t))).To(BeNumerically("<=", 10), "%d instances", count)
				}
			}
		})

		// Guards against overloading a cold target when many instances start at the
		// same time: each knows only itself and would use the whole bound.
		It("allows no requests until all members are known", func() {
			r := fleet.NewRoster(member(0))
			Expect(r.PacingInterval("t", bound)).To(BeNumerically("<", 0))
			r.Replace(now, members(1))
			Expect(r.PacingInterval("t", bound)).To(BeNumerically("<", 0))
			r.MarkComplete()
			r.Replace(now, members(7))
			Expect(r.PacingInterval("t", bound)).To(BeNumerically(">", 0))
			Expect(r.View().ShareCount()).To(Equal(7))
		})

		// Guards against a cold target to which no instance sends requests.
		It("allows at least one instance to send to each target", func() {
			for t := range 50 {
				Expect(maxPerSecond(48, fmt.Sprint("t", t))).To(BeNumerically(">=", 1))
			}
		})

		// Guards against exceeding the bound when an instance that has lost its
		// connection to the store continues to serve, while the others increase
		// their shares.
		It("keeps the share of an instance reserved for a while after it disappears", func() {
			r := fleet.NewRoster(member(0))
			r.Replace(now, members(7))
			before := r.PacingInterval("t", bound)
			r.Replace(now.Add(10*time.Second), members(2))
			Expect(r.PacingInterval("t", bound)).To(Equal(before))
		})
	})
})
