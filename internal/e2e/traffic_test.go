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

// trafficMix is an open-loop load on the service "orders": the times of the
// requests follow from Rate, Surge and Seed, not from how fast they are answered.
type trafficMix struct {
	Rate float64 // requests per second, Poisson
	// Surge is the number of requests that are due at once every surgeInterval,
	// so that requests queue and cold targets are needed.
	Surge int
	Seed  uint64
	// AttemptLimit is the time limit of one attempt; 0 means none.
	AttemptLimit time.Duration
	// Callers holds the instance addresses that callers start from; if empty,
	// those of all instances of the cluster.
	Callers []string
}

const surgeInterval = 500 * time.Millisecond

var trafficClasses = []loadgen.Class{{Name: "status", Weight: 6}, {Name: "reorder", Weight: 3}, {Name: "scan", Weight: 1}}

// numCallers is the number of callers, each with its own cached directory and
// connections.
const numCallers = 4

// sentRequest is one request of the load and its result.
type sentRequest struct {
	Number     int
	Class      string
	Path       string
	Due, Ended time.Time
	Result     string // caller.OutcomeOf
	Err        error
	Status     int
	Intact     bool // the answer belongs to this request and is complete
	Instance   string
	Sends      int
}

// Answered reports whether the request was answered with status 200 and the
// correct body.
func (s sentRequest) Answered() bool { return s.Err == nil && s.Status == http.StatusOK && s.Intact }

func (s sentRequest) String() string {
	return fmt.Sprintf("%s %s due %s took %v: %s, status %d, intact %t, by %s, %d sends, %v", s.Class, s.Path,
		s.Due.Format("05.000"), s.Ended.Sub(s.Due), s.Result, s.Status, s.Intact, s.Instance, s.Sends, s.Err)
}

// traffic sends the requests of a mix until it is stopped.
type traffic struct {
	mix     trafficMix
	callers []*caller.Client
	stopped chan struct{}
	stop    sync.Once
	running sync.WaitGroup

	mu   sync.Mutex
	done []sentRequest
}

