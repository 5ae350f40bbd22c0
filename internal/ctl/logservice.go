package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/spf13/pflag"

	"fulmarhoist.example/backinghttp"
	"fulmarhoist.example/configlog"
)

// logTimeout bounds one read or append. It leaves time for several attempts
// within the default deadline.
const logTimeout = 2 * time.Second

// logFlags holds the flags of all commands that use the log service.
type logFlags struct {
	url      string
	deadline time.Duration
}

func (f *logFlags) register(flags *pflag.FlagSet) {
	flags.StringVar(&f.url, "log-service", "", "base URL of the log service, http://host:port")
	flags.DurationVar(&f.deadline, "deadline", 30*time.Second, "time for the whole command")
}

// open checks the flags. The context that it returns ends with the deadline.
func (f *logFlags) open(ctx context.Context) (context.Context, *logSession, error) {
	if f.url == "" {
		return nil, nil, &FlagError{"--log-service", "is required"}
	}
	if f.deadline <= 0 {
		return nil, nil, &FlagError{"--deadline", "must be above 0"}
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

// logSession is the use of the log service by one command.
type logSession struct {
	client    *backinghttp.LogClient
	publisher *configlog.Publisher
	cancel    context.CancelFunc
}

func (s *logSession) close() {
	s.cancel()
	s.client.Close()
}

// newPublicationID returns a random id.
func newPublicationID() string {
	var bits [12]byte
	_, _ = rand.Read(bits[:]) // never fails
	return "ctl-" + hex.EncodeToString(bits[:])
}
