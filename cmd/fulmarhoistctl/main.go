// Command fulmarhoistctl is the tool for operators and callers.
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
	// After the first signal, a second one ends the process at once.
	context.AfterFunc(ctx, stop)
	streams := ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(int(ctl.Run(ctx, os.Args[1:], streams)))
}
