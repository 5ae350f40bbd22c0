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

// readInput reads a file, or standard input if path is "-".
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

// blankCommentLines replaces lines that begin with two slashes by empty ones. A
// JSON string cannot span lines, so such a line is never part of a value. The
// number of lines stays the same, so that the decoder reports the right line.
func blankCommentLines(data []byte) []byte {
	var result []byte
	for line := range bytes.Lines(data) {
		if bytes.HasPrefix(bytes.TrimLeft(line, " \t"), []byte("//")) {
			line = []byte("\n")
		}
		result = append(result, line...)
	}
	return result
}

// readAnswers reads the answers of a questionnaire. The error lists all their
// problems.
func (a *app) readAnswers(path string) (*questionnaire.Answers, error) {
	data, err := a.readInput(path)
	if err != nil {
		return nil, err
	}
	answers := &questionnaire.Answers{}
	if problems := strictjson.Decode(blankCommentLines(data), answers); len(problems) > 0 {
		return nil, &config.InvalidError{Subject: path, Problems: problems}
	}
	return answers, nil
}

// shownState is the JSON form in which config show prints the state in force.
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

// proposal is a configuration from a file. base is the version that it is based
// on, or nil if the file does not name one.
type proposal struct {
	config *config.Configuration
	base   *uint64
	// generated is true if the configuration was generated from a questionnaire,
	// which does not say which zones and targets are out of service.
	generated bool
}

// readConfiguration reads a configuration, or the JSON output of config show.
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

// readProposal reads a configuration from the file named by the only argument, or
// generates it from the questionnaire at answersPath.
func (a *app) readProposal(args []string, answersPath string) (*proposal, error) {
	switch {
	case (len(args) == 1) == (answersPath != ""):
		return nil, &FlagError{"FILE or --answers", "is required, but not both"}
	case answersPath == "":
		return a.readConfiguration(args[0])
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

// configToPublish returns the configuration that is to replace the one in force.
func (p *proposal) configToPublish(inForce *config.Configuration) *config.Configuration {
	if p.generated {
		return config.PreserveOutOfService(inForce, p.config)
	}
	return p.config
}
