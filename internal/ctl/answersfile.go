package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"fulmarhoist.example/config"
	"fulmarhoist.example/questionnaire"
	"fulmarhoist.example/settings/strictjson"
)

// readInput reads a file, or standard input for "-".
func (a *app) readInput(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(io.LimitReader(a.streams.In, strictjson.MaxBytes+1))
		if err != nil {
			return nil, &UsageError{fmt.Errorf("reading standard input: %w", err)}
		}
		return data, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &UsageError{err}
	}
	return data, nil
}

// withoutComments blanks the lines that begin with two slashes. A string in JSON
// cannot span lines, so such a line is never part of a value. The lines stay, so
// that the decoder names the right one.
func withoutComments(data []byte) []byte {
	var result []byte
	for line := range bytes.Lines(data) {
		if bytes.HasPrefix(bytes.TrimLeft(line, " \t"), []byte("//")) {
			line = []byte("\n")
		}
		result = append(result, line...)
	}
	return result
}

// readAnswers reads a questionnaire and reports all its mistakes.
func (a *app) readAnswers(path string) (*questionnaire.Answers, error) {
	data, err := a.readInput(path)
	if err != nil {
		return nil, err
	}
	answers := &questionnaire.Answers{}
	if problems := strictjson.Decode(withoutComments(data), answers); len(problems) > 0 {
		return nil, &config.InvalidError{Subject: path, Problems: problems}
	}
	return answers, nil
}

// shownState is the form in which config show prints the state in force.
type shownState struct {
	Version int64                `json:"version"`
	ID      string               `json:"id"`
	Offset  int64                `json:"offset"`
	Config  config.Configuration `json:"config"`
}

// Validate lists the problems of the configuration.
func (s *shownState) Validate() []config.Problem {
	var problems config.Problems
	problems.CheckInt("version", s.Version, config.Range{Min: 0, Max: 1<<63 - 1})
	for _, p := range config.Validate(&s.Config) {
		problems.Add("config."+p.Path, p.Fault, p.Remedy)
	}
	return problems
}

// proposal is a configuration from a file, and the version that the file says it
// was made from; nil if it does not say.
type proposal struct {
	config *config.Configuration
	base   *uint64
	// generated is true if it comes from answers, which know nothing of zones
	// and servers that are out of service.
	generated bool
}

// readConfiguration reads a configuration, or what config show printed as JSON.
func (a *app) readConfiguration(path string) (*proposal, error) {
	data, err := a.readInput(path)
	if err != nil {
		return nil, err
	}
	var form struct {
		Config json.RawMessage `json:"config"`
	}
	if json.Unmarshal(data, &form) == nil && form.Config != nil {
		shown := &shownState{}
		if problems := strictjson.Decode(data, shown); len(problems) > 0 {
			return nil, &config.InvalidError{Subject: path, Problems: problems}
		}
		base := uint64(shown.Version)
		return &proposal{config: &shown.Config, base: &base}, nil
	}
	c := &config.Configuration{}
	problems := strictjson.Decode(data, c)
	if len(problems) == 0 {
		problems = config.Validate(c)
	}
	if len(problems) > 0 {
		return nil, &config.InvalidError{Subject: path, Problems: problems}
	}
	return &proposal{config: c}, nil
}

// readProposal reads a configuration from the one argument, or generates it from
// the file of answers.
func (a *app) readProposal(arguments []string, answersPath string) (*proposal, error) {
	switch {
	case (len(arguments) == 1) == (answersPath != ""):
		return nil, &FlagError{"FILE or --answers", "is required, and only one of them"}
	case answersPath == "":
		return a.readConfiguration(arguments[0])
	}
	answers, err := a.readAnswers(answersPath)
	if err != nil {
		return nil, err
	}
	c, err := questionnaire.Generate(*answers)
	if err != nil {
		return nil, err
	}
	return &proposal{config: c, generated: true}, nil
}

// against returns the configuration to publish in place of the one in force.
func (p *proposal) against(inForce *config.Configuration) *config.Configuration {
	if p.generated {
		return config.PreserveOutOfService(inForce, p.config)
	}
	return p.config
}
