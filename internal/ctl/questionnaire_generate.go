package ctl

import (
	"context"

	"github.com/spf13/cobra"

	"fulmarhoist.example/questionnaire"
)

const questionnaireGenerateHelp = `Print the configuration generated from the answers in FILE, as JSON.

The output is deterministic: the same answers always give the same bytes. The
exit code is 2 if there are mistakes; they are listed on standard error.`

func (a *app) questionnaireGenerateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "generate FILE",
		Short: "Generate the configuration from the answers",
		Long:  questionnaireGenerateHelp,
		Args:  cobra.ExactArgs(1),
		RunE: a.runEWithArgs(func(_ context.Context, args []string) error {
			answers, err := a.readAnswers(args[0])
			if err != nil {
				return err
			}
			c, err := questionnaire.Generate(*answers)
			if err != nil {
				return err
			}
			return printJSON(a.streams.Out, c)
		}),
	}
}
