package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/spf13/pflag"

	"fulmarhoist.example/backinghttp"
	"fulmarhoist.example/configlog"
)

// logTimeout is the time limit of one read or append. It allows several attempts
// within the default deadline.
const logTimeout = 2 * time.Second

// logFlags holds the flags shared by all commands that use the log service.
type logFlags struct {
	url      string
	deadline time.Duration
}

func (f *logFlags) register(flags *pflag.FlagSet) {
	flags.StringVar(&f.url, "log-service", "", "base URL of the log service, http://host:port")
	flags.DurationVar(&f.deadline, "deadline", 30*time.Second, "time limit of the whole command")
}

// open checks the flags and opens a session. The returned context ends at the
// deadline.
func (f *logFlags) open(ctx context.Context) (context.Context, *logSession, error) {
	if f.url == "" {
		return nil, nil, &FlagError{"--log-service", "is required"}
	}
	if f.deadline <= 0 {
		return nil, nil, &FlagError{"--deadline", fmt.Sprintf("is %v, must be above 0", f.deadline)}
	}
	client, err := backinghttp.NewLogClient(f.url, backinghttp.Settings{Timeout: logTimeout})
	if err != nil {
		return nil, nil, &FlagError{"--log-service", err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, f.deadline)
	publisher := configlog.NewPublisher(client, configlog.Options{
		ReadTimeout: logTimeout, PollInterval: 100 * time.Millisecond, BackoffLimit: time.Second,
	})
	return ctx, &logSession{client: client, publisher: publisher, cancel: cancel}, nil
}

// logSession is the connection of one command to the log service.
type logSession struct {
	client    *backinghttp.LogClient
	publisher *configlog.Publisher
	cancel    context.CancelFunc
}

func (s *logSession) close() {
	s.cancel()
	s.client.Close()
}

// newPublicationID returns a random publication id.
func newPublicationID() string {
	var bits [12]byte
	_, _ = rand.Read(bits[:]) // never fails
	return "ctl-" + hex.EncodeToString(bits[:])
}
