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
	// maxDirectoryBytes bounds a directory answer; 7 instances need about 1 KiB.
	maxDirectoryBytes = 1 << 20
	maxLifetime       = time.Hour
	// staleShare is the part of its lifetime for which an expired answer is used
	// on when no instance answers the directory call.
	staleShare = 10
)

// Directory is one directory answer. It is never changed after it was stored.
type Directory struct {
	Version   uint64
	Instances []*Instance
	Lifetime  time.Duration
	// RenewAt is when a renewal starts while the answer is still used.
	RenewAt time.Time
	Expires time.Time
	// Stale means that the answer has outlived its lifetime because no instance
	// answered the directory call.
	Stale bool
}

// directoryCache keeps the directory answer in use. Readers load an immutable
// snapshot; the holder of turn is the only writer.
type directoryCache struct {
	options   Options
	transport http.RoundTripper

	kept atomic.Pointer[Directory]
	turn chan struct{} // holds one token while no renewal runs

	renewals sync.WaitGroup
	closing  context.Context
	shut     context.CancelFunc
}

func newDirectoryCache(options Options, transport http.RoundTripper) *directoryCache {
	c := &directoryCache{options: options, transport: transport, turn: make(chan struct{}, 1)}
	c.closing, c.shut = context.WithCancel(context.Background())
	c.turn <- struct{}{}
	return c
}

func (c *directoryCache) close() {
	c.shut()
	<-c.turn // no renewal runs and none starts any more
	c.renewals.Wait()
	c.turn <- struct{}{}
}

// current returns the kept answer. From RenewAt on, one renewal runs beside the
// requests; from Expires on, requests wait for it.
func (c *directoryCache) current(ctx context.Context) (*Directory, error) {
	now, kept := time.Now(), c.kept.Load()
	if kept == nil || !now.Before(kept.Expires) {
		return c.renewed(ctx, kept)
	}
	if !now.Before(kept.RenewAt) && c.closing.Err() == nil {
		select {
		case <-c.turn:
			c.renewals.Go(func() {
				defer c.giveTurn()
				if c.kept.Load() == kept {
					_ = c.renew(c.closing, kept) // failure: the next request after Expires tries again
				}
			})
		default: // a renewal is running
		}
	}
	return kept, nil
}

// renewed returns an answer that is newer than seen, or an older one that stays
// in use because no instance answered.
func (c *directoryCache) renewed(ctx context.Context, seen *Directory) (*Directory, error) {
	select {
	case <-c.turn:
	case <-ctx.Done():
		return nil, fmt.Errorf("waiting for the directory: %w", context.Cause(ctx))
	}
	defer c.giveTurn()
	if kept := c.kept.Load(); kept != seen {
		return kept, nil
	}
	if err := c.renew(ctx, seen); err != nil {
		return nil, err
	}
	return c.kept.Load(), nil
}

func (c *directoryCache) giveTurn() { c.turn <- struct{}{} }

// renew replaces the kept answer. Only the holder of the turn may call it.
func (c *directoryCache) renew(ctx context.Context, old *Directory) error {
	fresh, err := c.fetch(ctx, old)
	if err == nil {
		c.kept.Store(fresh)
		return nil
	}
	if old == nil || ctx.Err() != nil {
		return err
	}
	now := time.Now()
	extended := *old
	extended.RenewAt = now.Add(old.Lifetime / staleShare)
	if !extended.RenewAt.Before(old.Expires) {
		extended.Expires, extended.Stale = extended.RenewAt, true
	}
	c.kept.Store(&extended)
	return nil
}

// fetch asks the known instances one after the other.
func (c *directoryCache) fetch(ctx context.Context, old *Directory) (*Directory, error) {
	failure := &DirectoryError{}
	for _, address := range c.addresses(old) {
		fresh, err := c.ask(ctx, address)
		if err == nil {
			return fresh, nil
		}
		failure.Asked, failure.Err = append(failure.Asked, address), err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, failure
}

// addresses returns whom to ask: the listed instances, those that were found
// refusing last, then the configured ones in random order.
func (c *directoryCache) addresses(old *Directory) []string {
	var last, all []string
	if old != nil {
		now := time.Now()
		for _, instance := range old.Instances {
			if instance.Avoided(now) {
				last = append(last, instance.Address)
			} else {
				all = append(all, instance.Address)
			}
		}
	}
	configured := slices.Clone(c.options.Instances)
	for n := len(configured) - 1; n > 0; n-- {
		m := int(c.options.Random.Uint64() % uint64(n+1))
		configured[n], configured[m] = configured[m], configured[n]
	}
	var unique []string
	for _, address := range append(all, configured...) {
		if !slices.Contains(unique, address) && !slices.Contains(last, address) {
			unique = append(unique, address)
		}
	}
	return append(unique, last...)
}

// wireDirectory is the directory answer as it is encoded.
type wireDirectory struct {
	Version    uint64         `json:"version"`
	LifetimeMS int64          `json:"lifetime_ms"`
	Instances  []wireInstance `json:"instances"`
}

type wireInstance struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Ticket  string `json:"ticket"`
}

// ask makes the directory call to one instance. The lifetime counts from the
// moment the call was sent.
func (c *directoryCache) ask(ctx context.Context, address string) (*Directory, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DirectoryTimeout)
	defer cancel()
	target := "http://" + address + "/fulmarhoist/v1/directory"
	if c.options.Zone != "" {
		target += "?zone=" + url.QueryEscape(c.options.Zone)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("directory call to %s: %w", address, err)
	}
	asked := time.Now()
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("directory call to %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &DirectoryAnswerError{address, "has status " + response.Status}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDirectoryBytes+1))
	if err != nil {
		return nil, fmt.Errorf("directory call to %s: %w", address, err)
	}
	if len(body) > maxDirectoryBytes {
		return nil, &DirectoryAnswerError{address, "is too long"}
	}
	var wire wireDirectory
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, fmt.Errorf("directory call to %s: %w", address, err)
	}
	return wire.decode(address, asked)
}

// decode checks the answer. Instances without a usable address or ticket are
// left out; an answer that names no usable instance is an error.
func (w *wireDirectory) decode(address string, asked time.Time) (*Directory, error) {
	if w.LifetimeMS <= 0 {
		return nil, &DirectoryAnswerError{address, "has no lifetime"}
	}
	lifetime := time.Duration(min(w.LifetimeMS, maxLifetime.Milliseconds())) * time.Millisecond
	d := &Directory{
		Version:  w.Version,
		Lifetime: lifetime,
		RenewAt:  asked.Add(lifetime * 3 / 4),
		Expires:  asked.Add(lifetime),
	}
	for _, i := range w.Instances {
		if i.usable() {
			d.Instances = append(d.Instances, &Instance{ID: i.ID, Zone: i.Zone, Address: i.Address, Ticket: i.Ticket})
		}
	}
	if len(d.Instances) == 0 {
		return nil, &DirectoryAnswerError{address, "names no usable instance"}
	}
	return d, nil
}

func (i *wireInstance) usable() bool {
	ticket, err := contract.ParseTicket(i.Ticket)
	if err != nil || ticket.Instance != i.ID || strings.ContainsAny(i.Ticket, "/\r\n") {
		return false
	}
	_, _, err = net.SplitHostPort(i.Address)
	return err == nil
}
