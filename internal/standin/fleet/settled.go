package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	settlePoll    = 20 * time.Millisecond
	settleTimeout = 10 * time.Second
)

// UnsettledError reports an instance that did not name all instances in time.
type UnsettledError struct {
	Instance string
	Named    int
	Err      error
}

func (e *UnsettledError) Error() string {
	return fmt.Sprintf("%s names %d instances: %v", e.Instance, e.Named, e.Err)
}

func (e *UnsettledError) Unwrap() error { return e.Err }

// AwaitSettled waits until every instance serves and names all instances in its
// directory. A caller that asks earlier may get a part of the instances, with the
// lifetime of an instance that has no configuration yet, and uses it for 22 s.
func (f *Fleet) AwaitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	tick := time.NewTicker(settlePoll)
	defer tick.Stop()
	for _, i := range f.Instances {
		for {
			named, err := i.names(ctx)
			if err == nil && named == len(f.Instances) {
				break
			}
			select {
			case <-tick.C:
			case <-ctx.Done():
				return &UnsettledError{i.ID, named, context.Cause(ctx)}
			}
		}
	}
	return nil
}

// names returns how many instances the directory of a serving instance names,
// and 0 for one that does not serve yet.
func (i *Instance) names(ctx context.Context) (int, error) {
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

func (i *Instance) get(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Callers+"/fulmarhoist/v1/"+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("make a request for the %s of %s: %w", path, i.ID, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ask %s for its %s: %w", i.ID, path, err)
	}
	return response, nil
}
