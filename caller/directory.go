package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/contract"
)

const (
	// maxDirectoryBytes is the maximum size of a directory response; 7
	// instances need about 1 KiB.
	maxDirectoryBytes = 1 << 20
	// maxLifetime is the maximum lifetime of a directory; a longer one is
	// reduced.
	maxLifetime = time.Hour
	// staleDivisor sets the delay after a failed renewal until the next one:
	// the lifetime divided by staleDivisor. An expired directory stays in use
	// for this time.
	staleDivisor = 10
)

// Directory is the list of entry instances that a caller may use. It is
// immutable.
type Directory struct {
	Version   uint64
	Instances []*Instance
	Lifetime  time.Duration
	// RenewAt is the time from which the directory is renewed in the background
	// while it is still in use.
	RenewAt time.Time
	Expires time.Time
	// Stale means that the directory is used beyond its lifetime because no
	// instance returned a new one.
	Stale bool
}

// directoryCache holds the current directory. Readers load an immutable
// snapshot without a lock; only the holder of renewToken replaces it.
type directoryCache struct {
	options   Options
	transport http.RoundTripper

	cached     atomic.Pointer[Directory]
	renewToken chan struct{} // contains one token while no renewal is running

	renewals sync.WaitGroup     // background renewals
	closeCtx context.Context    // context of background renewals; canceled by close
	cancel   context.CancelFunc // cancels closeCtx
}

func newDirectoryCache(options Options, transport http.RoundTripper) *directoryCache {
	c := &directoryCache{options: options, transport: transport, renewToken: make(chan struct{}, 1)}
	c.closeCtx, c.cancel = context.WithCancel(context.Background())
	c.renewToken <- struct{}{}
	return c
}

// close stops background renewals and waits for them.
func (c *directoryCache) close() {
	c.cancel()
	<-c.renewToken // from here on, no background renewal is running or starts
	c.renewals.Wait()
	c.renewToken <- struct{}{}
}

// current returns the current directory. From RenewAt on, it starts a renewal
// in the background unless one is running; from Expires on, it waits for a
// renewal.
func (c *directoryCache) current(ctx context.Context) (*Directory, error) {
	now, cached := time.Now(), c.cached.Load()
	if cached == nil || !now.Before(cached.Expires) {
		return c.newerThan(ctx, cached)
	}
	if !now.Before(cached.RenewAt) && c.closeCtx.Err() == nil {
		select {
		case <-c.renewToken:
			c.renewals.Go(func() {
				defer c.releaseRenewToken()
				if c.cached.Load() == cached {
					_ = c.renew(c.closeCtx, cached) // on failure, the renewal is tried again by a later request
				}
			})
		default: // another renewal is running
		}
	}
	return cached, nil
}

// newerThan returns a directory other than seen, which it fetches unless
// another goroutine has done so. If no instance returns a directory, it extends
// the use of the current one; without one it returns an error.
func (c *directoryCache) newerThan(ctx context.Context, seen *Directory) (*Directory, error) {
	select {
	case <-c.renewToken:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the directory: %w", context.Cause(ctx))
	}
	defer c.releaseRenewToken()
	if cached := c.cached.Load(); cached != seen {
		return cached, nil
	}
	if err := c.renew(ctx, seen); err != nil {
		return nil, err
	}
	return c.cached.Load(), nil
}

// releaseRenewToken lets the next renewal run.
func (c *directoryCache) releaseRenewToken() { c.renewToken <- struct{}{} }

// renew replaces the current directory with a new one. If the fetch fails, it
// extends the use of old. The caller must hold renewToken.
func (c *directoryCache) renew(ctx context.Context, old *Directory) error {
	fresh, err := c.fetch(ctx, old)
	if err == nil {
		c.cached.Store(fresh)
		return nil
	}
	if old == nil || ctx.Err() != nil {
		return err
	}
	now := time.Now()
	extended := *old
	extended.RenewAt = now.Add(old.Lifetime / staleDivisor)
	if !extended.RenewAt.Before(old.Expires) {
		extended.Expires, extended.Stale = extended.RenewAt, true
	}
	c.cached.Store(&extended)
	return nil
}

