package ctl

import (
	"context"

	"github.com/spf13/cobra"
)

const configPublishHelp = `Publish a configuration to the log service and wait until it is in force.

FILE holds a configuration, or the JSON that config show prints; - reads standard
input. With --answers, the configuration is generated from a questionnaire, and
zones and targets that are out of service stay out.

A publication is accepted only if its base version is the version in force. The
base version is that of --base, else that of a file from config show, else the
version in force now. For a rejected publication, the version that was accepted
instead and the conflicting fields are shown.

If the log service does not answer the append, the log is read until the deadline
to find out whether the publication was stored.

The exit code is 0 if it was accepted and all instances in the directory have
confirmed it, 1 if it was rejected, is uncertain, or was not confirmed by all
instances before the deadline, 2 if the file is invalid, and 3 if the log service
was unreachable and nothing was changed.`

// configPublish holds the flags of the command config publish.
type configPublish struct {
	app     *app
	flags   publishFlags
	answers string
	base    int64
}

func (a *app) configPublishCommand() *cobra.Command {
	p := &configPublish{app: a}
	command := &cobra.Command{
		Use:   "publish {FILE | --answers FILE} --log-service URL --instance HOST:PORT",
		Short: "Publish a configuration and wait until it is in force",
		Long:  configPublishHelp,
		Args:  cobra.MaximumNArgs(1),
		RunE:  a.runEWithArgs(p.run),
	}
	p.flags.register(command.Flags())
	command.Flags().StringVar(&p.answers, "answers", "", "questionnaire file to generate the configuration from")
	command.Flags().Int64Var(&p.base, "base", -1, "base version of the configuration (default the version in force)")
	return command
}

func (p *configPublish) run(ctx context.Context, args []string) error {
	proposed, err := p.app.readProposal(args, p.answers)
	if err != nil {
		return err
	}
	ctx, session, err := p.flags.open(ctx)
	if err != nil {
		return err
	}
	defer session.close()
	h, err := session.current(ctx)
	if err != nil {
		return err
	}
	base := h.state().Version
	switch {
	case p.base >= 0:
		base = uint64(p.base)
	case proposed.base != nil:
		base = *proposed.base
	}
	result, err := session.publish(ctx, h, proposedChange{base: base, proposed: proposed.configToPublish(h.state().Config)})
	if err != nil {
		return err
	}
	return p.app.reportPublish(ctx, &p.flags, result)
}
