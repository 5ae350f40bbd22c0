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

// direction is the subcommand: out takes something out of service, in brings it
// back.
type direction string

const (
	takeOut direction = "out"
	bringIn direction = "in"
)

const takeOutHelp = `Take %[1]s NAME out of service.

The configuration in force is read from the log, changed, and published with that
version as its base. If another operator's change to other fields is accepted in
the meantime, the change is retried once on top of it.

The command is refused if the remaining targets cannot carry the current load.
For each service that loses slots, the requests in flight and waiting that all
instances report are compared with the slots of the remaining targets. If an
instance does not report its load, its share counts as 0 and the instance is
named as unknown. --force skips the check.

The exit code is 0 if the change, or an earlier identical one, is in force on all
instances in the directory, 1 if it was refused or rejected, is uncertain, or was
not confirmed by all instances before the deadline, 2 if NAME is unknown, and 3
if the log service or all instances were unreachable and nothing was changed.`

const bringInHelp = `Bring %[1]s NAME back into service.

The configuration in force is read from the log, changed, and published with that
version as its base. If another operator's change to other fields is accepted in
the meantime, the change is retried once on top of it. Targets that return go
through a cold start.

The exit code is 0 if the change, or an earlier identical one, is in force on all
instances in the directory, 1 if it was rejected, is uncertain, or was not
confirmed by all instances before the deadline, 2 if NAME is unknown, and 3 if the
log service was unreachable and nothing was changed.`

// outOfServiceCommand sets or clears the out-of-service flag of a zone or target
// in the configuration in force.
type outOfServiceCommand struct {
	app       *app
	flags     publishFlags
	direction direction
	force     bool
	// apply sets or clears the flag in c, which is a copy of the configuration in
	// force.
	apply func(c *config.Configuration, name string) error
}

// command returns the cobra command. kind names what it changes in the help
// text.
func (o *outOfServiceCommand) command(kind string) *cobra.Command {
	short, help := "Bring %s NAME back into service", bringInHelp
	if o.direction == takeOut {
		short, help = "Take %s NAME out of service", takeOutHelp
	}
	command := &cobra.Command{
		Use:   string(o.direction) + " NAME --log-service URL --instance HOST:PORT",
		Short: fmt.Sprintf(short, kind),
		Long:  fmt.Sprintf(help, kind),
		Args:  cobra.ExactArgs(1),
		RunE:  o.app.runEWithArgs(o.run),
	}
	o.flags.register(command.Flags())
	if o.direction == takeOut {
		command.Flags().BoolVar(&o.force, "force", false, "do not check that the remaining targets can carry the current load")
	}
	return command
}

// checksCapacity reports whether the current load has to be measured.
func (o *outOfServiceCommand) checksCapacity() bool { return o.direction == takeOut && !o.force }

func (o *outOfServiceCommand) run(ctx context.Context, args []string) error {
	if o.checksCapacity() && len(o.flags.connection.instances) == 0 {
		return &FlagError{"--instance", "is required to measure the current load; or use --force"}
	}
	ctx, session, err := o.flags.open(ctx)
	if err != nil {
		return err
	}
	defer session.close()
	result, err := o.publishOnce(ctx, session, args[0])
	if err != nil {
		return err
	}
	if result.lostToUnrelatedChange() {
		// The other operator may have taken something out of service too, so the
		// capacity is checked again.
		if result, err = o.publishOnce(ctx, session, args[0]); err != nil {
			return err
		}
		result.Attempts = 2
	}
	return o.app.reportPublish(ctx, &o.flags, result)
}

// lostToUnrelatedChange reports whether the publication was rejected because
// another operator's change to other fields was accepted first.
func (r *publishResult) lostToUnrelatedChange() bool {
	return r.Outcome == configlog.OutcomeRejected && r.Reason == config.ReasonStaleBase &&
		r.Winner != nil && len(r.Winner.Changes) > 0 && len(r.Conflicts) == 0
}

// publishOnce changes the configuration in force and publishes it, without a
// retry.
func (o *outOfServiceCommand) publishOnce(ctx context.Context, session *logSession, name string) (*publishResult, error) {
	h, err := session.current(ctx)
	if err != nil {
		return nil, err
	}
	state, err := h.inForce()
	if err != nil {
		return nil, err
	}
	next := state.Config.Clone()
	if err := o.apply(next, name); err != nil {
		return nil, err
	}
	var load []serviceLoad
	if o.checksCapacity() && len(config.Diff(state.Config, next)) > 0 {
		if load, err = o.measureLoad(ctx, state.Config, next); err != nil {
			return nil, err
		}
		if shortfall := describeShortfall(load); shortfall != "" {
			return &publishResult{
				Outcome: outcomeRefused, Base: state.Version, Version: state.Version, Detail: shortfall,
				Changes: config.Diff(state.Config, next), Attempts: 1, Load: load,
			}, nil
		}
	}
	result, err := session.publish(ctx, h, proposedChange{base: state.Version, proposed: next})
	if err != nil {
		return nil, err
	}
	result.Load = load
	return result, nil
}

// measureLoad compares the load that the instances report with the capacity
// before and after the change. The load of an instance that did not return a
// directory is unknown.
func (o *outOfServiceCommand) measureLoad(ctx context.Context, before, after *config.Configuration) ([]serviceLoad, error) {
	discovered := o.flags.connection.discover(ctx)
	if len(discovered.instances) == 0 {
		return nil, fmt.Errorf("measuring the current load, which --force skips: %w", discovered.lastErr)
	}
	loads := measureAll(ctx, discovered.instances)
	for _, address := range slices.Sorted(maps.Keys(discovered.unresponsive)) {
		if !slices.ContainsFunc(discovered.instances, func(i *caller.Instance) bool { return i.Address == address }) {
			loads = append(loads, instanceLoad{instance: address})
		}
	}
	return compareCapacity(before, after, loads), nil
}

// describeShortfall names the services whose remaining targets cannot carry the
// load. It returns an empty string if there are none.
func describeShortfall(load []serviceLoad) string {
	var shortfalls []string
	for _, l := range load {
		switch {
		case l.NoTargetLeft:
			shortfalls = append(shortfalls, fmt.Sprintf("no target of service %s would be left", l.Service))
		case l.MissingSlots > 0:
			shortfalls = append(shortfalls, fmt.Sprintf("the rest of service %s has %d slots for %d requests, %d too few",
				l.Service, l.SlotsAfter, l.InFlight+l.Waiting, l.MissingSlots))
		}
	}
	return strings.Join(shortfalls, "; ")
}
