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

// wireResponse is the response of an entry instance as received on the wire.
type wireResponse struct {
	status   int
	outcome  string
	replayed bool
	body     string
	err      error
}

// wireClient sends requests without the caller library, so that specs can send
// any key to any instance.
type wireClient struct {
	client *http.Client
}

func newWireClient() *wireClient {
	return &wireClient{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// wireRequest is a request of the service orders. It is sent as POST if it has a
// key and as GET otherwise.
type wireRequest struct {
	address, class, key, path string
	trace                     string // value of the header Traceparent
	body                      []byte
	deadline                  time.Duration
}

func (c *wireClient) send(ctx context.Context, r wireRequest) wireResponse {
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
		request.Header.Set("Fulmarhoist-Deadline", formatInt(r.deadline.Milliseconds()))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return wireResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return wireResponse{
		status: response.StatusCode, outcome: response.Header.Get("Fulmarhoist-Outcome"),
		replayed: response.Header.Get("Fulmarhoist-Replayed") != "", body: string(data), err: err,
	}
}

func formatInt(n int64) string {
	data, _ := json.Marshal(n)
	return string(data)
}

// latestTicket returns the newest ticket of the instance owner, as listed in the
// directory of the instance source.
func latestTicket(ctx context.Context, source, owner *testcluster.Instance) string {
	var found string
	Eventually(func() string {
		var directory struct {
			Instances []struct{ ID, Ticket string }
		}
		if json.Unmarshal([]byte(httpGet(ctx, "http://"+source.CallerAddress+"/fulmarhoist/v1/directory")), &directory) != nil {
			return ""
		}
		for _, instance := range directory.Instances {
			if instance.ID == owner.ID {
				found = instance.Ticket
			}
		}
		return found
	}).WithTimeout(10 * time.Second).ShouldNot(BeEmpty())
	return found
}

// journalEntries returns the journal entries of all targets.
func journalEntries(ctx context.Context, cluster *testcluster.Cluster) []targetserver.Entry {
	var all []targetserver.Entry
	for _, t := range cluster.Targets {
		journal, err := t.Control.Journal(ctx)
		Expect(err).NotTo(HaveOccurred())
		all = append(all, journal.Entries...)
	}
	return all
}

// countExecutions returns how often requests with the key were executed.
func countExecutions(ctx context.Context, cluster *testcluster.Cluster, key string) int {
	count := 0
	for _, e := range journalEntries(ctx, cluster) {
		if e.RequestKey == key && e.Executed() {
			count++
		}
	}
	return count
}

// waitUntilServing waits until every instance has served a request.
func waitUntilServing(ctx context.Context, cluster *testcluster.Cluster, wire *wireClient) {
	for _, instance := range cluster.Instances {
		Eventually(func() string {
			return wire.send(ctx, wireRequest{address: instance.CallerAddress, class: "status", path: "/status/0"}).outcome
		}).WithTimeout(30 * time.Second).Should(Equal("answered"))
	}
}
