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

// Exit codes, as documented in the help of the root command.
const (
	ExitOK          ExitCode = 0
	ExitBadResult   ExitCode = 1
	ExitUsage       ExitCode = 2
	ExitUnreachable ExitCode = 3
)

// UsageError reports wrong arguments or settings.
type UsageError struct{ Err error }

func (e *UsageError) Error() string { return e.Err.Error() }

func (e *UsageError) Unwrap() error { return e.Err }

// FlagError reports a flag or a field of a file with a value that cannot be
// used.
type FlagError struct {
	Name    string
	Problem string
}

func (e *FlagError) Error() string { return fmt.Sprintf("%s: %s", e.Name, e.Problem) }

// ResultError reports that the command ran and its result is bad.
type ResultError struct{ Summary string }

func (e *ResultError) Error() string { return e.Summary }

// NoInstanceError reports that no instance could be reached.
type NoInstanceError struct{ Summary string }

func (e *NoInstanceError) Error() string { return e.Summary }

func exitCode(err error) ExitCode {
	switch {
	case err == nil:
		return ExitOK
	case isA[*UsageError](err), isA[*FlagError](err), isA[*caller.OptionError](err), isA[*caller.RequestError](err),
		isA[*config.InvalidError](err):
		return ExitUsage
	case isA[*NoInstanceError](err), isA[*caller.UnreachableError](err), isA[*caller.DirectoryError](err),
		isA[*backing.UnavailableError](err):
		return ExitUnreachable
	default:
		return ExitBadResult
	}
}

func isA[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}
