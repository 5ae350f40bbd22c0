// Command standin runs stand-ins for the systems around the product: targets,
// the log service, the instance list, and a TCP relay that injects faults. It
// also runs the demo, the measurements and the soak, which start such
// stand-ins.
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

// newCommand returns the root command with all subcommands.
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

// standin is a running stand-in.
type standin interface {
	Address() string
	ControlAddress() string
	Close()
}

// readyLine is the line of JSON that a stand-in prints once it serves.
type readyLine struct {
	Address string `json:"address"`
	Control string `json:"control"`
}

// serve prints the addresses of a stand-in and runs it until the context of the
// command ends.
func serve(cmd *cobra.Command, s standin) error {
	defer s.Close()
	line, err := json.Marshal(readyLine{Address: s.Address(), Control: s.ControlAddress()})
	if err != nil {
		return fmt.Errorf("encode the ready line: %w", err)
	}
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s\n", line); err != nil {
		return fmt.Errorf("print the ready line: %w", err)
	}
	<-cmd.Context().Done()
	return nil
}

// addAddressFlags adds the flags that all stand-ins have.
func addAddressFlags(cmd *cobra.Command, listen, control *string) {
	cmd.Flags().StringVar(listen, "listen", "127.0.0.1:0", "address to serve on")
	cmd.Flags().StringVar(control, "control", "127.0.0.1:0", "address for control requests")
}
