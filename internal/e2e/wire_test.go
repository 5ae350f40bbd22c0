package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/internal/standin/testcluster"
)

// reply is an answer of an entry instance as it is on the wire.
type reply struct {
	status   int
	outcome  string
	replayed bool
	body     string
	err      error
}

// wire sends requests without the caller's library, so that specs can send any
// key to any instance.
type wire struct {
	client *http.Client
}

func newWire() *wire {
	return &wire{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

type wireRequest struct {
	address, class, key, path string
	trace                     string // traceparent
	body                      []byte
	deadline                  time.Duration
}

func (w *wire) send(ctx context.Context, r wireRequest) reply {
	method := http.MethodGet
	if r.key != "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.address+r.path, bytes.NewReader(r.body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Fulmarhoist-Service", "orders")
	request.Header.Set("Fulmarhoist-Class", r.class)
	if r.key != "" {
		request.Header.Set("Fulmarhoist-Request-Key", r.key)
	}
	if r.trace != "" {
		request.Header.Set("Traceparent", r.trace)
	}
	if r.deadline > 0 {
		request.Header.Set("Fulmarhoist-Deadline", jsonNumber(r.deadline.Milliseconds()))
	}
	response, err := w.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, outcome: response.Header.Get("Fulmarhoist-Outcome"),
		replayed: response.Header.Get("Fulmarhoist-Replayed") != "", body: string(data), err: err,
	}
}

func jsonNumber(n int64) string {
	data, _ := json.Marshal(n)
	return string(data)
}

// ticket returns the newest ticket of an instance, as another instance names it.
func ticket(ctx context.Context, asked, of *testcluster.Instance) string {
	var found string
	Eventually(func() string {
		var directory struct {
			Instances []struct{ ID, Ticket string }
		}
		if json.Unmarshal([]byte(get(ctx, "http://"+asked.CallerAddress+"/fulmarhoist/v1/directory")), &directory) != nil {
			return ""
		}
		for _, i := range directory.Instances {
			if i.ID == of.ID {
				found = i.Ticket
			}
		}
		return found
	}).WithTimeout(10 * time.Second).ShouldNot(BeEmpty())
	return found
}

// entries returns the journal entries of all targets.
func entries(ctx context.Context, f *testcluster.Cluster) []targetserver.Entry {
	var all []targetserver.Entry
	for _, t := range f.Targets {
		journal, err := t.Control.Journal(ctx)
		Expect(err).NotTo(HaveOccurred())
		all = append(all, journal.Entries...)
	}
	return all
}

// ran counts the executions under a key.
func ran(ctx context.Context, f *testcluster.Cluster, key string) int {
	count := 0
	for _, e := range entries(ctx, f) {
		if e.RequestKey == key && e.Ran() {
			count++
		}
	}
	return count
}

// warm waits until every instance has served a request.
func warm(ctx context.Context, f *testcluster.Cluster, w *wire) {
	for _, i := range f.Instances {
		Eventually(func() string {
			return w.send(ctx, wireRequest{address: i.CallerAddress, class: "status", path: "/status/0"}).outcome
		}).WithTimeout(30 * time.Second).Should(Equal("answered"))
	}
}
