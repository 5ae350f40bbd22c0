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

// binDir is the directory that buildBinaries created; empty if it was not called.
var binDir string

// buildBinaries builds the programs under test on the first call and returns
// their directory.
var buildBinaries = sync.OnceValues(func() (string, error) {
	bin, err := os.MkdirTemp("", "fulmarhoist-capacity")
	if err != nil {
		return "", fmt.Errorf("create a directory for binaries: %w", err)
	}
	binDir = bin
	build := exec.Command("go", "build", "-o", bin+string(os.PathSeparator), "./cmd/...", "./internal/standin/cmd/...")
	build.Dir = filepath.Join("..", "..", "..")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, output)
	}
	return bin, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if binDir != "" {
		_ = os.RemoveAll(binDir)
	}
	os.Exit(code)
}

// deployment is a deployment of real processes with targets in this process.
type deployment struct {
	*testcluster.Cluster
	targets *testTargets
	client  *http.Client
}

// targetListing says whether the targets are in the instance list.
type targetListing bool

// deploy starts a deployment of the given size and waits until it is connected.
func deploy(b *testing.B, s deploymentSize, listTargets targetListing) *deployment {
	b.Helper()
	bin, err := buildBinaries()
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
	// The cluster starts with one target of its own. The configuration published
	// below replaces it.
	first := c.Services[0]
	plan.Services = []testcluster.ServicePlan{{Name: "first", Classes: first.Classes, Targets: 1, Slots: 2, Connections: 250, ColdStart: config.ColdStart{MaxConcurrent: 1}}}
	plan.Instances = s.instances
	if d.Cluster, err = testcluster.Start(b.Context(), plan); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Stop)
	if listTargets {
		d.registerTargets(b, c)
	}
	if err := d.Publish(b.Context(), c); err != nil {
		b.Fatal(err)
	}
	d.waitForLinks(b, s)
	return d
}

// registerTargets adds the targets of a configuration to the instance list.
func (d *deployment) registerTargets(b *testing.B, c *config.Configuration) {
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

// waitForLinks waits until every instance has all its links.
func (d *deployment) waitForLinks(b *testing.B, s deploymentSize) {
	b.Helper()
	want := int64(s.instances * s.targets * max(1, s.links))
	deadline := time.Now().Add(40 * time.Second)
	for d.targets.openConns.Load() < want {
		if time.Now().After(deadline) {
			b.Fatalf("%d of %d links are open after 40 s", d.targets.openConns.Load(), want)
		}
		<-time.After(50 * time.Millisecond)
	}
}

// send sends one request through an instance.
func (d *deployment) send(ctx context.Context, to *testcluster.Instance, service string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.CallerAddress+"/a", nil)
	if err != nil {
		return fmt.Errorf("create the request: %w", err)
	}
	request.Header.Set("Fulmarhoist-Service", service)
	request.Header.Set("Fulmarhoist-Class", "status")
	response, err := d.client.Do(request)
	if err != nil {
		return fmt.Errorf("send the request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read the response: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return &statusError{response.StatusCode, string(bytes.TrimSpace(body))}
	}
	return nil
}

// statusError reports a response with a status other than 200.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("got status %d, want 200: %s", e.status, e.body)
}

// sendConcurrently sends count requests through an instance from many goroutines,
// evenly distributed over the services. It fails if more than 1 % of them fail.
func (d *deployment) sendConcurrently(b *testing.B, to *testcluster.Instance, services, count int) {
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

// sendAtRate sends requests to one instance at a fixed rate, independently of the
// responses (open loop). It returns how many were sent.
func (d *deployment) sendAtRate(b *testing.B, to *testcluster.Instance, perSecond int, duration time.Duration) (sent int) {
	b.Helper()
	const batchInterval = 5 * time.Millisecond
	var group sync.WaitGroup
	var failed atomic.Int64
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	begin := time.Now()
	for now := begin; now.Sub(begin) < duration; now = <-ticker.C {
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
