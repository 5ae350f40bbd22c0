package ctl

import (
	"context"

	"github.com/spf13/cobra"
)

const configPublishHelp = `Publish a configuration on the log service and wait until it is in force.

FILE holds a configuration, or the JSON that config show prints; - is standard
input. With --answers, the configuration is generated from a questionnaire, and
zones and servers that are out of service stay out.

A publication is accepted only if the version that it is based on is in force.
That version is --base, or the one in a file from config show, or else the one
in force now. A rejected publication shows the version that won and the fields
that both changed.

Without an answer of the log service to the append, the log is read back until
the deadline to find out what became of it.

The exit code is 0 if it was accepted and all instances of the directory have
confirmed it, 1 if it was rejected, is uncertain, or was not confirmed by all
before the deadline, 2 if the file has mistakes, and 3 if the log service could
not be reached and nothing was changed.`

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
		RunE:  a.runningWith(p.run),
	}
	p.flags.register(command.Flags())
	command.Flags().StringVar(&p.answers, "answers", "", "file with the answers to generate the configuration from")
	command.Flags().Int64Var(&p.base, "base", -1, "version that the configuration was made from (default the one in force)")
	return command
}

func (p *configPublish) run(ctx context.Context, arguments []string) error {
	proposed, err := p.app.readProposal(arguments, p.answers)
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
	result, err := session.publish(ctx, h, change{base: base, proposed: proposed.against(h.state().Config)})
	if err != nil {
		return err
	}
	return p.app.report(ctx, &p.flags, result)
}
