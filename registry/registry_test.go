package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/registry"
	"fulmarhoist.example/routing"
	"fulmarhoist.example/target"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registry")
}

var _ = Describe("Registry", func() {
	var r *registry.Registry
	var percent, minimum int
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	entry := func(id string) registry.Entry {
		return registry.Entry{ID: id, Address: "10.0.0.1:80", Service: "orders", Zone: "az-1", Slots: 2, StartedAtMs: 100, Sequence: 1}
	}

	// open refreshes the registry and returns the targets that may get requests.
	open := func(t time.Time) map[string]*target.Target {
		r.Refresh(t)
		found := map[string]*target.Target{}
		for _, c := range r.Service("orders").View().Candidates {
			found[c.Target.Spec.Name] = c.Target
		}
		return found
	}

	BeforeEach(func() {
		percent, minimum = 10, 3
		r = registry.New(registry.Options{
			OwnZone: "az-1", RemoteRoundTrip: time.Millisecond, QueueLimit: 10,
			RetryPercent: func() int { return percent }, RetryMinimum: func() int { return minimum },
			PacingInterval: func(string, *routing.Service) time.Duration { return time.Second },
		})
		r.SetConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "orders", ColdDuration: 3 * time.Second}}})
	})

	// Guards against sending requests to a target that has announced its shutdown.
	It("sends no new requests to a draining target and ignores older entries of it", func() {
		Expect(r.Put(now, entry("a"))).To(Equal(registry.ChangeAdded))
		Expect(open(now)).To(HaveKey("a"))
		draining := entry("a")
		draining.Draining, draining.Sequence = true, 2
		Expect(r.Put(now, draining)).To(Equal(registry.ChangeDraining))
		Expect(open(now)).To(BeEmpty())
		Expect(r.Put(now, entry("a"))).To(Equal(registry.ChangeNone), "entry from before the drain")
		Expect(open(now)).To(BeEmpty())
	})

	// Guards against sending full load to a process that was restarted under the
	// same name.
	It("treats a new process with a known ID as a new, cold target", func() {
		r.Put(now, entry("a"))
		r.MarkListed()
		before := open(now)["a"]
		restarted := entry("a")
		restarted.StartedAtMs, restarted.Sequence = 200, 1
		Expect(r.Put(now, restarted)).To(Equal(registry.ChangeAdded))
		after := open(now)["a"]
		Expect(after).NotTo(BeIdenticalTo(before))
		Expect(after.ServerCold(at(2900 * time.Millisecond))).To(BeTrue())
		Expect(after.ServerCold(at(3100 * time.Millisecond))).To(BeFalse())
		late := entry("a")
		late.Sequence = 99
		Expect(r.Put(now, late)).To(Equal(registry.ChangeNone), "late entry of the previous process")
	})

	// Guards against sending two requests in quick succession to a cold target.
	It("paces requests to a cold target", func() {
		cold := entry("a")
		cold.ColdRemaining = 2 * time.Second
		r.Put(now, cold)
		t := open(now)["a"]
		_, ok := t.Admit(now)
		Expect(ok).To(BeTrue())
		_, ok = t.Admit(at(900 * time.Millisecond))
		Expect(ok).To(BeFalse())
		_, ok = t.Admit(at(1100 * time.Millisecond))
		Expect(ok).To(BeTrue())
		_, ok = t.Admit(at(2100 * time.Millisecond))
		Expect(ok).To(BeTrue(), "warm again and below its limit")
	})

	// Guards against a service that loses all its targets because entries expire
	// during an outage of the store, and against keeping dead targets afterwards.
	It("keeps targets with expired entries for a grace period after an outage", func() {
		r.Put(now, entry("a"))
		r.Put(now, entry("b"))
		Expect(r.Remove(now, "a", now)).To(Equal(registry.ChangeMissing))
		Expect(r.Remove(now, "b", now)).To(Equal(registry.ChangeMissing))
		Expect(open(at(time.Second))).To(HaveLen(2))
		again := entry("a")
		again.Sequence = 2
		r.Put(at(time.Second), again)
		Expect(open(at(2 * time.Second))).To(And(HaveKey("a"), Not(HaveKey("b"))))
	})

	// Guards against sending requests to a target that is known to be gone.
	It("removes a target immediately while the store is available", func() {
		r.Put(now, entry("a"))
		Expect(r.Remove(now, "a", time.Time{})).To(Equal(registry.ChangeRemoved))
		Expect(open(now)).To(BeEmpty())
	})

	// Guards against keeping a target that left 1.3 s after an outage for another
	// 1.9 s: the time for which expired entries are kept begins with the return of
	// the store.
	It("counts the grace period from the end of the outage", func() {
		r.Put(now, entry("a"))
		r.Put(now, entry("b"))
		Expect(r.Remove(at(1300*time.Millisecond), "a", now)).To(Equal(registry.ChangeMissing))
		Expect(open(at(1800 * time.Millisecond))).To(HaveKey("a"))
		Expect(open(at(1900 * time.Millisecond))).NotTo(HaveKey("a"))
		Expect(r.Remove(at(2*time.Second), "b", now)).To(Equal(registry.ChangeRemoved))
	})

	// Guards against sending requests to a server that has announced its shutdown,
	// whatever the store says of the same process.
	DescribeTable("sends no requests to a leaving server until a later process has its ID",
		func(change func()) {
			r.Put(now, entry("a"))
			open(now)["a"].MarkLeaving(1)
			Expect(r.Refresh(now).Leaving).To(Equal([]string{"a"}))
			Expect(open(now)).To(BeEmpty())
			change()
			Expect(open(at(time.Minute))).To(BeEmpty())
			Expect(r.Refresh(at(time.Minute)).Leaving).To(BeEmpty(), "reported once")
			later := entry("a")
			later.StartedAtMs, later.Sequence = 200, 0
			Expect(r.Put(at(time.Minute), later)).To(Equal(registry.ChangeAdded))
			Expect(open(at(time.Minute))).To(HaveKey("a"))
		},
		Entry("without further news", func() {}),
		Entry("a later entry says that it is ready", func() {
			again := entry("a")
			again.Sequence = 2
			r.Put(now, again)
		}),
		Entry("its entry is removed and comes back", func() {
			r.Remove(now, "a", time.Time{})
			r.Refresh(now)
			r.Put(at(time.Second), entry("a"))
		}),
		Entry("its entry is missing after an outage and comes back", func() {
			r.Remove(now, "a", now)
			r.Refresh(at(5 * time.Second))
			r.Put(at(6*time.Second), entry("a"))
		}),
		Entry("a new configuration comes into force", func() {
			r.SetConfig(&routing.Config{Version: 2, Services: []routing.Service{{Name: "orders"}}})
		}),
		Entry("a new list of targets is read", func() {
			r.Put(now, entry("a"))
			r.MarkListed()
		}),
		Entry("its zone is evacuated and returns", func() {
			r.Evacuate(now, "az-1", true)
			r.Evacuate(now, "az-1", false)
		}),
	)

	It("keeps a leaving server out when its entry names other slots", func() {
		r.Put(now, entry("a"))
		open(now)["a"].MarkLeaving(1)
		other := entry("a")
		other.Slots, other.Sequence = 4, 2
		Expect(r.Put(now, other)).To(Equal(registry.ChangeAdded))
		Expect(open(now)).To(BeEmpty())
	})

	// Guards against ending the pause for which a server has asked because its entry
	// disappeared for a moment, and against extending it to its next process.
	It("keeps the pause of a process whose entry was removed and came back", func() {
		pause := target.Notice{Pause: 5 * time.Second}
		r.Put(now, entry("a"))
		open(now)["a"].ObserveNotice(now, 1, pause, 0)
		r.Remove(now, "a", time.Time{})
		r.Put(at(time.Second), entry("a"))
		Expect(open(at(time.Second))["a"].Admits(at(4900 * time.Millisecond))).To(BeFalse())
		Expect(open(at(time.Second))["a"].Admits(at(5 * time.Second))).To(BeTrue())
		open(now)["a"].ObserveNotice(at(5*time.Second), 1, pause, 0)
		later := entry("a")
		later.StartedAtMs = 200
		r.Put(at(6*time.Second), later)
		Expect(open(at(6 * time.Second))["a"].Admits(at(6 * time.Second))).To(BeTrue())
	})

	// Guards against memory that grows with every target that was ever removed.
	It("forgets a removed process after a while", func() {
		r.Put(now, entry("a"))
		open(now)["a"].MarkLeaving(1)
		r.Remove(now, "a", time.Time{})
		r.Refresh(at(16 * time.Minute))
		r.Put(at(16*time.Minute), entry("a"))
		Expect(open(at(16 * time.Minute))).To(HaveKey("a"))
	})

	// Guards against sending requests to a zone that operators have evacuated, and
	// against sending full load to its targets when it returns.
	It("sends no requests to an evacuated zone and treats its targets as cold when it returns", func() {
		r.Put(now, entry("a"))
		r.Evacuate(now, "az-1", true)
		Expect(open(now)).To(BeEmpty())
		r.Evacuate(now, "az-1", false)
		Expect(open(now)["a"].ServerCold(at(time.Second))).To(BeTrue())
	})

	// Guards against exceeding the retry budget because each of many instances uses
	// the whole minimum: 48 instances made 1,396 retries in 10 s where 1,376 were
	// allowed.
	It("divides the minimum of the retry budget among the instances", func() {
		r.Refresh(now)
		budget := r.Service("orders").RetryBudget
		granted := func() (count int) {
			for budget.Allow(now) {
				count++
			}
			return count
		}
		minimum = 2
		r.Refresh(now)
		Expect(granted()).To(Equal(2))
		minimum = 1
		r.Refresh(now)
		Expect(granted()).To(BeZero())
	})

	// Guards against a changed share of retries that takes effect only after a
	// restart, although the reload of the settings is logged.
	It("applies a changed share of retries to existing services", func() {
		r.Refresh(now)
		budget := r.Service("orders").RetryBudget
		percent = 0
		r.Refresh(now)
		Expect(budget.Allow(now)).To(BeFalse())
		percent = 10
		r.Refresh(now)
		Expect(budget.Allow(now)).To(BeTrue())
	})

	// Guards against sending requests to a target that now belongs to another
	// service.
	It("moves a target that changes its service", func() {
		r.Put(now, entry("a"))
		moved := entry("a")
		moved.Service, moved.StartedAtMs = "clinic", 300
		r.Put(now, moved)
		Expect(open(now)).To(BeEmpty())
	})
})
