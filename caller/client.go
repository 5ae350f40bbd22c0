// Package caller sends requests through fulmarhoist. A Client asks any entry
// instance it knows which instances to use, keeps the answer for its lifetime,
// spreads its requests over the listed instances and connects to them itself.
//
// A request that is not idempotent is sent with a request key, under which the
// product runs it at most once. The Client sends such a request again on its
// own only in two ways: under the same key, which cannot run it a second time,
// or under a new key after it is certain that the old key never ran. Where it
// cannot tell, it returns an UnknownError; it never reports a broken or
// truncated answer as a success.
//
// net/http resends some requests on a fresh connection by itself. Such a copy
// carries the same key, so it has no second effect, and the Client counts the
// written connections of each exchange: a connection that is refused after an
// earlier one was written is not taken for "nothing was sent".
package caller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"time"

	"fulmarhoist.example/caller/resend"
)

// Instance is an entry instance as the directory names it.
type Instance = resend.Instance

// Options configure a Client. Only Instances is required.
type Options struct {
	// Instances are the addresses (host:port) of instances to ask first.
	Instances []string
	// Zone is the caller's own availability zone, whose instances are preferred.
	Zone string
	// Deadline applies to requests without one. Default: 60 s.
	Deadline time.Duration
	// MaxSends bounds the copies of one request that may leave the process.
	// Default: 4.
	MaxSends int
	// DialTimeout bounds the opening of a connection. Default: 1 s.
	DialTimeout time.Duration
	// DirectoryTimeout bounds the directory call to one instance. Default: 1 s.
	DirectoryTimeout time.Duration
	// MaxAnswerBytes bounds the body of an answer. Default: 64 MiB.
	MaxAnswerBytes int64
	// IdleConnections is the number of unused connections kept per instance.
	// Default: 64.
	IdleConnections int
	// Dial opens connections. Default: a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Random is used for key names, choice of instance and jitter. It must be
	// safe for concurrent use. Default: crypto/rand.
	Random resend.Random
}

// avoidFor is how long later requests prefer other instances after one could
// not be connected to. A new directory answer ends it earlier.
const avoidFor = 5 * time.Second

// Client sends requests through the entry instances. It is safe for concurrent
// use.
type Client struct {
	options   Options
	transport *http.Transport
	directory *directoryCache
}

// New returns a client. It makes no connection.
func New(options Options) (*Client, error) {
	options = options.withDefaults()
	if err := options.validate(); err != nil {
		return nil, err
	}
	c := &Client{options: options}
	c.transport = &http.Transport{
		DialContext:         c.dial,
		DisableCompression:  true, // headers and bodies pass through unchanged
		MaxIdleConnsPerHost: options.IdleConnections,
		IdleConnTimeout:     30 * time.Second,
	}
	c.directory = newDirectoryCache(options, c.transport)
	return c, nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.Deadline, time.Minute)
	setDefault(&o.MaxSends, 4)
	setDefault(&o.DialTimeout, time.Second)
	setDefault(&o.DirectoryTimeout, time.Second)
	setDefault(&o.MaxAnswerBytes, 64<<20)
	setDefault(&o.IdleConnections, 64)
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Random == nil {
		o.Random = secureRandom{}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validate reports all options that cannot be used.
func (o Options) validate() error {
	var failures []error
	if len(o.Instances) == 0 {
		failures = append(failures, &OptionError{"Instances", "is empty"})
	}
	for _, address := range o.Instances {
		if _, _, err := net.SplitHostPort(address); err != nil {
			failures = append(failures, &OptionError{"Instances", "has " + address + ", which is not host:port"})
		}
	}
	for field, value := range map[string]int64{
		"Deadline": int64(o.Deadline), "MaxSends": int64(o.MaxSends), "DialTimeout": int64(o.DialTimeout),
		"DirectoryTimeout": int64(o.DirectoryTimeout), "MaxAnswerBytes": o.MaxAnswerBytes,
		"IdleConnections": int64(o.IdleConnections),
	} {
		if value < 0 {
			failures = append(failures, &OptionError{field, "is negative"})
		}
	}
	return errors.Join(failures...)
}

// Close stops the renewal of the directory and closes unused connections.
// Requests in flight are not touched.
func (c *Client) Close() {
	c.directory.close()
	c.transport.CloseIdleConnections()
}

// Directory returns the directory answer in use; it asks for one if there is
// none or if it has expired.
func (c *Client) Directory(ctx context.Context) (*Directory, error) {
	return c.directory.current(ctx)
}

// Do sends the request and returns the whole answer of a target, whatever its
// status, or one of the error types of this package. The same Request may be
// given to Do again after a NotRunError or an UnreachableError. After an
// UnknownError of a request that is not idempotent, it may be given to Do again
// only with Request.Key set to the key of the error.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	if err := request.Validate(); err != nil {
		return nil, err
	}
	limit := request.Deadline
	if limit == 0 {
		limit = c.options.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return newCall(c, ctx, request).run()
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	connection, err := c.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: connection}, nil
}

// secureRandom reads crypto/rand, which never fails.
type secureRandom struct{}

func (secureRandom) Uint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}
