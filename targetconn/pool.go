package targetconn

import (
	"context"
	"sync"
	"time"

	"fulmarhoist.example/target"
)

// Pools holds the idle connections of all targets. It is safe for concurrent use.
type Pools struct {
	mu    sync.Mutex
	pools map[*target.Target]*pool
	// Opened is called after a connection was opened; it may be nil.
	Opened func()
}

// NewPools returns an empty set.
func NewPools() *Pools { return &Pools{pools: map[*target.Target]*pool{}} }

// pool holds the idle connections of one target, the newest last.
type pool struct {
	mu     sync.Mutex
	idle   []*Conn
	closed bool
}

const (
	// maxIdle is how many idle connections to one target are kept.
	maxIdle = 8
	// idleLifetime is how long a connection is kept unused where the target does
	// not say how long it keeps it.
	idleLifetime = 8 * time.Second
)

func (p *Pools) of(t *target.Target) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.pools[t]
	if found == nil {
		found = &pool{}
		p.pools[t] = found
	}
	return found
}

// Take returns a connection that was used within the given time, or opens one.
func (p *Pools) Take(ctx context.Context, t *target.Target, within time.Duration) (*Conn, error) {
	if c := p.of(t).take(time.Now(), within); c != nil {
		return c, nil
	}
	c, err := Dial(ctx, t.Spec.Address)
	if err == nil && p.Opened != nil {
		p.Opened()
	}
	return c, err
}

// Put gives a connection back after a whole answer.
func (p *Pools) Put(t *target.Target, c *Conn) {
	if !c.Usable(time.Now()) {
		c.Close()
		return
	}
	p.of(t).put(c)
}

// Retain closes the idle connections of all targets that are not in the set.
func (p *Pools) Retain(targets map[*target.Target]bool) {
	p.mu.Lock()
	var dropped []*pool
	for t, found := range p.pools {
		if !targets[t] {
			dropped = append(dropped, found)
			delete(p.pools, t)
		}
	}
	p.mu.Unlock()
	for _, d := range dropped {
		d.close()
	}
}

// take returns the connection that was used last, and closes those that are too
// old to be used again.
func (p *pool) take(now time.Time, within time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		usable := last.Usable(now) && last.Idle(now) < idleLifetime
		if usable && last.Idle(now) > within {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if usable {
			return last
		}
		last.Close()
	}
	return nil
}

func (p *pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}
