package ctl

import "github.com/spf13/cobra"

func (a *app) configCommand() *cobra.Command {
	return commandGroup("config", "Publish and show the configuration",
		a.configPublishCommand(), a.configShowCommand(), a.configHistoryCommand(), a.configDiffCommand())
}
