// Package crashshare tells the entry instances of each other's crashes: a caller may
// repeat a request that crashes its targets at any instance, and each instance alone
// would let it take down further ones.
//
// An instance reports each crash that it has seen to the collectors of the request's
// fingerprint, which are the same few instances for all reporters. A collector that
// finds the fingerprint to be refused tells all instances, and tells them again if a
// response has cleared it. So an ordinary crash costs a few messages, however many
// instances there are. Instances also query each other, so that one that has started
// or was cut off learns what it has missed.
package crashshare

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/fleet"
	"fulmarhoist.example/frame"
)

const (
	// batchDelay is how long observations accumulate before they are sent: a crash
	// breaks the connections of several requests at the same time.
	batchDelay = 10 * time.Millisecond
	// queryInterval is the time between two queries.
	queryInterval = 2 * time.Second
	// sendTimeout is the timeout of one message with its response, sendAttempts how
	// often it is tried, and sendPause the time before it is tried again.
	sendTimeout  = 300 * time.Millisecond
	sendAttempts = 3
	sendPause    = 500 * time.Millisecond
	// maxConcurrentSends is the maximum number of messages sent at the same time.
	maxConcurrentSends = 32
	// observationQueue is the maximum number of observations that wait to be sent.
	observationQueue = 1024
)

// Options holds the options of a Sharer, which do not change.
type Options struct {
	Roster *fleet.Roster
	// Port is the port at which all instances accept messages. If it is empty,
	// nothing is shared.
	Port   string
	Logger zerolog.Logger
	// CountSent is called for each message that was sent, with its kind.
	CountSent func(kind string, delivered bool)
	// CountDropped is called for each observation that was dropped because too many
	// were waiting.
	CountDropped func()
}

// observation is what this instance has seen: a crash, or a response that has cleared
// the crashes of a fingerprint.
type observation struct {
	report  contract.CrashReport
	cleared bool
	at      time.Time
}

// Sharer shares crashes with the other instances. It implements
// contract.CrashObserver. Run must be called once; all other methods are safe for
// concurrent use.
type Sharer struct {
	options  Options
	crashes  *contract.Fingerprints
	observed chan observation
	reported chan []contract.Fingerprint // named by a report of another instance
	sends    chan struct{}               // semaphore with one element per message being sent

	// announced holds the fingerprints that this instance, as a collector, has told
	// all instances to refuse. It belongs to the goroutine of Run.
	announced map[contract.Fingerprint]bool
}

// New returns a Sharer with an empty table of crashes.
func New(o Options) *Sharer {
	s := &Sharer{
		options: o, observed: make(chan observation, observationQueue), reported: make(chan []contract.Fingerprint),
		sends: make(chan struct{}, maxConcurrentSends), announced: map[contract.Fingerprint]bool{},
	}
	s.crashes = contract.NewObservedFingerprints(s)
	return s
}

// Fingerprints returns the table of crashes, which holds those of this instance and
// those that others have reported.
func (s *Sharer) Fingerprints() *contract.Fingerprints { return s.crashes }

// ObserveCrash implements contract.CrashObserver.
func (s *Sharer) ObserveCrash(report contract.CrashReport) {
	s.observe(observation{report: report, at: time.Now()})
}

// ObserveResponse implements contract.CrashObserver.
func (s *Sharer) ObserveResponse(fingerprint contract.Fingerprint) {
	s.observe(observation{report: contract.CrashReport{Fingerprint: fingerprint}, cleared: true, at: time.Now()})
}

func (s *Sharer) observe(o observation) {
	if s.options.Port == "" {
		return
	}
	select {
	case s.observed <- o:
	default:
		s.options.CountDropped()
	}
}

// Run sends messages until the context is canceled.
func (s *Sharer) Run(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	query := time.NewTicker(queryInterval)
	defer query.Stop()
	othersKnown := s.options.Roster.RelayKnown()
	ownZone := false
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.observed:
			s.report(ctx, &sending, s.batch(ctx, first))
		case fingerprints := <-s.reported:
			s.announce(ctx, &sending, fingerprints)
		case <-othersKnown:
			othersKnown = nil
			s.query(ctx, &sending, false)
			s.query(ctx, &sending, true)
		case <-query.C:
			ownZone = !ownZone
			s.query(ctx, &sending, ownZone)
		}
	}
}

