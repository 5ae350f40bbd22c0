package ctl

import (
	"context"
	"embed"
	"fmt"
	"io/fs"
	"os"
	"path"
	"strings"

	"github.com/spf13/cobra"
)

const questionnaireNewHelp = `Write a questionnaire with example answers and comments, or with --deployment the
answers of an included deployment.

It is written to standard output, or to --file, which must not exist yet.`

// templates holds the commented example and copies of the deployments in the
// directory examples, which go:embed cannot reach from this package.
//
//go:embed templates
var templates embed.FS

const commentedExample = "answers.jsonc"

// questionnaireNew holds the flags of the command questionnaire new.
type questionnaireNew struct {
	app        *app
	deployment string
	file       string
}

func (a *app) questionnaireNewCommand() *cobra.Command {
	n := &questionnaireNew{app: a}
	command := &cobra.Command{
		Use:   "new",
		Short: "Write a questionnaire to start from",
		Long:  questionnaireNewHelp,
		Args:  cobra.NoArgs,
		RunE:  a.runE(n.run),
	}
	command.Flags().StringVar(&n.deployment, "deployment", "", "included deployment: "+strings.Join(deployments(), " or "))
	command.Flags().StringVar(&n.file, "file", "", "file to create (default standard output)")
	_ = command.RegisterFlagCompletionFunc("deployment", cobra.FixedCompletions(deployments(), cobra.ShellCompDirectiveNoFileComp))
	return command
}

// deployments returns the names of the included deployments.
func deployments() []string {
	var names []string
	found, _ := fs.Glob(templates, "templates/*.json") // fails only for a malformed pattern
	for _, file := range found {
		names = append(names, strings.TrimSuffix(path.Base(file), ".json"))
	}
	return names
}

func (n *questionnaireNew) run(context.Context) error {
	name := commentedExample
	if n.deployment != "" {
		name = n.deployment + ".json"
	}
	content, err := templates.ReadFile("templates/" + name)
	if err != nil {
		return &FlagError{"--deployment", fmt.Sprintf("is %q, must be %s", n.deployment, strings.Join(deployments(), " or "))}
	}
	if n.file == "" {
		if _, err := n.app.streams.Out.Write(content); err != nil {
			return fmt.Errorf("writing the result: %w", err)
		}
		return nil
	}
	return createFile(n.file, content)
}

// createFile writes a file that must not exist yet, so that no answers are
// overwritten.
func createFile(name string, content []byte) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return &UsageError{fmt.Errorf("--file: %w", err)}
	}
	_, err = file.Write(content)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	return nil
}