// fetch requests a directory from the known instances, one after the other, and
// returns the first one.
func (c *directoryCache) fetch(ctx context.Context, old *Directory) (*Directory, error) {
	failure := &DirectoryError{}
	for _, address := range c.addresses(old) {
		fresh, err := c.fetchFrom(ctx, address)
		if err == nil {
			return fresh, nil
		}
		failure.Addresses, failure.Err = append(failure.Addresses, address), err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, failure
}

// addresses returns the instances to request a directory from, in this order:
// the listed instances that are not avoided, the configured ones in random
// order, and the avoided ones.
func (c *directoryCache) addresses(old *Directory) []string {
	var avoided, preferred []string
	if old != nil {
		now := time.Now()
		for _, instance := range old.Instances {
			if instance.Avoided(now) {
				avoided = append(avoided, instance.Address)
			} else {
				preferred = append(preferred, instance.Address)
			}
		}
	}
	configured := slices.Clone(c.options.Instances)
	for i := len(configured) - 1; i > 0; i-- {
		j := int(c.options.Random.Uint64() % uint64(i+1))
		configured[i], configured[j] = configured[j], configured[i]
	}
	var unique []string
	for _, address := range append(preferred, configured...) {
		if !slices.Contains(unique, address) && !slices.Contains(avoided, address) {
			unique = append(unique, address)
		}
	}
	return append(unique, avoided...)
}

// wireDirectory is the JSON encoding of a directory.
type wireDirectory struct {
	Version    uint64         `json:"version"`
	LifetimeMS int64          `json:"lifetime_ms"`
	Instances  []wireInstance `json:"instances"`
}

// wireInstance is the JSON encoding of an Instance.
type wireInstance struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Ticket  string `json:"ticket"`
}

// fetchFrom requests a directory from one instance. The lifetime of the
// directory starts when the request is sent.
func (c *directoryCache) fetchFrom(ctx context.Context, address string) (*Directory, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DirectoryTimeout)
	defer cancel()
	rawURL := "http://" + address + "/fulmarhoist/v1/directory"
	if c.options.Zone != "" {
		rawURL += "?zone=" + url.QueryEscape(c.options.Zone)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, rawURL, nil)
	if err != nil {
		return nil, fmt.Errorf("fetch directory from %s: %w", address, err)
	}
	requestedAt := time.Now()
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("fetch directory from %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &DirectoryAnswerError{address, "has status " + response.Status + ", want 200"}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDirectoryBytes+1))
	if err != nil {
		return nil, fmt.Errorf("fetch directory from %s: %w", address, err)
	}
	if len(body) > maxDirectoryBytes {
		return nil, &DirectoryAnswerError{address, fmt.Sprintf("is longer than %d bytes", maxDirectoryBytes)}
	}
	var wire wireDirectory
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, fmt.Errorf("fetch directory from %s: %w", address, err)
	}
	return wire.decode(address, requestedAt)
}

// decode validates and converts the directory. It omits instances without a
// valid address or ticket, and returns an error if none is left.
func (w *wireDirectory) decode(address string, requestedAt time.Time) (*Directory, error) {
	if w.LifetimeMS <= 0 {
		return nil, &DirectoryAnswerError{address, fmt.Sprintf("has lifetime_ms %d, want a positive number", w.LifetimeMS)}
	}
	lifetime := time.Duration(min(w.LifetimeMS, maxLifetime.Milliseconds())) * time.Millisecond
	d := &Directory{
		Version:  w.Version,
		Lifetime: lifetime,
		RenewAt:  requestedAt.Add(lifetime * 3 / 4),
		Expires:  requestedAt.Add(lifetime),
	}
	for _, i := range w.Instances {
		if i.usable() {
			d.Instances = append(d.Instances, &Instance{ID: i.ID, Zone: i.Zone, Address: i.Address, Ticket: i.Ticket})
		}
	}
	if len(d.Instances) == 0 {
		return nil, &DirectoryAnswerError{address, fmt.Sprintf("lists %d instances, none with a valid address and ticket", len(w.Instances))}
	}
	return d, nil
}

// usable reports whether the address is host:port and the ticket is one of this
// instance.
func (i *wireInstance) usable() bool {
	ticket, err := contract.ParseTicket(i.Ticket)
	if err != nil || ticket.Instance != i.ID || strings.ContainsAny(i.Ticket, "/\r\n") {
		return false
	}
	_, _, err = net.SplitHostPort(i.Address)
	return err == nil
}
