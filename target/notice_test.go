package target_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/target"
)

var _ = Describe("Notices of a server", func() {
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	var t *target.Target

	BeforeEach(func() { t = target.NewWarm(target.Spec{Name: "a", Slots: 2, Links: 3}, 3) })

	pauseFor := func(duration time.Duration, random float64) {
		t.ObserveNotice(now, 1, target.Notice{Pause: duration}, random)
	}
	admits := func(at time.Time) bool {
		permit, ok := t.Admit(at)
		if ok {
			permit.Release()
		}
		Expect(t.Admits(at)).To(Equal(ok))
		return ok
	}

	// Guards against sending requests to a server that has announced its shutdown,
	// among them one that was admitted just before the announcement.
	It("admits and sends no request once the server is leaving", func() {
		permit, _ := t.Admit(now)
		t.ObserveNotice(now, 1, target.Notice{Leaving: true}, 0)
		Expect(t.Leaving()).To(BeTrue())
		Expect(admits(at(time.Hour))).To(BeFalse())
		Expect(permit.MaySend(now)).To(BeFalse())
	})

	// Guards against excluding a restarted server because of a late response of its
	// previous process.
	It("ignores a notice of an earlier process", func() {
		t.Restarted(1)
		t.Transition(2, target.StateWarm, 3)
		t.ObserveNotice(now, 1, target.Notice{Leaving: true}, 0)
		Expect(t.Leaving()).To(BeFalse())
		Expect(admits(now)).To(BeTrue())
	})

	// Guards against sending requests to a server during the time for which it has
	// asked to be left alone, and against leaving it alone for longer.
	It("admits and sends no request during a pause", func() {
		permit, _ := t.Admit(now)
		pauseFor(1500*time.Millisecond, 0)
		Expect(permit.MaySend(at(1499 * time.Millisecond))).To(BeFalse())
		Expect(admits(at(1499 * time.Millisecond))).To(BeFalse())
		until, paused := t.PausedUntil(at(time.Second))
		Expect(paused).To(BeTrue())
		Expect(until).To(BeTemporally("~", at(1500*time.Millisecond), time.Microsecond))
		Expect(admits(at(1500 * time.Millisecond))).To(BeTrue())
		_, paused = t.PausedUntil(at(1500 * time.Millisecond))
		Expect(paused).To(BeFalse())
	})

	It("does not shorten a pause", func() {
		pauseFor(2*time.Second, 0)
		pauseFor(time.Second, 0)
		Expect(admits(at(1900 * time.Millisecond))).To(BeFalse())
	})

	// Guards against excluding a server for good because of a wrong value.
	It("bounds the length of a pause", func() {
		pauseFor(1<<62, 1)
		Expect(admits(at(target.MaxPause))).To(BeFalse())
		Expect(admits(at(target.MaxPause + time.Second))).To(BeTrue())
	})

	// Guards against a herd: all instances returned to a server at the moment at
	// which its pause ended, and it asked for another one.
	It("spreads the ends of equal pauses of many instances", func() {
		const instances, length = 188, 2 * time.Second
		back := map[time.Duration]int{} // instances by the tenth of a second in which they return
		for i := range instances {
			t = target.NewWarm(target.Spec{Name: "a", Slots: 2, Links: 3}, 3)
			pauseFor(length, float64(i)/instances)
			until, _ := t.PausedUntil(now)
			Expect(until).To(BeTemporally(">=", at(length-time.Microsecond)))
			back[until.Sub(now).Truncate(100*time.Millisecond)]++
		}
		for after, count := range back {
			Expect(count).To(BeNumerically("<=", instances/5+1), "return after %v", after)
		}
	})

	// Guards against sending requests to a leaving or paused server whose entry has
	// changed.
	It("keeps the notices of the same process under another description", func() {
		pauseFor(2*time.Second, 0)
		t.MarkLeaving(1)
		other := target.NewWarm(target.Spec{Name: "a", Slots: 4, Links: 5}, 5)
		other.InheritNotices(t)
		Expect(other.Leaving()).To(BeTrue())
		_, paused := other.PausedUntil(at(time.Second))
		Expect(paused).To(BeTrue())
	})
})