// batch returns an observation with those that follow it within batchDelay.
func (s *Sharer) batch(ctx context.Context, first observation) []observation {
	sleep(ctx, batchDelay)
	batch := []observation{first}
	for len(batch) < maxReports {
		select {
		case next := <-s.observed:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// report reports observations to the collectors of their fingerprints.
func (s *Sharer) report(ctx context.Context, sending *sync.WaitGroup, batch []observation) {
	now, self := time.Now(), s.options.Roster.Self().Name
	messages := map[string]*message{} // by address of the collector
	var collected []contract.Fingerprint
	for _, o := range batch {
		fingerprint := o.report.Fingerprint
		for _, m := range s.options.Roster.Collectors(string(fingerprint[:])) {
			if m.Name == self {
				collected = append(collected, fingerprint)
				continue
			}
			address := s.addressOf(m)
			if messages[address] == nil {
				messages[address] = &message{Kind: kindReport}
			}
			if o.cleared {
				messages[address].addCleared(fingerprint)
				continue
			}
			o.report.Age = now.Sub(o.at)
			messages[address].add([]contract.CrashReport{o.report})
		}
	}
	for address, m := range messages {
		s.send(ctx, sending, address, m)
	}
	s.announce(ctx, sending, collected)
}

// announce tells all instances of those of the fingerprints that have become refused,
// or are refused no more, since they were last told.
func (s *Sharer) announce(ctx context.Context, sending *sync.WaitGroup, fingerprints []contract.Fingerprint) {
	now := time.Now()
	notice := &message{Kind: kindNotice}
	for _, fingerprint := range fingerprints {
		refused := s.crashes.Refused(now, fingerprint)
		switch {
		case refused && !s.announced[fingerprint]:
			s.announced[fingerprint] = true
			notice.add(s.crashes.ReportsOf(now, fingerprint))
		case !refused && s.announced[fingerprint]:
			delete(s.announced, fingerprint)
			notice.addCleared(fingerprint)
		}
	}
	if len(s.announced) > contract.MaxFingerprints {
		s.forgetExpired(now)
	}
	if notice.empty() {
		return
	}
	for _, m := range s.others() {
		s.send(ctx, sending, s.addressOf(m), notice)
	}
}

// forgetExpired removes the announced fingerprints that are refused no more.
func (s *Sharer) forgetExpired(now time.Time) {
	for fingerprint := range s.announced {
		if !s.crashes.Refused(now, fingerprint) {
			delete(s.announced, fingerprint)
		}
	}
}

// query asks a random instance, one of the own zone if ownZone is set and there are
// others, for the fingerprints that are refused.
func (s *Sharer) query(ctx context.Context, sending *sync.WaitGroup, ownZone bool) {
	others := s.others()
	if ownZone {
		var near []fleet.Member
		for _, m := range others {
			if m.Zone == s.options.Roster.Self().Zone {
				near = append(near, m)
			}
		}
		others = near
	}
	if len(others) > 0 {
		s.send(ctx, sending, s.addressOf(others[rand.IntN(len(others))]), &message{Kind: kindQuery})
	}
}

// others returns all instances but this one.
func (s *Sharer) others() []fleet.Member {
	var others []fleet.Member
	for _, m := range s.options.Roster.View().Members {
		if m.Name != s.options.Roster.Self().Name {
			others = append(others, m)
		}
	}
	return others
}

// addressOf returns the address at which an instance accepts messages, or "" if it
// accepts none. The port is the same at all instances.
func (s *Sharer) addressOf(m fleet.Member) string {
	host, _, err := net.SplitHostPort(m.Relay)
	if err != nil || s.options.Port == "" {
		return ""
	}
	return net.JoinHostPort(host, s.options.Port)
}

// send sends a message on a goroutine of its own and records what the response says.
func (s *Sharer) send(ctx context.Context, sending *sync.WaitGroup, address string, m *message) {
	if address == "" {
		return
	}
	sending.Go(func() {
		var err error
		for attempt := 0; attempt < sendAttempts && ctx.Err() == nil; attempt++ {
			if attempt > 0 {
				sleep(ctx, sendPause)
			}
			var response *message
			response, err = s.exchange(ctx, address, m)
			s.options.CountSent(m.Kind.String(), err == nil)
			if err == nil {
				s.merge(time.Now(), response, address)
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		s.options.Logger.Info().Str("event", "crash_message_lost").Str("address", address).Str("kind", m.Kind.String()).
			Err(err).Msg("message about crashes was not delivered")
	})
}

// exchange sends a message on a new connection and returns the response.
func (s *Sharer) exchange(ctx context.Context, address string, m *message) (*message, error) {
	select {
	case s.sends <- struct{}{}:
		defer func() { <-s.sends }()
	case <-ctx.Done():
		return nil, fmt.Errorf("send to %s: %w", address, ctx.Err())
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := frame.Write(conn, m); err != nil {
		return nil, fmt.Errorf("send to %s: %w", address, err)
	}
	response := &message{}
	if err := frame.Read(conn, maxMessageBytes, response.decode); err != nil {
		return nil, fmt.Errorf("read the response of %s: %w", address, err)
	}
	return response, nil
}

// merge records the crashes and responses in a message from the given address.
func (s *Sharer) merge(now time.Time, m *message, from string) {
	if m.empty() {
		return
	}
	fingerprints := m.fingerprints()
	before := make(map[contract.Fingerprint]bool, len(fingerprints))
	for _, fingerprint := range fingerprints {
		before[fingerprint] = s.crashes.Refused(now, fingerprint)
	}
	s.crashes.Merge(now, m.reports())
	for _, fingerprint := range m.cleared() {
		s.crashes.Clear(fingerprint)
	}
	for _, fingerprint := range fingerprints {
		refused := s.crashes.Refused(now, fingerprint)
		if refused != before[fingerprint] {
			s.options.Logger.Warn().Str("event", "crashing_request").Str("fingerprint", fingerprint.String()).Bool("refused", refused).
				Int("crashed", len(s.crashes.Targets(now, fingerprint))).Str("from", from).
				Msg("other instances reported a request that crashes targets, or an answer to one")
		}
	}
}

// sleep waits for the given time or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
