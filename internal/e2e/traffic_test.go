package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/caller"
	"fulmarhoist.example/internal/loadgen"
	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/internal/standin/testcluster"
)

// mix is the load on the service "orders". Its schedule depends on the seed
// alone, not on how fast answers come back.
type mix struct {
	Rate float64 // requests per second, Poisson
	// Surge requests come at once every surgeInterval, so that requests queue
	// and cold targets are needed.
	Surge int
	Seed  uint64
	// AttemptLimit bounds the wait for one copy; 0 means no bound.
	AttemptLimit time.Duration
	// Callers are the addresses that callers know first; those of all instances
	// of the fleet if empty.
	Callers []string
}

const surgeInterval = 500 * time.Millisecond

var trafficClasses = []loadgen.Class{{Name: "status", Weight: 6}, {Name: "reorder", Weight: 3}, {Name: "scan", Weight: 1}}

// callerCount is the number of callers, each with a directory answer and
// connections of its own.
const callerCount = 4

// sent is one request of the load and what became of it.
type sent struct {
	Number     int
	Class      string
	Path       string
	Due, Ended time.Time
	Result     string // caller.OutcomeOf
	Err        error
	Status     int
	Whole      bool // the answer belongs to this request and is complete
	Instance   string
	Sends      int
}

// Answered tells whether the request was served as it should be.
func (s sent) Answered() bool { return s.Err == nil && s.Status == http.StatusOK && s.Whole }

func (s sent) String() string {
	return fmt.Sprintf("%s %s due %s took %v: %s, status %d, whole %t, by %s, %d sends, %v", s.Class, s.Path,
		s.Due.Format("05.000"), s.Ended.Sub(s.Due), s.Result, s.Status, s.Whole, s.Instance, s.Sends, s.Err)
}

// traffic sends a mix until it is stopped.
type traffic struct {
	mix     mix
	callers []*caller.Client
	stopped chan struct{}
	stop    sync.Once
	running sync.WaitGroup

	mu   sync.Mutex
	done []sent
}

