// Command fulmarhoistctl is the command-line tool for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fulmarhoist.example/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// Restore the default signal handling after the first signal, so that a second
	// one terminates the process immediately.
	context.AfterFunc(ctx, stop)
	streams := ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(int(ctl.Run(ctx, os.Args[1:], streams)))
}
