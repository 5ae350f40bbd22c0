package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/standin/instancelist"
	"fulmarhoist.example/internal/standin/testcluster"
)

// programs is the folder that buildPrograms made, if it was called.
var programs string

// buildPrograms makes the programs under test once.
var buildPrograms = sync.OnceValues(func() (string, error) {
	bin, err := os.MkdirTemp("", "fulmarhoist-capacity")
	if err != nil {
		return "", fmt.Errorf("make a folder for programs: %w", err)
	}
	programs = bin
	build := exec.Command("go", "build", "-o", bin+string(os.PathSeparator), "./cmd/...", "./internal/standin/cmd/...")
	build.Dir = filepath.Join("..", "..", "..")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, output)
	}
	return bin, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if programs != "" {
		_ = os.RemoveAll(programs)
	}
	os.Exit(code)
}

// deployment is a fleet of real processes whose targets are in this one.
type deployment struct {
	*testcluster.Cluster
	targets *targets
	client  *http.Client
}

// listing tells whether the instance list names the targets.
type listing bool

func deploy(b *testing.B, s shape, listTargets listing) *deployment {
	b.Helper()
	bin, err := buildPrograms()
	if err != nil {
		b.Fatal(err)
	}
	d := &deployment{
		targets: startTargets(b, s.targets),
		client:  &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 256}, Timeout: 20 * time.Second},
	}
	b.Cleanup(d.client.CloseIdleConnections)
	s.address = func(i int) string { return d.targets.addresses[i] }
	c := s.configuration()
	plan := testcluster.Plan{Bin: bin, Dir: b.TempDir(), DirectoryLifetime: 30 * time.Second}
	for i := range c.Zones {
		plan.Zones = append(plan.Zones, c.Zones[i].Name)
	}
	// The fleet starts with one target of its own, which the configuration below
	// replaces.
	first := c.Services[0]
	plan.Services = []testcluster.ServicePlan{{Name: "first", Classes: first.Classes, Targets: 1, Slots: 2, Connections: 250, ColdStart: config.ColdStart{MaxConcurrent: 1}}}
	plan.Instances = s.instances
	if d.Cluster, err = testcluster.Start(b.Context(), plan); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Stop)
	if listTargets {
		d.list(b, c)
	}
	if err := d.Publish(b.Context(), c); err != nil {
		b.Fatal(err)
	}
	d.awaitLinks(b, s)
	return d
}

func (d *deployment) list(b *testing.B, c *config.Configuration) {
	b.Helper()
	for i := range c.Services {
		for _, t := range c.Services[i].Targets {
			member := instancelist.Member{ID: t.Name, Kind: string(backing.KindTarget), Zone: t.Zone, Address: t.Address}
			if _, err := d.ListControl.Put(b.Context(), member); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// awaitLinks waits until every instance has all its links.
func (d *deployment) awaitLinks(b *testing.B, s shape) {
	b.Helper()
	want := int64(s.instances * s.targets * max(1, s.links))
	limit := time.Now().Add(40 * time.Second)
	for d.targets.conns.Load() < want {
		if time.Now().After(limit) {
			b.Fatalf("%d of %d links are open", d.targets.conns.Load(), want)
		}
		<-time.After(50 * time.Millisecond)
	}
}

// send sends one request through an instance.
func (d *deployment) send(ctx context.Context, to *testcluster.Instance, service string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.CallerAddress+"/a", nil)
	if err != nil {
		return fmt.Errorf("make a request: %w", err)
	}
	request.Header.Set("Fulmarhoist-Service", service)
	request.Header.Set("Fulmarhoist-Class", "status")
	response, err := d.client.Do(request)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return &refusedError{response.StatusCode, string(bytes.TrimSpace(body))}
	}
	return nil
}

type refusedError struct {
	status int
	body   string
}

func (e *refusedError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

// use sends count requests through an instance with many workers, evenly over
// the services.
func (d *deployment) use(b *testing.B, to *testcluster.Instance, services, count int) {
	b.Helper()
	const workers = 128
	var group sync.WaitGroup
	var next, failed atomic.Int64
	for range workers {
		group.Go(func() {
			for n := next.Add(1); n <= int64(count); n = next.Add(1) {
				if d.send(b.Context(), to, fmt.Sprintf("service-%02d", int(n)%services+1)) != nil {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	if failed.Load() > int64(count/100) {
		b.Fatalf("%d of %d requests failed", failed.Load(), count)
	}
}

// atRate sends requests to one instance at a fixed rate, whatever the answers do.
func (d *deployment) atRate(b *testing.B, to *testcluster.Instance, perSecond int, span time.Duration) (sent int) {
	b.Helper()
	const batch = 5 * time.Millisecond
	var group sync.WaitGroup
	var failed atomic.Int64
	ticker := time.NewTicker(batch)
	defer ticker.Stop()
	begin := time.Now()
	for now := begin; now.Sub(begin) < span; now = <-ticker.C {
		for due := int(now.Sub(begin).Seconds() * float64(perSecond)); sent < due; sent++ {
			group.Go(func() {
				if d.send(b.Context(), to, "service-01") != nil {
					failed.Add(1)
				}
			})
		}
	}
	group.Wait()
	b.ReportMetric(float64(failed.Load()), "failed")
	return sent
}
