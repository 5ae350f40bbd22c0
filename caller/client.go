// Package caller is the client library of fulmarhoist. A Client gets the
// directory of entry instances from any instance it knows, caches it for its
// lifetime, and distributes its requests over the listed instances, to which it
// connects directly.
//
// A request that is not idempotent is sent with a request key. The entry
// instances execute a request at most once per key. The Client resends such a
// request only with the same key, which cannot execute it a second time, or
// with a new key once it is certain that the request was not and will not be
// executed under the old one. If it cannot determine whether the request was
// executed, it returns an UnknownError or a TooOldError. It never returns a
// malformed or truncated response as a success.
//
// net/http resends some requests on a new connection by itself. Such a copy
// carries the same key, so it has no second effect. The Client tracks writes to
// all connections of an exchange: if an earlier connection may have carried the
// request, a refused connection does not count as "nothing was sent".
package caller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"fulmarhoist.example/caller/resend"
)

// Instance is an entry instance listed in a directory.
type Instance = resend.Instance

// Options configure a Client. Only Instances is required.
type Options struct {
	// Instances are the addresses (host:port) of entry instances from which the
	// first directory is fetched. They are also used later, after the listed
	// instances.
	Instances []string
	// Zone is the availability zone of the caller. Instances in it are
	// preferred.
	Zone string
	// Deadline is the time limit for requests whose own Deadline is 0. Default:
	// 60 s.
	Deadline time.Duration
	// MaxSends is the maximum number of copies of one request that may be sent
	// to instances. Default: 4.
	MaxSends int
	// DialTimeout is the time limit for opening a connection. Default: 1 s.
	DialTimeout time.Duration
	// DirectoryTimeout is the time limit for fetching the directory from one
	// instance. Default: 1 s.
	DirectoryTimeout time.Duration
	// MaxAnswerBytes is the maximum size of a response body in bytes. Default:
	// 64 MiB.
	MaxAnswerBytes int64
	// IdleConnections is the maximum number of idle connections per instance.
	// Default: 64.
	IdleConnections int
	// Dial opens a connection. Default: DialContext of a zero net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Random is the source of randomness for request keys, instance selection
	// and backoff jitter. It must be safe for concurrent use. Default:
	// crypto/rand.
	Random resend.Random
}

// avoidDuration is how long requests prefer other instances after a connection
// to an instance could not be opened. A new directory ends it earlier.
const avoidDuration = 5 * time.Second

// Client sends requests to services through entry instances. It is safe for
// concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	directory *directoryCache
}

// New returns a Client. It opens no connections.
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

// withDefaults returns a copy of o in which unset options have their defaults.
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

// validate returns an error that joins an OptionError for each invalid option.
func (o Options) validate() error {
	var failures []error
	if len(o.Instances) == 0 {
		failures = append(failures, &OptionError{"Instances", "must not be empty"})
	}
	for _, address := range o.Instances {
		if _, _, err := net.SplitHostPort(address); err != nil {
			failures = append(failures, &OptionError{"Instances", fmt.Sprintf("has invalid address %q: want host:port", address)})
		}
	}
	for field, value := range map[string]int64{
		"Deadline": int64(o.Deadline), "MaxSends": int64(o.MaxSends), "DialTimeout": int64(o.DialTimeout),
		"DirectoryTimeout": int64(o.DirectoryTimeout), "MaxAnswerBytes": o.MaxAnswerBytes,
		"IdleConnections": int64(o.IdleConnections),
	} {
		if value < 0 {
			failures = append(failures, &OptionError{field, "must not be negative"})
		}
	}
	return errors.Join(failures...)
}

// Close stops background renewals of the directory and closes idle connections.
// It does not interrupt requests in flight.
func (c *Client) Close() {
	c.directory.close()
	c.transport.CloseIdleConnections()
}

// Directory returns the current directory. It fetches one if there is none or
// if it has expired.
func (c *Client) Directory(ctx context.Context) (*Directory, error) {
	return c.directory.current(ctx)
}

// Do sends the request. It returns the complete response of a target, whatever
// its status, or one of the error types of this package. The same Request may
// be passed to Do again after a NotRunError or an UnreachableError. If a
// request that is not idempotent fails with an UnknownError, it may be passed
// to Do again only with Request.Key set to the key in the error.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	if err := request.Validate(); err != nil {
		return nil, err
	}
	timeout := request.Deadline
	if timeout == 0 {
		timeout = c.options.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return newCall(c, ctx, request).run()
}

// dial opens a connection that counts writes.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	connection, err := c.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: connection}, nil
}

// secureRandom is a Random that reads crypto/rand, whose Read never fails.
type secureRandom struct{}

func (secureRandom) Uint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}
