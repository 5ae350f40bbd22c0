package ctl

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/pflag"

	"fulmarhoist.example/config"
	"fulmarhoist.example/configlog"
)

// publishFlags holds the flags shared by all commands that change the
// configuration.
type publishFlags struct {
	log        logFlags
	connection connectionFlags
	wait       bool
}

func (f *publishFlags) register(flags *pflag.FlagSet) {
	f.log.register(flags)
	f.connection.register(flags)
	flags.BoolVar(&f.wait, "wait", true, "wait until all instances have confirmed the version")
}

// open checks the flags and opens a session with the log service. Nothing is sent
// if a flag is invalid.
func (f *publishFlags) open(ctx context.Context) (context.Context, *logSession, error) {
	if f.wait {
		if len(f.connection.instances) == 0 {
			return nil, nil, &FlagError{"--instance", "is required to see the version in force; or use --wait=false"}
		}
	}
	if len(f.connection.instances) > 0 {
		client, err := f.connection.client(0)
		if err != nil {
			return nil, nil, err
		}
		client.Close()
	}
	return f.log.open(ctx)
}

// Outcomes of a change that was not published.
const (
	// outcomeUnchanged means that the configuration in force already is the
	// proposed one.
	outcomeUnchanged configlog.Outcome = "unchanged"
	// outcomeRefused means that the remaining targets could not carry the current
	// load.
	outcomeRefused configlog.Outcome = "refused"
)

// publishResult is the JSON output of the commands that change the
// configuration.
type publishResult struct {
	Outcome configlog.Outcome `json:"outcome"`
	ID      string            `json:"id,omitempty"`
	Base    uint64            `json:"base"`
	Version uint64            `json:"version"` // accepted version, otherwise the version in force
	Reason  config.Reason     `json:"reason,omitempty"`
	Detail  string            `json:"detail,omitempty"`
	Changes []config.Change   `json:"changes"`
	// Attempts is 2 if the change was retried after another operator's change was
	// accepted first.
	Attempts  int           `json:"attempts"`
	Winner    *winner       `json:"winner,omitempty"`
	Conflicts []conflict    `json:"clashes,omitempty"`
	Load      []serviceLoad `json:"load,omitempty"`
	// InForce is absent if the command did not wait.
	InForce   *bool             `json:"in_force,omitempty"`
	Instances []instanceVersion `json:"instances,omitempty"`
	WaitError string            `json:"wait_error,omitempty"`
}

// winner is the version in force when a publication was rejected.
type winner struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
	// Changes holds the changes since the base version of the rejected
	// publication. It is empty if the log no longer holds that version.
	Changes []config.Change `json:"changes,omitempty"`
}

// proposedChange is a configuration to publish and the version that it is based
// on.
type proposedChange struct {
	base     uint64
	proposed *config.Configuration
}

// publish appends a change to the log, whose history is h, and reads its verdict
// back. An error means that nothing was stored.
func (s *logSession) publish(ctx context.Context, h *history, c proposedChange) (*publishResult, error) {
	inForce := h.state()
	result := &publishResult{Base: c.base, Version: inForce.Version, Attempts: 1, Changes: []config.Change{}}
	before, known := h.configuration(c.base)
	if known {
		result.Changes = append(result.Changes, config.Diff(before, c.proposed)...)
	}
	if c.base > inForce.Version {
		return nil, &FlagError{"base version", fmt.Sprintf("%d does not exist; the newest is %d", c.base, inForce.Version)}
	}
	if c.base < inForce.Version {
		// Every reader would reject it, so it is not appended.
		result.Outcome, result.Reason = configlog.OutcomeRejected, config.ReasonStaleBase
		result.Detail = fmt.Sprintf("it is based on version %d, and version %d is in force", c.base, inForce.Version)
		result.setWinner(h)
		return result, nil
	}
	if len(result.Changes) == 0 && inForce.Version > 0 {
		result.Outcome = outcomeUnchanged
		return result, nil
	}
	publication := config.Publication{ID: newPublicationID(), Base: c.base, Config: c.proposed}
	readBack, err := s.publisher.Publish(ctx, publication, h.snapshot())
	if err != nil {
		return nil, fmt.Errorf("nothing was published: %w", err)
	}
	result.Outcome, result.ID, result.Reason, result.Detail = readBack.Outcome, publication.ID, readBack.Reason, readBack.Detail
	if readBack.Outcome != configlog.OutcomeUncertain {
		result.Version = readBack.Version
	}
	if readBack.Outcome == configlog.OutcomeRejected {
		after, err := s.current(ctx)
		if err != nil {
			result.Detail += "; the clashing fields are unknown: " + err.Error()
			return result, nil
		}
		if known {
			after.states[c.base] = config.State{Version: c.base, Config: before}
		}
		result.setWinner(after)
	}
	return result, nil
}

// setWinner records the version that is in force instead and the conflicting
// fields.
func (r *publishResult) setWinner(h *history) {
	state := h.state()
	r.Winner = &winner{Version: state.Version, ID: state.ID}
	if before, known := h.configuration(r.Base); known {
		r.Winner.Changes = config.Diff(before, state.Config)
		r.Conflicts = conflicts(r.Changes, r.Winner.Changes)
	}
}

