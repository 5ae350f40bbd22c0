package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/config"
	"fulmarhoist.example/configlog"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/lease"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
)

// start is the start time of all benchmarks in virtual time.
var start = time.Unix(1_764_000_000, 0)

func newCatalog(s deploymentSize) *service.Catalog {
	c := service.NewCatalog("az-1", service.PolicyShortestExpectedDelay)
	c.Apply(config.State{Version: 1, ID: "capacity", Config: s.configuration()})
	return c
}

var sizes = []deploymentSize{
	{targets: 20, services: 1, instances: 7, links: 4},
	{targets: 100, services: 1, instances: 7, links: 4},
	{targets: 1000, services: 1, instances: 7, links: 4},
	{targets: 1000, services: 29, instances: 7, links: 4},
}

func (s deploymentSize) String() string {
	return fmt.Sprintf("targets=%d/services=%d", s.targets, s.services)
}

// BenchmarkRebuild measures the time to rebuild the routing snapshot after one
// target began to leave or came back.
func BenchmarkRebuild(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			c := newCatalog(s)
			name := c.Snapshot().TargetNames()[0]
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				c.SetLeaving(map[string]bool{name: n%2 == 0, "other": n%2 == 1})
			}
		})
	}
}

// BenchmarkChoose measures the choice of a target and the release of its permit.
func BenchmarkChoose(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			c := newCatalog(s)
			for t := range c.Snapshot().Targets() {
				_, generation := t.State()
				t.Transition(generation, target.StateWarm, slotsPerTarget)
			}
			svc, _ := c.Snapshot().Service("service-01")
			b.ReportAllocs()
			for n := uint64(0); b.Loop(); n++ {
				permit, ok := svc.Choose(start, nil, n*0x9e3779b97f4a7c15)
				if !ok {
					b.Fatal("no target admits")
				}
				permit.Release()
			}
		})
	}
}

// BenchmarkOwnLoads measures the lookup of each target by its name, which is
// done for every heartbeat.
func BenchmarkOwnLoads(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			snapshot := newCatalog(s).Snapshot()
			names := instance.NewTable(1, snapshot.TargetNames()).Names()
			for b.Loop() {
				for _, name := range names {
					if snapshot.Target(name) == nil {
						b.Fatal(name)
					}
				}
			}
		})
	}
}

// BenchmarkConfiguration measures the size of a publication, and the time to
// validate and to decode it.
func BenchmarkConfiguration(b *testing.B) {
	for _, s := range sizes {
		c := s.configuration()
		publication := config.Publication{ID: "0123456789abcdef", Base: 300, Config: c}
		data, err := configlog.Encode(publication)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("validate/"+s.String(), func(b *testing.B) {
			for b.Loop() {
				if problems := config.Validate(c); len(problems) > 0 {
					b.Fatal(problems[0])
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run("decode/"+s.String(), func(b *testing.B) {
			for b.Loop() {
				_ = configlog.Decode(data)
			}
		})
	}
}

// BenchmarkListing measures the decoding of the instance list, with the JSON
// fields that the client reads.
func BenchmarkListing(b *testing.B) {
	for _, count := range []int{45, 1030, 1400} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			type member struct {
				ID      string `json:"id"`
				Kind    string `json:"kind"`
				Zone    string `json:"zone"`
				Address string `json:"address"`
				Leaving bool   `json:"leaving"`
			}
			var members []member
			for i := range count {
				members = append(members, member{
					ID: fmt.Sprintf("service-%02d-%04d", i%29+1, i), Kind: string(backing.KindTarget),
					Zone: "az-1", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
				})
			}
			data, err := json.Marshal(map[string]any{"version": 9, "members": members})
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var got struct {
					Members []member `json:"members"`
				}
				if err := json.Unmarshal(data, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// heapBytes returns the size of all live objects in bytes.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkLedger measures the memory per request key of one epoch, for responses
// without a body.
func BenchmarkLedger(b *testing.B) {
	const keys = 100_000
	for b.Loop() {
		ledger := contract.NewLedger("entry-1", 1, start)
		ticket := ledger.Ticket(start)
		before := heapBytes()
		for i := range keys {
			key := contract.Key{Ticket: ticket, Name: fmt.Sprintf("order-%026d", i)}
			entry, _, err := ledger.Open(start, key)
			if err != nil {
				b.Fatal(err)
			}
			ledger.Settle(key, entry, contract.Answer{Status: 200})
		}
		b.ReportMetric((heapBytes()-before)/keys, "bytes/key")
		runtime.KeepAlive(ledger)
	}
}

// BenchmarkLease measures the time to handle one lease request when all targets
// have a grant, and the memory per grant.
func BenchmarkLease(b *testing.B) {
	for _, count := range []int{20, 1000} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			before := heapBytes()
			g := lease.NewGranter()
			requests := make([]lease.Request, count)
			for i := range requests {
				requests[i] = lease.Request{Target: fmt.Sprintf("service-01-%04d", i), Round: 1}
				g.HandleRequest(start, requests[i], lease.Participant{Instance: "entry-1", Incarnation: 1}, time.Second)
			}
			grantBytes := (heapBytes() - before) / float64(count)
			from := lease.Participant{Instance: "entry-1", Incarnation: 1}
			for n := 0; b.Loop(); n++ {
				g.HandleRequest(start, requests[n%count], from, time.Second)
			}
			b.ReportMetric(grantBytes, "bytes/target")
		})
	}
}
