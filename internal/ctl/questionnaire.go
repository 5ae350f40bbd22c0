package ctl

import "github.com/spf13/cobra"

func (a *app) questionnaireCommand() *cobra.Command {
	return commandGroup("questionnaire", "Create, check and explain the questionnaire that a configuration is generated from",
		a.questionnaireNewCommand(), a.questionnaireCheckCommand(),
		a.questionnaireGenerateCommand(), a.questionnaireExplainCommand())
}
