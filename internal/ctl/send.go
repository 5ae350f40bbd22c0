package ctl

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"fulmarhoist.example/caller"
)

const sendHelp = `Send one request and show its outcome.

A request without --idempotent runs at most once. If its outcome is unknown, its
key is shown. To look up the outcome, send the request again with --key; without
the key it might run a second time.

The exit code is 0 for a response with a status below 400, 3 if no instance was
reachable, and 1 for any other outcome or status.`

// sender holds the flags of the command send.
type sender struct {
	app        *app
	connection connectionFlags
	request    caller.Request
	headers    []string
	body       string
}

func (a *app) sendCommand() *cobra.Command {
	s := &sender{app: a}
	command := &cobra.Command{
		Use:     "send --instance HOST:PORT --service NAME --class NAME",
		Short:   "Send one request",
		Long:    sendHelp,
		Example: "  fulmarhoistctl send --instance 127.0.0.1:8001 --service orders --class status --path /status/7 --idempotent",
		Args:    cobra.NoArgs,
		RunE:    a.runE(s.run),
	}
	s.connection.register(command.Flags())
	s.register(command.Flags())
	return command
}

func (s *sender) register(flags *pflag.FlagSet) {
	flags.StringVar(&s.request.Service, "service", "", "name of the service")
	flags.StringVar(&s.request.Class, "class", "", "name of the request class")
	flags.BoolVar(&s.request.Idempotent, "idempotent", false, "the request may be executed more than once")
	flags.StringVar(&s.request.Method, "method", http.MethodGet, "HTTP method")
	flags.StringVar(&s.request.Path, "path", "/", "path and query")
	flags.StringArrayVar(&s.headers, "header", nil, "header as 'Name: value'; may be repeated")
	flags.StringVar(&s.body, "body", "", "body; @FILE reads a file, @- reads standard input")
	flags.DurationVar(&s.request.Deadline, "deadline", 0, "time limit of the whole request (default 60s)")
	flags.DurationVar(&s.request.AttemptLimit, "attempt-limit", 0, "time limit of one attempt before another instance is tried (default none)")
	flags.StringVar(&s.request.Key, "key", "", "key of an earlier request with unknown outcome")
}

// sendResult is the JSON output of send.
type sendResult struct {
	Outcome    string      `json:"outcome"`
	Status     int         `json:"status,omitempty"`
	Instance   string      `json:"instance,omitempty"`
	Attempts   int         `json:"attempts"`
	Sends      int         `json:"sends"`
	Key        string      `json:"key,omitempty"`
	Replayed   bool        `json:"replayed"`
	DurationMS float64     `json:"duration_ms"`
	Headers    http.Header `json:"headers,omitempty"`
	Body       *string     `json:"body,omitempty"`
	BodyBase64 string      `json:"body_base64,omitempty"`
	Error      string      `json:"error,omitempty"`

	rawBody []byte
}

func (s *sender) run(ctx context.Context) error {
	if err := s.parseHeadersAndBody(); err != nil {
		return err
	}
	client, err := s.connection.client(0)
	if err != nil {
		return err
	}
	defer client.Close()
	start := time.Now()
	response, err := client.Do(ctx, s.request)
	if isError[*caller.RequestError](err) {
		return err
	}
	result := newSendResult(response, err)
	result.DurationMS = float64(time.Since(start).Microseconds()) / 1000
	if printErr := s.print(result); printErr != nil {
		return printErr
	}
	if err == nil && response.Status >= http.StatusBadRequest {
		return &ResultError{fmt.Sprintf("answered with status %d", response.Status)}
	}
	return err
}

// parseHeadersAndBody fills in the headers and the body of the request from
// their flags.
func (s *sender) parseHeadersAndBody() error {
	s.request.Header = http.Header{}
	for _, text := range s.headers {
		name, value, found := strings.Cut(text, ":")
		if !found {
			return &FlagError{"--header", fmt.Sprintf("%q is not of the form 'Name: value'", text)}
		}
		s.request.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	body, err := s.app.readBody(s.body)
	s.request.Body = body
	return err
}

func (a *app) readBody(text string) ([]byte, error) {
	path, isPath := strings.CutPrefix(text, "@")
	switch {
	case !isPath:
		return []byte(text), nil
	case path == "-":
		body, err := io.ReadAll(a.streams.In)
		if err != nil {
			return nil, &UsageError{fmt.Errorf("--body: reading standard input: %w", err)}
		}
		return body, nil
	default:
		body, err := os.ReadFile(path)
		if err != nil {
			return nil, &UsageError{fmt.Errorf("--body: %w", err)}
		}
		return body, nil
	}
}

func newSendResult(response *caller.Response, err error) *sendResult {
	result := &sendResult{Outcome: caller.OutcomeOf(err)}
	if err != nil {
		details, _ := caller.CallDetailsOf(err)
		result.Key, result.Sends, result.Error = details.Key, details.Sends, err.Error()
		return result
	}
	result.Status, result.Instance, result.Attempts = response.Status, response.Instance, response.Attempts
	result.Sends, result.Key, result.Replayed = response.Sends, response.Key, response.Replayed
	result.Headers, result.rawBody = response.Header, response.Body
	if utf8.Valid(response.Body) {
		text := string(response.Body)
		result.Body = &text
	} else {
		result.BodyBase64 = base64.StdEncoding.EncodeToString(response.Body)
	}
	return result
}

func (s *sender) print(r *sendResult) error {
	out := s.app.streams.Out
	if s.app.output == outputJSON {
		return printJSON(out, r)
	}
	rows := [][]string{{"outcome", r.Outcome}}
	if r.Status != 0 {
		rows = append(rows, []string{"status", strconv.Itoa(r.Status)}, []string{"instance", r.Instance},
			[]string{"attempts", strconv.Itoa(r.Attempts)}, []string{"replayed", strconv.FormatBool(r.Replayed)})
	}
	rows = append(rows, []string{"sends", strconv.Itoa(r.Sends)})
	if r.Key != "" {
		rows = append(rows, []string{"key", r.Key})
	}
	rows = append(rows, []string{"time", fmt.Sprintf("%.3f ms", r.DurationMS)})
	if err := printTable(out, rows); err != nil {
		return err
	}
	if len(r.rawBody) > 0 {
		if _, err := fmt.Fprintf(out, "\n%s\n", r.rawBody); err != nil {
			return fmt.Errorf("writing the result: %w", err)
		}
	}
	return nil
}
