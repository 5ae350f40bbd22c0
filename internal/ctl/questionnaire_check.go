package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"fulmarhoist.example/config"
)

const questionnaireCheckHelp = `Check the answers in FILE; - reads standard input.

All mistakes are listed at once, each with its path and its remedy. Lines that
begin with two slashes are comments.

The exit code is 0 if there are no mistakes and 2 otherwise.`

func (a *app) questionnaireCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "List all mistakes in the answers",
		Long:  questionnaireCheckHelp,
		Args:  cobra.ExactArgs(1),
		RunE: a.runEWithArgs(func(_ context.Context, args []string) error {
			return a.checkAnswers(args[0])
		}),
	}
}

// checkResult is the JSON output of questionnaire check.
type checkResult struct {
	Valid    bool             `json:"valid"`
	Problems []config.Problem `json:"problems"`
}

func (a *app) checkAnswers(path string) error {
	problems, err := a.answerProblems(path)
	if err != nil {
		return err
	}
	if err := a.printProblems(path, problems); err != nil {
		return err
	}
	if len(problems) > 0 {
		return &UsageError{&FlagError{path, fmt.Sprintf("has %d mistakes", len(problems))}}
	}
	return nil
}

// answerProblems returns all problems of the answers. An error means that the
// file could not be read.
func (a *app) answerProblems(path string) ([]config.Problem, error) {
	_, err := a.readAnswers(path)
	if invalid, ok := errors.AsType[*config.InvalidError](err); ok {
		return invalid.Problems, nil
	}
	return []config.Problem{}, err
}

func (a *app) printProblems(path string, problems []config.Problem) error {
	out := a.streams.Out
	if a.output == outputJSON {
		return printJSON(out, checkResult{Valid: len(problems) == 0, Problems: problems})
	}
	if len(problems) == 0 {
		_, _ = fmt.Fprintf(out, "%s has no mistakes\n", path)
		return nil
	}
	rows := [][]string{{"PATH", "MISTAKE", "REMEDY"}}
	for _, p := range problems {
		at := p.Path
		if at == "" {
			at = "(file)"
		}
		rows = append(rows, []string{at, p.Fault, p.Remedy})
	}
	return printTable(out, rows)
}
