package capacity

import (
	"fmt"
	"testing"
	"time"
)

const (
	settle  = 4 * time.Second
	measure = 6 * time.Second
)

// idleCase is a deployment without requests.
type idleCase struct {
	name string
	shape
	listed listing
	use    bool // requests have made all targets warm
}

func idle(name string, s shape) idleCase { return idleCase{name, s, true, true} }

// BenchmarkIdle measures one entry instance of a deployment of real processes
// while no requests arrive.
func BenchmarkIdle(b *testing.B) {
	var cases []idleCase
	for _, size := range [][2]int{{10, 3}, {100, 3}, {1000, 3}, {10, 7}, {100, 7}, {1000, 7}, {10, 30}, {100, 30}} {
		links := 2
		if size[1] == 30 {
			links = 1
		}
		cases = append(cases, idle(fmt.Sprintf("warm/targets=%d/instances=%d", size[0], size[1]),
			shape{targets: size[0], instances: size[1], links: links, services: min(29, size[0])}))
	}
	cases = append(cases,
		idle("warm/targets=1000/instances=1/links=1", shape{targets: 1000, instances: 1, links: 1, services: 29}),
		idle("warm/targets=1000/instances=1/links=4", shape{targets: 1000, instances: 1, links: 4, services: 29}),
		idleCase{"cold/targets=1000/instances=3/links=2", shape{targets: 1000, instances: 3, links: 2, services: 29, answers: 5}, true, false},
		idleCase{"unlisted/targets=1000/instances=3", shape{targets: 1000, instances: 3, links: 2, services: 29}, false, true},
	)
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				c.run(b)
			}
		})
	}
}

func (c idleCase) run(b *testing.B) {
	d := deploy(b, c.shape, c.listed)
	if c.use {
		d.targets.slow.Store(true)
		for _, i := range d.Instances {
			d.use(b, i, c.services, 12*c.targets)
		}
		d.awaitLinks(b, c.shape)
	}
	<-time.After(settle)
	pid := d.Instances[0].PID()
	before := readUsage(b, pid)
	<-time.After(measure)
	after := readUsage(b, pid)
	seconds := after.at.Sub(before.at).Seconds()
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/seconds, "%core")
	b.ReportMetric((after.received-before.received)/seconds, "recvB/s")
	b.ReportMetric((after.sent-before.sent)/seconds, "sentB/s")
	b.ReportMetric((after.writes-before.writes)/seconds, "writes/s")
	b.ReportMetric(after.resident/1e6, "MB")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCall measures the processor time of one entry instance per request
// with 20 targets that answer at once.
func BenchmarkCall(b *testing.B) {
	for _, rate := range []int{500, 2000, 5000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				callCost(b, rate)
			}
		})
	}
}

func callCost(b *testing.B, rate int) {
	s := shape{targets: 20, instances: 1, links: 8, services: 1}
	d := deploy(b, s, true)
	d.use(b, d.Instances[0], s.services, 2000)
	pid := d.Instances[0].PID()
	before := readUsage(b, pid)
	sent := d.atRate(b, d.Instances[0], rate, 4*time.Second)
	after := readUsage(b, pid)
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/float64(sent), "cpu-µs/call")
	b.ReportMetric(float64(sent)/after.at.Sub(before.at).Seconds(), "calls/s")
	b.ReportMetric(after.resident/1e6, "MB")
	b.ReportMetric(0, "ns/op")
}
