package targetconn

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"fulmarhoist.example/hop"
	"fulmarhoist.example/target"
)

// Pools holds one pool of idle connections per target. It is safe for concurrent
// use.
type Pools struct {
	mu      sync.Mutex
	pools   map[*target.Target]*pool
	options PoolOptions
	buffers *hop.BufferBudget
}

// NoticeParser decodes what the head of a response says about the requests that
// the target wants from now on.
type NoticeParser interface {
	ParseNotice(response *http.Response) target.Notice
}

// PoolOptions are the dependencies of Pools; the zero value has none.
type PoolOptions struct {
	// OnOpen is called after each newly opened connection.
	OnOpen func()
	// Notices decodes the notices of all responses, which are then recorded in
	// their target.
	Notices NoticeParser
	// Dial opens network connections; if it is nil, they are opened over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// bufferBudgetBytes limits the memory that all connections use for response bodies
// which have not been passed on. It is an eighth of the memory of a small machine.
const bufferBudgetBytes = 48 << 20

// NewPools returns an empty set of pools.
func NewPools(options PoolOptions) *Pools {
	return &Pools{pools: map[*target.Target]*pool{}, options: options, buffers: hop.NewBufferBudget(bufferBudgetBytes)}
}

// pool holds the idle connections of one target, the most recently used last.
type pool struct {
	mu     sync.Mutex
	idle   []*Conn
	closed bool
}

const (
	// maxIdlePerTarget is the maximum number of idle connections to one target.
	maxIdlePerTarget = 8
	// maxIdleTime is how long an idle connection may be reused. The keep-alive
	// time that a target announces can only shorten it.
	maxIdleTime = 8 * time.Second
)

func (p *Pools) poolFor(t *target.Target) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	targetPool := p.pools[t]
	if targetPool == nil {
		targetPool = &pool{}
		p.pools[t] = targetPool
	}
	return targetPool
}

// Take returns a pooled connection that has been idle for at most maxIdle, or
// opens a new one.
func (p *Pools) Take(ctx context.Context, t *target.Target, maxIdle time.Duration) (*Conn, error) {
	if c := p.poolFor(t).take(time.Now(), maxIdle); c != nil {
		return c, nil
	}
	c, err := Dial(ctx, t.Spec.Address, p.connOptions(t))
	if err == nil && p.options.OnOpen != nil {
		p.options.OnOpen()
	}
	return c, err
}

// connOptions returns the options of a new connection to a target. Its responses
// come from the process that is the target's current one now.
func (p *Pools) connOptions(t *target.Target) Options {
	options := Options{Buffers: p.buffers, Dial: p.options.Dial}
	if p.options.Notices != nil {
		_, generation := t.State()
		options.OnResponse = func(response *http.Response) {
			t.ObserveNotice(time.Now(), generation, p.options.Notices.ParseNotice(response), rand.Float64())
		}
	}
	return options
}

// Put returns a connection to its pool after a complete response, or closes it
// if it can't be reused.
func (p *Pools) Put(t *target.Target, c *Conn) {
	if !c.Usable(time.Now()) {
		c.Close()
		return
	}
	p.poolFor(t).put(c)
}

// Retain drops the pools of all targets that are not in the given set and closes
// their idle connections.
func (p *Pools) Retain(targets map[*target.Target]bool) {
	p.mu.Lock()
	var dropped []*pool
	for t, targetPool := range p.pools {
		if !targets[t] {
			dropped = append(dropped, targetPool)
			delete(p.pools, t)
		}
	}
	p.mu.Unlock()
	for _, targetPool := range dropped {
		targetPool.close()
	}
}

// take returns the most recently used connection if it has been idle for at most
// maxIdle, and nil otherwise. It closes connections that can't be reused.
func (p *pool) take(now time.Time, maxIdle time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		usable := last.Usable(now) && last.IdleTime(now) < maxIdleTime
		if usable && last.IdleTime(now) > maxIdle {
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
	if p.closed || len(p.idle) >= maxIdlePerTarget {
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
