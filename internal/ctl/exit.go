package ctl

import (
	"errors"
	"fmt"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/caller"
	"fulmarhoist.example/config"
)

// ExitCode is the exit code of the process.
type ExitCode int

// Exit codes as documented in the help text of the root command.
const (
	ExitOK          ExitCode = 0
	ExitBadResult   ExitCode = 1
	ExitUsage       ExitCode = 2
	ExitUnreachable ExitCode = 3
)

// UsageError reports invalid arguments or an invalid input file.
type UsageError struct{ Err error }

func (e *UsageError) Error() string { return e.Err.Error() }

func (e *UsageError) Unwrap() error { return e.Err }

// FlagError reports an invalid value of a flag, an argument or a field of an
// input file.
type FlagError struct {
	Name    string
	Problem string
}

func (e *FlagError) Error() string { return fmt.Sprintf("%s: %s", e.Name, e.Problem) }

// ResultError reports that the command ran to its end with a bad result.
type ResultError struct{ Summary string }

func (e *ResultError) Error() string { return e.Summary }

// NoInstanceError reports that no instance could be reached.
type NoInstanceError struct{ Summary string }

func (e *NoInstanceError) Error() string { return e.Summary }

// exitCode maps the error of a command to the exit code of the process.
func exitCode(err error) ExitCode {
	switch {
	case err == nil:
		return ExitOK
	case isError[*UsageError](err), isError[*FlagError](err), isError[*caller.OptionError](err), isError[*caller.RequestError](err),
		isError[*config.InvalidError](err):
		return ExitUsage
	case isError[*NoInstanceError](err), isError[*caller.UnreachableError](err), isError[*caller.DirectoryError](err),
		isError[*backing.UnavailableError](err):
		return ExitUnreachable
	default:
		return ExitBadResult
	}
}

// isError reports whether err wraps an error of type E.
func isError[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}
