package measure

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/internal/standin/traffic"
)

// LatencyBreakdown splits the latencies of one scenario into their parts, in
// milliseconds: the service time, the wait for a slot at the server, and the
// rest, which is the wait in the instance and the network hops.
type LatencyBreakdown struct {
	Part           string  `json:"part"`
	Policy         string  `json:"policy"`
	ServiceP99     float64 `json:"service_p99_ms"`
	WaitP50        float64 `json:"wait_p50_ms"`
	WaitP90        float64 `json:"wait_p90_ms"`
	WaitP99        float64 `json:"wait_p99_ms"`
	BalancerP50    float64 `json:"balancer_p50_ms"`
	BalancerP99    float64 `json:"balancer_p99_ms"`
	LeastPerServer int     `json:"least_per_server"`
	MostPerServer  int     `json:"most_per_server"`
	Attempts       int     `json:"attempts"`
}

// attemptTimes collects the times of the attempts in one scenario.
type attemptTimes struct {
	service, wait, balancer []time.Duration
	attemptsPerServer       map[string]int
	attempts                int // also those that were not answered
}

// latencyBreakdowns reads the journals of the targets and returns a breakdown
// for each scenario. The journal of a killed target is lost and counts as
// empty.
func latencyBreakdowns(ctx context.Context, d *deployment) ([]LatencyBreakdown, error) {
	records, err := traffic.ReadRecords(ctx, d.cluster)
	if err != nil {
		return nil, fmt.Errorf("break the latencies down: %w", err)
	}
	latencies := map[string]time.Duration{}
	for _, request := range d.sender.Requests() {
		if request.Outcome == traffic.OutcomeAnswered {
			latencies[request.Path] = request.Duration
		}
	}
	byScenario := map[string]*attemptTimes{}
	records.Count(func(t *traffic.TargetRecord, entry *targetserver.Entry) bool {
		// The path is /SERVICE/CLASS/SCENARIO/NUMBER.
		segments := strings.Split(entry.Path, "/")
		if len(segments) < 4 {
			return false
		}
		name := segments[3]
		if byScenario[name] == nil {
			byScenario[name] = &attemptTimes{attemptsPerServer: map[string]int{}}
		}
		byScenario[name].add(t.Name, entry, latencies)
		return false
	})
	var breakdowns []LatencyBreakdown
	for _, s := range scenarios() {
		if p := byScenario[s.name]; p != nil {
			breakdowns = append(breakdowns, p.breakdown(s.name, string(d.policy)))
		}
	}
	return breakdowns, nil
}

// add adds an attempt at a server. latencies holds the latency of each answered
// request as its caller saw it, by the path of the request.
func (p *attemptTimes) add(server string, entry *targetserver.Entry, latencies map[string]time.Duration) {
	p.attempts++
	p.attemptsPerServer[server]++
	if entry.Outcome != targetserver.OutcomeAnswered {
		return
	}
	p.service = append(p.service, entry.Ended.Sub(entry.Started))
	p.wait = append(p.wait, entry.Started.Sub(entry.Arrived))
	if latency, ok := latencies[entry.Path]; ok {
		p.balancer = append(p.balancer, latency-entry.Ended.Sub(entry.Arrived))
	}
}

// breakdown returns the quantiles of the collected times.
func (p *attemptTimes) breakdown(part, policy string) LatencyBreakdown {
	slices.Sort(p.service)
	slices.Sort(p.wait)
	slices.Sort(p.balancer)
	c := LatencyBreakdown{
		Part: part, Policy: policy, Attempts: p.attempts, LeastPerServer: p.attempts,
		ServiceP99: quantile(p.service, 0.99),
		WaitP50:    quantile(p.wait, 0.5), WaitP90: quantile(p.wait, 0.9), WaitP99: quantile(p.wait, 0.99),
		BalancerP50: quantile(p.balancer, 0.5), BalancerP99: quantile(p.balancer, 0.99),
	}
	for _, count := range p.attemptsPerServer {
		c.LeastPerServer, c.MostPerServer = min(c.LeastPerServer, count), max(c.MostPerServer, count)
	}
	return c
}

// quantile returns a quantile of sorted durations, in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return toMillis(sorted[min(len(sorted)-1, int(q*float64(len(sorted))))])
}