func startTraffic(ctx context.Context, cluster *testcluster.Cluster, m trafficMix) *traffic {
	t := &traffic{mix: m, stopped: make(chan struct{})}
	addresses := m.Callers
	for _, i := range cluster.Instances {
		if len(m.Callers) == 0 {
			addresses = append(addresses, i.CallerAddress)
		}
	}
	for i := range numCallers {
		zone := cluster.Plan.Zones[i%len(cluster.Plan.Zones)]
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
	start := time.Now()
	plan := loadgen.NewSchedule(t.mix.Rate, loadgen.Poisson, trafficClasses, t.mix.Seed)
	next, surge, number := plan.Next(), surgeInterval, 0
	sendDue := func(class string, due time.Duration) {
		n := number
		number++
		t.running.Go(func() { t.send(ctx, n, class, start.Add(due)) })
	}
	for {
		due := next.Due
		if t.mix.Surge > 0 {
			due = min(due, surge)
		}
		select {
		case <-t.stopped:
			return
		case <-time.After(time.Until(start.Add(due))):
		}
		if due == next.Due {
			sendDue(trafficClasses[next.Class].Name, due)
			next = plan.Next()
			continue
		}
		for i := range t.mix.Surge {
			sendDue(trafficClasses[i%len(trafficClasses)].Name, due)
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
	s := sentRequest{Number: number, Class: class, Path: path, Due: due, Ended: time.Now(), Result: caller.OutcomeOf(err), Err: err}
	if err == nil {
		s.Status, s.Instance, s.Sends = response.Status, response.Instance, response.Sends
		var got targetserver.Answer
		want := targetserver.ExpectedAnswer("orders", response.Key, path, request.Body, 0)
		s.Intact = json.Unmarshal(response.Body, &got) == nil && got == want
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done = append(t.done, s)
}

// Stop sends no further requests, waits for those in flight, and returns all
// requests.
func (t *traffic) Stop() []sentRequest {
	t.stop.Do(func() { close(t.stopped) })
	t.running.Wait()
	return t.Done()
}

// Done returns the requests that have ended.
func (t *traffic) Done() []sentRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.done)
}

// answeredAfter returns how many requests that were due after the given time have
// been answered.
func (t *traffic) answeredAfter(after time.Time) int {
	count := 0
	for _, s := range t.Done() {
		if s.Due.After(after) && s.Answered() {
			count++
		}
	}
	return count
}

// waitForProgress waits until 20 requests that are due after this call have been
// answered.
func (t *traffic) waitForProgress(ctx context.Context) {
	GinkgoHelper()
	now := time.Now()
	Eventually(ctx, func() int { return t.answeredAfter(now) }).WithTimeout(20 * time.Second).Should(BeNumerically(">=", 20))
}

// expectAllAnswered stops the load and checks that none of its requests failed.
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

// warmUpTargets sends load until every instance has used every target. A cold
// target is used by one instance only, so all targets are warm then. The bursts
// are large enough that the warm targets do not suffice for any instance.
func warmUpTargets(ctx context.Context, cluster *testcluster.Cluster) {
	GinkgoHelper()
	load := startTraffic(ctx, cluster, trafficMix{Rate: 100, Surge: 150, Seed: 1})
	Eventually(ctx, func() (missing []string) {
		for _, t := range cluster.Targets {
			users := map[string]bool{}
			for _, e := range fetchJournal(ctx, t).Entries {
				users[e.Instance] = users[e.Instance] || e.Executed()
			}
			for _, i := range cluster.Instances {
				if !users[i.ID] {
					missing = append(missing, i.ID+" at "+t.Name)
				}
			}
		}
		return missing
	}).WithTimeout(30 * time.Second).WithPolling(50 * time.Millisecond).Should(BeEmpty())
	load.Stop()
}

// fetchJournal returns the journal of a target, which must be complete.
func fetchJournal(ctx context.Context, t *testcluster.Target) targetserver.Journal {
	GinkgoHelper()
	journal, err := t.Control.Journal(ctx)
	Expect(err).NotTo(HaveOccurred(), t.Name)
	Expect(journal.Dropped).To(BeZero(), t.Name)
	return journal
}

// lastArrival returns the time at which the last request arrived or started at a
// target, or the zero time if none did after the given time.
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

// countExecutionsAfter returns how many executions the target started after the
// given time.
func countExecutionsAfter(journal targetserver.Journal, after time.Time) int {
	count := 0
	for _, e := range journal.Entries {
		if e.Started.After(after) {
			count++
		}
	}
	return count
}

// expectNoneInterrupted checks that all executions at the target were answered.
func expectNoneInterrupted(name string, journal targetserver.Journal) {
	GinkgoHelper()
	for _, e := range journal.Entries {
		if e.Executed() {
			Expect(e.Outcome).To(Equal(targetserver.OutcomeAnswered), "%s: %+v", name, e)
		}
	}
}

// expectAtMostOnce checks that no non-idempotent request was executed twice, over
// all targets.
func expectAtMostOnce(ctx context.Context, cluster *testcluster.Cluster) {
	GinkgoHelper()
	runs := map[string]int{}
	for _, t := range cluster.Targets {
		for _, e := range fetchJournal(ctx, t).Entries {
			if e.Executed() && e.Class != "status" {
				runs[e.Path]++
			}
		}
	}
	for path, count := range runs {
		Expect(count).To(Equal(1), path)
	}
}

// targetsIn returns the targets of one availability zone.
func targetsIn(cluster *testcluster.Cluster, zone string) []*testcluster.Target {
	var found []*testcluster.Target
	for _, t := range cluster.Targets {
		if t.Zone == zone {
			found = append(found, t)
		}
	}
	return found
}

// health holds the fields of a health response that the specs use.
type health struct {
	ConfigVersion uint64 `json:"config_version"`
	Isolated      bool   `json:"isolated"`
	Leaving       bool   `json:"leaving"`
}

func fetchHealth(ctx context.Context, i *testcluster.Instance) (health, error) {
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

// configVersions returns the configuration version in force at each instance, or
// 0 for one that does not respond.
func configVersions(ctx context.Context, cluster *testcluster.Cluster) []uint64 {
	var all []uint64
	for _, i := range cluster.Instances {
		h, _ := fetchHealth(ctx, i)
		all = append(all, h.ConfigVersion)
	}
	return all
}

// waitForVersion waits until a configuration version is in force on all instances
// and returns how long that took.
func waitForVersion(ctx context.Context, cluster *testcluster.Cluster, version uint64, limit time.Duration) time.Duration {
	GinkgoHelper()
	start := time.Now()
	Eventually(ctx, func() []uint64 { return configVersions(ctx, cluster) }).WithTimeout(limit).WithPolling(20 * time.Millisecond).
		Should(And(HaveLen(len(cluster.Instances)), HaveEach(version)))
	return time.Since(start)
}
