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

// Cause splits the latencies of one situation into their parts, in
// milliseconds: the service time, the wait for a slot at the server, and the
// rest, which is the wait in the instance and the hops.
type Cause struct {
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

// parts are the times of the attempts of one situation.
type parts struct {
	service, wait, balancer []time.Duration
	perServer               map[string]int
	attempts                int
}

// causesOf reads the journals. That of a server that was lost is empty.
func causesOf(ctx context.Context, d *deployment) ([]Cause, error) {
	records, err := traffic.ReadRecords(ctx, d.fleet)
	if err != nil {
		return nil, fmt.Errorf("find the causes of latencies: %w", err)
	}
	took := map[string]time.Duration{}
	for _, w := range d.sender.Works() {
		if w.Outcome == traffic.OutcomeAnswered {
			took[w.Path] = w.Took
		}
	}
	all := map[string]*parts{}
	records.Count(func(t *traffic.TargetRecord, entry *targetserver.Entry) bool {
		sections := strings.Split(entry.Path, "/")
		if len(sections) < 4 {
			return false
		}
		name := sections[3]
		if all[name] == nil {
			all[name] = &parts{perServer: map[string]int{}}
		}
		all[name].add(t.Name, entry, took)
		return false
	})
	var causes []Cause
	for _, s := range situations() {
		if p := all[s.name]; p != nil {
			causes = append(causes, p.cause(s.name, string(d.policy)))
		}
	}
	return causes, nil
}

func (p *parts) add(server string, entry *targetserver.Entry, took map[string]time.Duration) {
	p.attempts++
	p.perServer[server]++
	if entry.Outcome != targetserver.OutcomeAnswered {
		return
	}
	p.service = append(p.service, entry.Ended.Sub(entry.Started))
	p.wait = append(p.wait, entry.Started.Sub(entry.Arrived))
	if whole, ok := took[entry.Path]; ok {
		p.balancer = append(p.balancer, whole-entry.Ended.Sub(entry.Arrived))
	}
}

func (p *parts) cause(part, policy string) Cause {
	slices.Sort(p.service)
	slices.Sort(p.wait)
	slices.Sort(p.balancer)
	c := Cause{
		Part: part, Policy: policy, Attempts: p.attempts, LeastPerServer: p.attempts,
		ServiceP99: quantile(p.service, 0.99),
		WaitP50:    quantile(p.wait, 0.5), WaitP90: quantile(p.wait, 0.9), WaitP99: quantile(p.wait, 0.99),
		BalancerP50: quantile(p.balancer, 0.5), BalancerP99: quantile(p.balancer, 0.99),
	}
	for _, count := range p.perServer {
		c.LeastPerServer, c.MostPerServer = min(c.LeastPerServer, count), max(c.MostPerServer, count)
	}
	return c
}

// quantile returns a quantile of sorted times in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return millis(sorted[min(len(sorted)-1, int(q*float64(len(sorted))))])
}
