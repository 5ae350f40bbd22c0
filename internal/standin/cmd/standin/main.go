// Command standin runs stand-ins for the systems around the product: targets,
// the log service, the instance list, and a TCP relay that injects faults.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins for the systems around fulmarhoist",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newTargetCommand(), newLogCommand(), newListCommand(), newRelayCommand(), newDemoCommand(), newMeasureCommand(), newSoakCommand())
	return root
}

// running is a started stand-in.
type running interface {
	Address() string
	ControlAddress() string
	Close()
}

// ready is the line that a stand-in prints once it serves.
type ready struct {
	Address string `json:"address"`
	Control string `json:"control"`
}

// serve prints the addresses of a stand-in and runs it until the process is
// asked to end.
func serve(cmd *cobra.Command, r running) error {
	defer r.Close()
	line, err := json.Marshal(ready{Address: r.Address(), Control: r.ControlAddress()})
	if err != nil {
		return fmt.Errorf("encoding the addresses: %w", err)
	}
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s\n", line); err != nil {
		return fmt.Errorf("printing the addresses: %w", err)
	}
	<-cmd.Context().Done()
	return nil
}

// addressFlags adds the flags that all stand-ins have.
func addressFlags(cmd *cobra.Command, listen, control *string) {
	cmd.Flags().StringVar(listen, "listen", "127.0.0.1:0", "address to serve on")
	cmd.Flags().StringVar(control, "control", "127.0.0.1:0", "address for control requests")
}
