package ctl

import (
	"context"
	"strings"

	"github.com/spf13/cobra"

	"fulmarhoist.example/questionnaire"
)

const questionnaireExplainHelp = `Show for every setting the answers that it was derived from, and the rule.

The exit code is 2 if there are mistakes; they are listed on standard error.`

func (a *app) questionnaireExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain FILE",
		Short: "Show which answers each setting was derived from",
		Long:  questionnaireExplainHelp,
		Args:  cobra.ExactArgs(1),
		RunE: a.runEWithArgs(func(_ context.Context, args []string) error {
			return a.explain(args[0])
		}),
	}
}

func (a *app) explain(path string) error {
	answers, err := a.readAnswers(path)
	if err != nil {
		return err
	}
	settings, err := questionnaire.Explain(*answers)
	if err != nil {
		return err
	}
	if a.output == outputJSON {
		return printJSON(a.streams.Out, settings)
	}
	rows := [][]string{{"SETTING", "VALUE", "ANSWERS", "RULE"}}
	for _, s := range settings {
		rows = append(rows, []string{s.Path, s.Value, strings.Join(s.Answers, ", "), s.Rule})
	}
	return printTable(a.streams.Out, rows)
}
