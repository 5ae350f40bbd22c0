package ctl

import "github.com/spf13/cobra"

func (a *app) questionnaireCommand() *cobra.Command {
	return group("questionnaire", "Write, check and explain the answers that a configuration is generated from",
		a.questionnaireNewCommand(), a.questionnaireCheckCommand(),
		a.questionnaireGenerateCommand(), a.questionnaireExplainCommand())
}