func startTraffic(ctx context.Context, f *testcluster.Cluster, m mix) *traffic {
	t := &traffic{mix: m, stopped: make(chan struct{})}
	addresses := m.Callers
	for _, i := range f.Instances {
		if len(m.Callers) == 0 {
			addresses = append(addresses, i.CallerAddress)
		}
	}
	for i := range callerCount {
		zone := f.Plan.Zones[i%len(f.Plan.Zones)]
		client, err := caller.New(caller.Options{Instances: addresses, Zone: zone, Deadline: 10 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		t.callers = append(t.callers, client)
	}
	t.running.Go(func() { t.schedule(ctx) })
	DeferCleanup(func() {
		t.Stop()
		for _, c := range t.callers {
			c.Close()
		}
	})
	return t
}

// schedule starts each request when it is due.
func (t *traffic) schedule(ctx context.Context) {
	began := time.Now()
	plan := loadgen.NewSchedule(t.mix.Rate, loadgen.Poisson, trafficClasses, t.mix.Seed)
	next, surge, number := plan.Next(), surgeInterval, 0
	start := func(class string, due time.Duration) {
		n := number
		number++
		t.running.Go(func() { t.send(ctx, n, class, began.Add(due)) })
	}
	for {
		due := next.Due
		if t.mix.Surge > 0 {
			due = min(due, surge)
		}
		select {
		case <-t.stopped:
			return
		case <-time.After(time.Until(began.Add(due))):
		}
		if due == next.Due {
			start(trafficClasses[next.Class].Name, due)
			next = plan.Next()
			continue
		}
		for i := range t.mix.Surge {
			start(trafficClasses[i%len(trafficClasses)].Name, due)
		}
		surge += surgeInterval
	}
}

func (t *traffic) send(ctx context.Context, number int, class string, due time.Time) {
	path := fmt.Sprintf("/orders/%d-%d", t.mix.Seed, number)
	request := caller.Request{Service: "orders", Class: class, Method: http.MethodPost, Path: path, AttemptLimit: t.mix.AttemptLimit}
	size := 64
	switch class {
	case "status":
		request.Idempotent = true
	case "scan":
		size = 64 << 10
	}
	request.Body = bytes.Repeat([]byte{byte('a' + number%26)}, size)
	response, err := t.callers[number%len(t.callers)].Do(ctx, request)
	s := sent{Number: number, Class: class, Path: path, Due: due, Ended: time.Now(), Result: caller.OutcomeOf(err), Err: err}
	if err == nil {
		s.Status, s.Instance, s.Sends = response.Status, response.Instance, response.Sends
		var got targetserver.Answer
		want := targetserver.AnswerFor("orders", response.Key, path, request.Body, 0)
		s.Whole = json.Unmarshal(response.Body, &got) == nil && got == want
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done = append(t.done, s)
}

// Stop ends the schedule, waits for the requests in flight, and returns all.
func (t *traffic) Stop() []sent {
	t.stop.Do(func() { close(t.stopped) })
	t.running.Wait()
	return t.Done()
}

// Done returns the requests that have ended.
func (t *traffic) Done() []sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.done)
}

// answeredAfter counts the requests that were due and answered after a moment.
func (t *traffic) answeredAfter(moment time.Time) int {
	count := 0
	for _, s := range t.Done() {
		if s.Due.After(moment) && s.Answered() {
			count++
		}
	}
	return count
}

// keepsGoing waits until requests that became due after this call are answered.
func (t *traffic) keepsGoing(ctx context.Context) {
	GinkgoHelper()
	now := time.Now()
	Eventually(ctx, func() int { return t.answeredAfter(now) }).WithTimeout(20 * time.Second).Should(BeNumerically(">=", 20))
}

// expectAllAnswered stops the load; no request of it may have failed.
func (t *traffic) expectAllAnswered() {
	GinkgoHelper()
	all := t.Stop()
	Expect(len(all)).To(BeNumerically(">", 100), "the load must reach the instances")
	var failed []string
	for _, s := range all {
		if !s.Answered() {
			failed = append(failed, s.String())
		}
	}
	AddReportEntry("load", fmt.Sprintf("%d requests, %d failed", len(all), len(failed)))
	Expect(failed).To(BeEmpty())
}

// warmUp sends load until every instance has used every target. A cold target
// is used by one instance alone, so all are warm then. The surges are large
// enough that every instance runs out of warm targets and needs the cold ones.
func warmUp(ctx context.Context, f *testcluster.Cluster) {
	GinkgoHelper()
	load := startTraffic(ctx, f, mix{Rate: 100, Surge: 150, Seed: 1})
	Eventually(ctx, func() (missing []string) {
		for _, t := range f.Targets {
			users := map[string]bool{}
			for _, e := range journalOf(ctx, t).Entries {
				users[e.Instance] = users[e.Instance] || e.Ran()
			}
			for _, i := range f.Instances {
				if !users[i.ID] {
					missing = append(missing, i.ID+" at "+t.Name)
				}
			}
		}
		return missing
	}).WithTimeout(30 * time.Second).WithPolling(50 * time.Millisecond).Should(BeEmpty())
	load.Stop()
}

// journalOf returns what a target has recorded.
func journalOf(ctx context.Context, t *testcluster.Target) targetserver.Journal {
	GinkgoHelper()
	journal, err := t.Control.Journal(ctx)
	Expect(err).NotTo(HaveOccurred(), t.Name)
	Expect(journal.Dropped).To(BeZero(), t.Name)
	return journal
}

// lastArrival returns when the last request arrived or started at a target
// after a moment; zero if none did.
func lastArrival(journal targetserver.Journal, after time.Time) (last time.Time) {
	for _, e := range journal.Entries {
		for _, at := range []time.Time{e.Arrived, e.Started} {
			if at.After(after) && at.After(last) {
				last = at
			}
		}
	}
	return last
}

// ranAfter counts the executions that a target started after a moment.
func ranAfter(journal targetserver.Journal, after time.Time) int {
	count := 0
	for _, e := range journal.Entries {
		if e.Started.After(after) {
			count++
		}
	}
	return count
}

// expectNoneCut checks that no execution at the target was broken off.
func expectNoneCut(name string, journal targetserver.Journal) {
	GinkgoHelper()
	for _, e := range journal.Entries {
		if e.Ran() {
			Expect(e.Outcome).To(Equal(targetserver.OutcomeAnswered), "%s: %+v", name, e)
		}
	}
}

// expectOnce checks over all targets that no request that must not be repeated
// ran twice.
func expectOnce(ctx context.Context, f *testcluster.Cluster) {
	GinkgoHelper()
	runs := map[string]int{}
	for _, t := range f.Targets {
		for _, e := range journalOf(ctx, t).Entries {
			if e.Ran() && e.Class != "status" {
				runs[e.Path]++
			}
		}
	}
	for path, count := range runs {
		Expect(count).To(Equal(1), path)
	}
}

// targetsIn returns the targets of one availability zone.
func targetsIn(f *testcluster.Cluster, zone string) []*testcluster.Target {
	var found []*testcluster.Target
	for _, t := range f.Targets {
		if t.Zone == zone {
			found = append(found, t)
		}
	}
	return found
}

// health is the part of an instance's health that the specs look at.
type health struct {
	ConfigVersion uint64 `json:"config_version"`
	Isolated      bool   `json:"isolated"`
	Leaving       bool   `json:"leaving"`
}

func healthOf(ctx context.Context, i *testcluster.Instance) (health, error) {
	var h health
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.CallerAddress+"/fulmarhoist/v1/health", nil)
	if err != nil {
		return h, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return h, err
	}
	defer func() { _ = response.Body.Close() }()
	return h, json.NewDecoder(response.Body).Decode(&h)
}

// versions returns the configuration version in force at each instance; 0 for
// one that does not answer.
func versions(ctx context.Context, f *testcluster.Cluster) []uint64 {
	var all []uint64
	for _, i := range f.Instances {
		h, _ := healthOf(ctx, i)
		all = append(all, h.ConfigVersion)
	}
	return all
}

// waitForVersion waits until a configuration version is in force everywhere and
// returns how long that took.
func waitForVersion(ctx context.Context, f *testcluster.Cluster, version uint64, limit time.Duration) time.Duration {
	GinkgoHelper()
	began := time.Now()
	Eventually(ctx, func() []uint64 { return versions(ctx, f) }).WithTimeout(limit).WithPolling(20 * time.Millisecond).
		Should(And(HaveLen(len(f.Instances)), HaveEach(version)))
	return time.Since(began)
}
