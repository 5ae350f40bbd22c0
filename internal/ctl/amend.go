package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"fulmarhoist.example/caller"
	"fulmarhoist.example/config"
	"fulmarhoist.example/configlog"
)

// direction tells whether something goes out of service or comes back.
type direction string

const (
	takeOut direction = "out"
	bringIn direction = "in"
)

const takeOutHelp = `Take %[1]s NAME out of service.

The configuration in force is read from the log, amended, and published on top of
that version. If another operator's change of other fields is accepted in
between, the amendment is made once more on top of it.

The command is refused if the rest cannot bear today's load: the requests in
flight and waiting that all instances report, against the slots of the targets
that remain, for each service that loses slots. Where an instance does not report
its load, its part is unknown, counts as 0, and is named. --force skips the
check.

The exit code is 0 if the change, or an earlier one like it, is in force on all
instances of the directory, 1 if it was refused or rejected, is uncertain, or was
not confirmed by all before the deadline, 2 if NAME is not known, and 3 if the
log service or all instances could not be reached and nothing was changed.`

const bringInHelp = `Bring %[1]s NAME back into service.

The configuration in force is read from the log, amended, and published on top of
that version. If another operator's change of other fields is accepted in
between, the amendment is made once more on top of it. Targets that come back go
through their cold start.

The exit code is 0 if the change, or an earlier one like it, is in force on all
instances of the directory, 1 if it was rejected, is uncertain, or was not
confirmed by all before the deadline, 2 if NAME is not known, and 3 if the log
service could not be reached and nothing was changed.`

// amendment is a change of one mark in the configuration in force.
type amendment struct {
	app       *app
	flags     publishFlags
	direction direction
	force     bool
	// apply changes a configuration that is the amendment's own.
	apply func(c *config.Configuration, name string) error
}

// command returns the command; the kind names what is amended.
func (m *amendment) command(kind string) *cobra.Command {
	short, help := "Bring %s NAME back into service", bringInHelp
	if m.direction == takeOut {
		short, help = "Take %s NAME out of service", takeOutHelp
	}
	command := &cobra.Command{
		Use:   string(m.direction) + " NAME --log-service URL --instance HOST:PORT",
		Short: fmt.Sprintf(short, kind),
		Long:  fmt.Sprintf(help, kind),
		Args:  cobra.ExactArgs(1),
		RunE:  m.app.runningWith(m.run),
	}
	m.flags.register(command.Flags())
	if m.direction == takeOut {
		command.Flags().BoolVar(&m.force, "force", false, "do not check that the rest can bear today's load")
	}
	return command
}

// checks tells whether the load is to be measured.
func (m *amendment) checks() bool { return m.direction == takeOut && !m.force }

func (m *amendment) run(ctx context.Context, arguments []string) error {
	if m.checks() && len(m.flags.connection.instances) == 0 {
		return &FlagError{"--instance", "is required to measure today's load; or use --force"}
	}
	ctx, session, err := m.flags.open(ctx)
	if err != nil {
		return err
	}
	defer session.close()
	result, err := m.attempt(ctx, session, arguments[0])
	if err != nil {
		return err
	}
	if result.unrelatedWinner() {
		// The other operator may have taken something out too, so the load is
		// checked again.
		if result, err = m.attempt(ctx, session, arguments[0]); err != nil {
			return err
		}
		result.Attempts = 2
	}
	return m.app.report(ctx, &m.flags, result)
}

// unrelatedWinner tells whether another operator's change of other fields won.
func (r *publishResult) unrelatedWinner() bool {
	return r.Outcome == configlog.OutcomeRejected && r.Reason == config.ReasonStaleBase &&
		r.Winner != nil && len(r.Winner.Changes) > 0 && len(r.Clashes) == 0
}

// attempt amends the configuration in force and publishes it.
func (m *amendment) attempt(ctx context.Context, session *logSession, name string) (*publishResult, error) {
	h, err := session.current(ctx)
	if err != nil {
		return nil, err
	}
	state, err := h.inForce()
	if err != nil {
		return nil, err
	}
	next := state.Config.Clone()
	if err := m.apply(next, name); err != nil {
		return nil, err
	}
	var load []serviceLoad
	if m.checks() && len(config.Diff(state.Config, next)) > 0 {
		if load, err = m.load(ctx, state.Config, next); err != nil {
			return nil, err
		}
		if short := shortages(load); short != "" {
			return &publishResult{
				Outcome: outcomeRefused, Base: state.Version, Version: state.Version, Detail: short,
				Changes: config.Diff(state.Config, next), Attempts: 1, Load: load,
			}, nil
		}
	}
	result, err := session.publish(ctx, h, change{base: state.Version, proposed: next})
	if err != nil {
		return nil, err
	}
	result.Load = load
	return result, nil
}

func (m *amendment) load(ctx context.Context, before, after *config.Configuration) ([]serviceLoad, error) {
	found := m.flags.connection.survey(ctx)
	if len(found.instances) == 0 {
		return nil, fmt.Errorf("measuring today's load, which --force skips: %w", found.failure)
	}
	loads := measure(ctx, found.instances)
	for _, address := range slices.Sorted(maps.Keys(found.silent)) {
		if !slices.ContainsFunc(found.instances, func(i *caller.Instance) bool { return i.Address == address }) {
			loads = append(loads, loadAt{instance: address})
		}
	}
	return compare(before, after, loads), nil
}

// shortages describes the services whose rest cannot bear the load.
func shortages(load []serviceLoad) string {
	var short []string
	for _, l := range load {
		switch {
		case l.Empty:
			short = append(short, fmt.Sprintf("no target of service %s would be left", l.Service))
		case l.Missing > 0:
			short = append(short, fmt.Sprintf("the rest of service %s has %d slots for %d requests, %d too few",
				l.Service, l.SlotsAfter, l.InFlight+l.Waiting, l.Missing))
		}
	}
	return strings.Join(short, "; ")
}
