package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// settlePollInterval is the time between two checks of an instance.
	settlePollInterval = 20 * time.Millisecond
	// settleTimeout is the time within which all instances must be settled.
	settleTimeout = 10 * time.Second
)

// NotSettledError reports an instance whose directory did not list all
// instances in time.
type NotSettledError struct {
	Instance string
	Listed   int // instances in its directory at the last check
	Expected int // instances of the cluster
	Err      error
}

func (e *NotSettledError) Error() string {
	return fmt.Sprintf("the directory of %s lists %d of %d instances: %v", e.Instance, e.Listed, e.Expected, e.Err)
}

func (e *NotSettledError) Unwrap() error { return e.Err }

// AwaitSettled waits until every instance is healthy and its directory lists
// all instances. A caller that asks the directory earlier may get only some of
// the instances, with the lifetime that an instance without a configuration
// gives, and caches this response for 22 s.
func (c *Cluster) AwaitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	tick := time.NewTicker(settlePollInterval)
	defer tick.Stop()
	for _, i := range c.Instances {
		for {
			listed, err := i.directorySize(ctx)
			if err == nil && listed == len(c.Instances) {
				break
			}
			select {
			case <-tick.C:
			case <-ctx.Done():
				return &NotSettledError{i.ID, listed, len(c.Instances), context.Cause(ctx)}
			}
		}
	}
	return nil
}

// directorySize returns the number of instances in the directory of the
// instance, or 0 if the instance is not healthy yet.
func (i *Instance) directorySize(ctx context.Context) (int, error) {
	health, err := i.get(ctx, "health")
	if err != nil {
		return 0, err
	}
	_ = health.Body.Close()
	if health.StatusCode != http.StatusOK {
		return 0, nil
	}
	response, err := i.get(ctx, "directory")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var directory struct {
		Instances []struct{} `json:"instances"`
	}
	if err := json.NewDecoder(response.Body).Decode(&directory); err != nil {
		return 0, fmt.Errorf("decode the directory of %s: %w", i.ID, err)
	}
	return len(directory.Instances), nil
}

// get requests a path below /fulmarhoist/v1/ from the instance.
func (i *Instance) get(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.CallerAddress+"/fulmarhoist/v1/"+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("create the request for the %s of %s: %w", path, i.ID, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("get the %s of %s: %w", path, i.ID, err)
	}
	return response, nil
}
