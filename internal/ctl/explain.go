package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

const explainHelp = `Collect the log lines of one request from the logs of any number of instances, and
show how it ended.

Any prefix of a line before its first brace is ignored, and so are lines without
valid JSON. For each target that the lines of the request name, the newest earlier
line about it is shown too. The exit code is 1 if no line names the request.`

// logLine is one log line: the fields that explain evaluates, and the whole
// text.
type logLine struct {
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
	index int
}

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Show from logs how a request ended",
		Long:  explainHelp,
		Args:  cobra.MinimumNArgs(2),
		RunE: a.runEWithArgs(func(_ context.Context, args []string) error {
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			return explain(a.streams.Out, args[0], lines)
		}),
	}
}

// UnknownRequestError reports a request id that no log line names.
type UnknownRequestError struct {
	ID string
}

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line names the request %s", e.ID)
}

// maxLogLineBytes is the maximum length of a log line in bytes.
const maxLogLineBytes = 1 << 20

func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("opening the log: %w", err)
		}
		lines, err = appendLogLines(lines, file)
		_ = file.Close()
		if err != nil {
			return nil, fmt.Errorf("reading the log %s: %w", name, err)
		}
	}
	return lines, nil
}

func appendLogLines(lines []logLine, log io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		line := logLine{text: text[brace:], index: len(lines)}
		if json.Unmarshal([]byte(line.text), &line) == nil && line.Event != "" {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// explain writes the log lines of a request and those about its targets in order
// of time, and then how the request ended.
func explain(out io.Writer, id string, lines []logLine) error {
	var requestLines []logLine
	for _, line := range lines {
		if line.Request == id {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return &UnknownRequestError{id}
	}
	shown := append(targetContext(requestLines, lines), requestLines...)
	slices.SortStableFunc(shown, func(a, b logLine) int {
		if a.Time != b.Time {
			return strings.Compare(a.Time, b.Time)
		}
		return a.index - b.index
	})
	for _, line := range shown {
		if _, err := fmt.Fprintln(out, line.text); err != nil {
			return fmt.Errorf("writing the result: %w", err)
		}
	}
	_, err := fmt.Fprintln(out, conclusion(requestLines))
	if err != nil {
		return fmt.Errorf("writing the result: %w", err)
	}
	return nil
}

// targetContext returns, for each instance that wrote lines of the request and each
// target that these name, the newest line about the target that the instance wrote
// before its last one of the request.
func targetContext(requestLines, lines []logLine) []logLine {
	byInstance := map[string][]logLine{}
	for _, line := range requestLines {
		byInstance[line.Instance] = append(byInstance[line.Instance], line)
	}
	var newestLines []logLine
	for _, instance := range slices.Sorted(maps.Keys(byInstance)) {
		own := byInstance[instance]
		for _, name := range targetsOf(own) {
			if newest := newestTargetLine(lines, instance, name, own[len(own)-1].index); newest != nil {
				newestLines = append(newestLines, *newest)
			}
		}
	}
	return newestLines
}

// newestTargetLine returns the last line about a target that an instance wrote
// before the line with the given index, or nil.
func newestTargetLine(lines []logLine, instance, target string, before int) *logLine {
	var newest *logLine
	for i := range lines {
		line := &lines[i]
		if line.Target == target && line.Request == "" && line.Instance == instance && line.index < before {
			newest = line
		}
	}
	return newest
}

func targetsOf(requestLines []logLine) []string {
	var names []string
	add := func(name string) {
		if name != "" && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, line := range requestLines {
		add(line.Target)
		for _, attempt := range line.Attempts {
			name, _, _ := strings.Cut(attempt, " ")
			add(name)
		}
	}
	return names
}

// conclusion describes in one sentence how the request ended.
func conclusion(requestLines []logLine) string {
	last := requestLines[len(requestLines)-1]
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
