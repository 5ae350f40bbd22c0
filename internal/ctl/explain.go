package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

const explainHelp = `Collect the log lines of one request from the logs of any number of instances, and
say what ended it.

Lines that are not JSON from their first brace on are passed over. Besides the lines
of the request, the newest line before them about each target that they name is
shown. The exit code is 1 if no line names the request.`

// explainLine is one log line; the fields that decide are read, the text is kept.
type explainLine struct {
	Time     string   `json:"time"`
	Instance string   `json:"instance"`
	Event    string   `json:"event"`
	Request  string   `json:"request"`
	Target   string   `json:"target"`
	Reason   string   `json:"reason"`
	Status   int      `json:"status"`
	Attempts []string `json:"attempts"`
	Error    string   `json:"error"`

	text  string
	order int
}

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Say from logs what became of a request",
		Long:  explainHelp,
		Args:  cobra.MinimumNArgs(2),
		RunE: a.runningWith(func(_ context.Context, args []string) error {
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			return explain(a.streams.Out, args[0], lines)
		}),
	}
}

// UnknownRequestError reports a request that no log line names.
type UnknownRequestError struct {
	ID string
}

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line names the request %s", e.ID)
}

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

func readLogs(files []string) ([]explainLine, error) {
	var lines []explainLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("read the log: %w", err)
		}
		lines, err = appendLog(lines, file)
		_ = file.Close()
		if err != nil {
			return nil, fmt.Errorf("read the log %s: %w", name, err)
		}
	}
	return lines, nil
}

func appendLog(lines []explainLine, log io.Reader) ([]explainLine, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		line := explainLine{text: text[brace:], order: len(lines)}
		if json.Unmarshal([]byte(line.text), &line) == nil && line.Event != "" {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// explain writes the lines of a request with their background, and its end.
func explain(out io.Writer, id string, lines []explainLine) error {
	var own []explainLine
	for _, line := range lines {
		if line.Request == id {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return &UnknownRequestError{id}
	}
	shown := append(background(own, lines), own...)
	slices.SortStableFunc(shown, func(a, b explainLine) int {
		if a.Time != b.Time {
			return strings.Compare(a.Time, b.Time)
		}
		return a.order - b.order
	})
	for _, line := range shown {
		if _, err := fmt.Fprintln(out, line.text); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	_, err := fmt.Fprintln(out, conclusion(own))
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// background returns, for each target that the lines name, the newest line about
// it that the same instance wrote before.
func background(own, lines []explainLine) []explainLine {
	var found []explainLine
	for _, name := range targetsOf(own) {
		var newest *explainLine
		for i := range lines {
			line := &lines[i]
			if line.Target == name && line.Request == "" && line.Instance == own[0].Instance && line.order < own[len(own)-1].order {
				newest = line
			}
		}
		if newest != nil {
			found = append(found, *newest)
		}
	}
	return found
}

func targetsOf(own []explainLine) []string {
	var names []string
	add := func(name string) {
		if name != "" && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, line := range own {
		add(line.Target)
		for _, attempt := range line.Attempts {
			name, _, _ := strings.Cut(attempt, " ")
			add(name)
		}
	}
	return names
}

// conclusion says in a sentence what ended the request.
func conclusion(own []explainLine) string {
	last := own[len(own)-1]
	switch {
	case last.Event == "request_answered":
		return fmt.Sprintf("Answered by a target with status %d after %d attempt(s).", last.Status, len(last.Attempts))
	case last.Event == "request_refused" && len(last.Attempts) == 0:
		return fmt.Sprintf("Refused with status %d before any attempt: %s.", last.Status, last.Reason)
	case last.Event == "request_refused":
		return fmt.Sprintf("Ended with status %d after %d attempt(s): %s. Last attempt: %s.",
			last.Status, len(last.Attempts), last.Reason, last.Attempts[len(last.Attempts)-1])
	default:
		return "No line tells the end of the request: the instance ended, or the line was dropped."
	}
}
