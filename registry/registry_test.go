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
	var minimum int
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	entry := func(id string) registry.Entry {
		return registry.Entry{ID: id, Address: "10.0.0.1:80", Service: "orders", Zone: "az-1", Slots: 2, Born: 100, Sequence: 1}
	}

	// open returns the targets that may get work at a time.
	open := func(t time.Time) map[string]*target.Target {
		r.Refresh(t)
		found := map[string]*target.Target{}
		for _, c := range r.Service("orders").View().Candidates {
			found[c.Target.Spec.Name] = c.Target
		}
		return found
	}

	BeforeEach(func() {
		minimum = 3
		r = registry.New(registry.Terms{
			OwnZone: "az-1", RemoteRoundTrip: time.Millisecond, QueueLimit: 10,
			RetryPercent: 10, RetryMinimum: func() int { return minimum },
			Pace: func(string, *routing.Service) time.Duration { return time.Second },
		})
		r.Configure(&routing.Config{Version: 1, Services: []routing.Service{{Name: "orders", ColdFor: 3 * time.Second}}})
	})

	// Guards against work for a target that said it is leaving.
	It("gives a draining target no new work, and keeps it out", func() {
		Expect(r.Put(now, entry("a"))).To(Equal(registry.ChangeAdded))
		Expect(open(now)).To(HaveKey("a"))
		draining := entry("a")
		draining.Draining, draining.Sequence = true, 2
		Expect(r.Put(now, draining)).To(Equal(registry.ChangeDraining))
		Expect(open(now)).To(BeEmpty())
		Expect(r.Put(now, entry("a"))).To(Equal(registry.ChangeNone), "an entry from before")
		Expect(open(now)).To(BeEmpty())
	})

	// Guards against full load for a process that started under a known name.
	It("takes a new process under an old name as a new, cold target", func() {
		r.Put(now, entry("a"))
		r.Listed()
		before := open(now)["a"]
		reborn := entry("a")
		reborn.Born, reborn.Sequence = 200, 1
		Expect(r.Put(now, reborn)).To(Equal(registry.ChangeAdded))
		after := open(now)["a"]
		Expect(after).NotTo(BeIdenticalTo(before))
		Expect(after.Cool(at(2900 * time.Millisecond))).To(BeTrue())
		Expect(after.Cool(at(3100 * time.Millisecond))).To(BeFalse())
		late := entry("a")
		late.Sequence = 99
		Expect(r.Put(now, late)).To(Equal(registry.ChangeNone), "a late entry of the process before")
	})

	// Guards against two requests at once to a cold target.
	It("paces a cold target", func() {
		cold := entry("a")
		cold.ColdLeft = 2 * time.Second
		r.Put(now, cold)
		t := open(now)["a"]
		_, ok := t.Admit(now)
		Expect(ok).To(BeTrue())
		_, ok = t.Admit(at(900 * time.Millisecond))
		Expect(ok).To(BeFalse())
		_, ok = t.Admit(at(1100 * time.Millisecond))
		Expect(ok).To(BeTrue())
		_, ok = t.Admit(at(2100 * time.Millisecond))
		Expect(ok).To(BeTrue(), "warm again, within its limit")
	})

	// Guards against a service without targets when entries expire in an outage
	// of the store, and against targets that stay after it.
	It("keeps targets whose entries went in an outage until they had time to return", func() {
		r.Put(now, entry("a"))
		r.Put(now, entry("b"))
		Expect(r.Remove(now, "a", true)).To(Equal(registry.ChangeMissing))
		Expect(r.Remove(now, "b", true)).To(Equal(registry.ChangeMissing))
		Expect(open(at(time.Second))).To(HaveLen(2))
		again := entry("a")
		again.Sequence = 2
		r.Put(at(time.Second), again)
		Expect(open(at(2 * time.Second))).To(And(HaveKey("a"), Not(HaveKey("b"))))
	})

	// Guards against work for a target that is known to be gone.
	It("removes a target at once while the store is up", func() {
		r.Put(now, entry("a"))
		Expect(r.Remove(now, "a", false)).To(Equal(registry.ChangeRemoved))
		Expect(open(now)).To(BeEmpty())
	})

	// Guards against work for a zone that operators have evacuated, and against
	// full load for its servers when it returns.
	It("gives an evacuated zone no work and brings it back cold", func() {
		r.Put(now, entry("a"))
		r.Evacuate(now, "az-1", true)
		Expect(open(now)).To(BeEmpty())
		r.Evacuate(now, "az-1", false)
		Expect(open(now)["a"].Cool(at(time.Second))).To(BeTrue())
	})

	// Guards against a fixed part of the retry budget that every one of many
	// instances spends in full: 48 instances repeated 1,396 times in 10 s where 1,376
	// were allowed.
	It("shares the fixed part of the retry budget among the instances", func() {
		r.Refresh(now)
		budget := r.Service("orders").Retries
		granted := func() (count int) {
			for budget.Retry(now) {
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

	// Guards against requests to a server of another service at a used address.
	It("moves a target that changes its service", func() {
		r.Put(now, entry("a"))
		moved := entry("a")
		moved.Service, moved.Born = "clinic", 300
		r.Put(now, moved)
		Expect(open(now)).To(BeEmpty())
	})
})