// reportPublish prints the result, waits until the version is in force if --wait
// is set, and returns the error that determines the exit code.
func (a *app) reportPublish(ctx context.Context, f *publishFlags, r *publishResult) error {
	succeeded := r.Outcome == configlog.OutcomeAccepted || r.Outcome == outcomeUnchanged
	if a.output == outputTable {
		if err := a.printOutcome(r); err != nil {
			return err
		}
	}
	if succeeded && f.wait {
		start := time.Now()
		r.awaitInForce(ctx, &f.connection)
		if a.output == outputTable {
			if err := a.printInForce(r, time.Since(start)); err != nil {
				return err
			}
		}
	}
	if a.output == outputJSON {
		if err := printJSON(a.streams.Out, r); err != nil {
			return err
		}
	}
	return r.exitError()
}

// awaitInForce waits until all instances have confirmed the version, and records
// what they reported.
func (r *publishResult) awaitInForce(ctx context.Context, c *connectionFlags) {
	waiter := newVersionWaiter(c, r.Version)
	done := waiter.wait(ctx)
	r.InForce, r.Instances = &done, waiter.list()
	if waiter.lastErr != nil {
		r.WaitError = waiter.lastErr.Error()
	}
}

// exitError returns nil if the change was accepted and, if the command waited, is
// in force. After an append it never returns an error whose exit code says that
// nothing was changed.
func (r *publishResult) exitError() error {
	switch {
	case r.Outcome == outcomeRefused:
		return &ResultError{"refused: " + r.Detail}
	case r.Outcome == configlog.OutcomeRejected && r.Winner != nil:
		return &ResultError{fmt.Sprintf("rejected: version %d (%s) won", r.Winner.Version, r.Winner.ID)}
	case r.Outcome == configlog.OutcomeRejected:
		return &ResultError{"rejected: " + r.Detail}
	case r.Outcome == configlog.OutcomeUncertain:
		return &ResultError{fmt.Sprintf("it is uncertain whether %s was stored; config history shows it", r.ID)}
	case r.InForce != nil && !*r.InForce && len(r.Instances) == 0:
		return &ResultError{fmt.Sprintf("version %d is accepted, and no instance could be asked whether it is in force", r.Version)}
	case r.InForce != nil && !*r.InForce:
		return &ResultError{fmt.Sprintf("version %d is accepted, and %d of %d instances have not confirmed it",
			r.Version, r.unconfirmed(), len(r.Instances))}
	}
	return nil
}

func (r *publishResult) unconfirmed() (n int) {
	for _, instance := range r.Instances {
		if !instance.Confirmed {
			n++
		}
	}
	return n
}

func (a *app) printOutcome(r *publishResult) error {
	var rows [][]string
	for _, l := range r.Load {
		rows = append(rows, []string{"load", l.String()})
	}
	switch r.Outcome {
	case outcomeRefused:
		rows = append(rows, []string{"result", "refused: " + r.Detail})
	case configlog.OutcomeAccepted:
		rows = append(rows, []string{"result", fmt.Sprintf("accepted as version %d (%s)", r.Version, r.ID)})
		if r.Attempts > 1 {
			rows = append(rows, []string{"note", "another operator's change won the first time; this one was made again on top of it"})
		}
	case outcomeUnchanged:
		rows = append(rows, []string{"result", fmt.Sprintf("nothing to change; version %d is like this already", r.Version)})
	case configlog.OutcomeRejected:
		rows = append(rows, []string{"result", "rejected: " + r.Detail})
	case configlog.OutcomeUncertain:
		rows = append(rows, []string{"result", fmt.Sprintf("uncertain: %s; the publication is %s", r.Detail, r.ID)},
			[]string{"note", "a second publication on the same base is safe: at most one of the two is accepted"})
	}
	for _, c := range r.Changes {
		rows = append(rows, []string{"change", c.String()})
	}
	if r.Winner != nil {
		rows = append(rows, []string{"won", fmt.Sprintf("version %d (%s)", r.Winner.Version, r.Winner.ID)})
		for _, c := range r.Winner.Changes {
			rows = append(rows, []string{"their change", c.String()})
		}
	}
	for _, c := range r.Conflicts {
		rows = append(rows, []string{"clash", fmt.Sprintf("%s: %s here, %s there", c.Path, c.Mine, c.Theirs)})
	}
	return printTable(a.streams.Out, rows)
}

func (a *app) printInForce(r *publishResult, took time.Duration) error {
	if *r.InForce {
		rows := [][]string{{"in force everywhere", fmt.Sprintf("%d instances, after %.3f s", len(r.Instances), took.Seconds())}}
		if r.WaitError != "" {
			rows = append(rows, []string{"note", r.WaitError})
		}
		return printTable(a.streams.Out, rows)
	}
	rows := [][]string{{"NOT CONFIRMED", "ZONE", "ADDRESS", "VERSION", "DETAIL"}}
	for _, instance := range r.Instances {
		if !instance.Confirmed {
			rows = append(rows, []string{instance.ID, instance.Zone, instance.Address, instance.versionText(), instance.Detail})
		}
	}
	if len(r.Instances) == 0 {
		rows = append(rows, []string{"none known", "", "", "", r.WaitError})
	}
	return printTable(a.streams.Out, rows)
}

func (v *instanceVersion) versionText() string {
	if v.Version == nil {
		return "unknown"
	}
	return strconv.FormatUint(*v.Version, 10)
}
