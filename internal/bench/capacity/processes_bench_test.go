package capacity

import (
	"fmt"
	"testing"
	"time"
)

const (
	settleTime  = 4 * time.Second
	measureTime = 6 * time.Second
)

// idleCase is one case of BenchmarkIdle.
type idleCase struct {
	name string
	deploymentSize
	listed targetListing
	warmUp bool // warm up all targets with requests first
}

// listedIdleCase returns a case with warm targets that are in the instance list.
func listedIdleCase(name string, s deploymentSize) idleCase { return idleCase{name, s, true, true} }

// BenchmarkIdle measures the resource usage of one entry instance in a
// deployment of real processes while no requests arrive.
func BenchmarkIdle(b *testing.B) {
	var cases []idleCase
	for _, size := range [][2]int{{10, 3}, {100, 3}, {1000, 3}, {10, 7}, {100, 7}, {1000, 7}, {10, 30}, {100, 30}} {
		links := 2
		if size[1] == 30 {
			links = 1
		}
		cases = append(cases, listedIdleCase(fmt.Sprintf("warm/targets=%d/instances=%d", size[0], size[1]),
			deploymentSize{targets: size[0], instances: size[1], links: links, services: min(29, size[0])}))
	}
	cases = append(cases,
		listedIdleCase("warm/targets=1000/instances=1/links=1", deploymentSize{targets: 1000, instances: 1, links: 1, services: 29}),
		listedIdleCase("warm/targets=1000/instances=1/links=4", deploymentSize{targets: 1000, instances: 1, links: 4, services: 29}),
		idleCase{"cold/targets=1000/instances=3/links=2", deploymentSize{targets: 1000, instances: 3, links: 2, services: 29, answers: 5}, true, false},
		idleCase{"unlisted/targets=1000/instances=3", deploymentSize{targets: 1000, instances: 3, links: 2, services: 29}, false, true},
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
	d := deploy(b, c.deploymentSize, c.listed)
	if c.warmUp {
		d.targets.slow.Store(true)
		for _, i := range d.Instances {
			d.sendConcurrently(b, i, c.services, 12*c.targets)
		}
		d.waitForLinks(b, c.deploymentSize)
	}
	<-time.After(settleTime)
	pid := d.Instances[0].PID()
	before := readUsage(b, pid)
	<-time.After(measureTime)
	after := readUsage(b, pid)
	seconds := after.at.Sub(before.at).Seconds()
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/seconds, "%core")
	b.ReportMetric((after.readBytes-before.readBytes)/seconds, "recvB/s")
	b.ReportMetric((after.writtenBytes-before.writtenBytes)/seconds, "sentB/s")
	b.ReportMetric((after.writes-before.writes)/seconds, "writes/s")
	b.ReportMetric(after.residentBytes/1e6, "MB")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCall measures the CPU time of one entry instance per request, with 20
// targets that respond immediately.
func BenchmarkCall(b *testing.B) {
	for _, rate := range []int{500, 2000, 5000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				measureCallCost(b, rate)
			}
		})
	}
}

func measureCallCost(b *testing.B, rate int) {
	s := deploymentSize{targets: 20, instances: 1, links: 8, services: 1}
	d := deploy(b, s, true)
	d.sendConcurrently(b, d.Instances[0], s.services, 2000)
	pid := d.Instances[0].PID()
	before := readUsage(b, pid)
	sent := d.sendAtRate(b, d.Instances[0], rate, 4*time.Second)
	after := readUsage(b, pid)
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/float64(sent), "cpu-µs/call")
	b.ReportMetric(float64(sent)/after.at.Sub(before.at).Seconds(), "calls/s")
	b.ReportMetric(after.residentBytes/1e6, "MB")
	b.ReportMetric(0, "ns/op")
}
