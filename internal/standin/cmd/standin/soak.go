package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"fulmarhoist.example/internal/standin/soak"
)

// BrokenError results soaks that broke a promise.
type BrokenError struct {
	Seeds []uint64
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("promises were broken with seeds %v", e.Seeds)
}

func newSoakCommand() *cobra.Command {
	s := soak.Settings{Zones: []string{"az-1", "az-2"}}
	var count int
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Inject random faults into entry instances and check the promises to users",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var broken []uint64
			root := s.Dir
			for range count {
				s.Dir = filepath.Join(root, fmt.Sprintf("seed-%d", s.Seed))
				if err := os.MkdirAll(s.Dir, 0o750); err != nil {
					return fmt.Errorf("make the folder for logs: %w", err)
				}
				result, err := soak.Run(cmd.Context(), s)
				if err != nil {
					return fmt.Errorf("soak with seed %d: %w", s.Seed, err)
				}
				printSoak(cmd, s.Seed, result)
				if len(result.Violations) > 0 {
					broken = append(broken, s.Seed)
				}
				s.Seed++
			}
			if len(broken) > 0 {
				return &BrokenError{broken}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&s.Seed, "seed", 1, "seed of the first run; later runs take the next ones")
	f.IntVar(&count, "count", 1, "number of runs")
	f.DurationVar(&s.Length, "length", 20*time.Second, "time with faults")
	f.StringVar(&s.Bin, "bin", "bin", "folder with the programs")
	f.StringVar(&s.Dir, "dir", os.TempDir(), "folder for settings and logs")
	f.IntVar(&s.Instances, "instances", 3, "entry instances")
	f.IntVar(&s.Targets, "targets", 8, "targets")
	f.StringSliceVar(&s.Kinds, "kinds", nil, "kinds of fault, by the names in the result; a few are drawn by the seed if none is given")
	f.IntVar(&s.Callers, "callers", 16, "callers")
	return cmd
}

func printSoak(cmd *cobra.Command, seed uint64, result *soak.Result) {
	out := cmd.OutOrStdout()
	_, _ = fmt.Fprintf(out, "seed %d: %d violations", seed, len(result.Violations))
	for _, kind := range slices.Sorted(maps.Keys(result.Counts)) {
		_, _ = fmt.Fprintf(out, ", %s: %d", kind, result.Counts[kind])
	}
	_, _ = fmt.Fprintln(out)
	if len(result.Violations) == 0 {
		return
	}
	for _, line := range append(result.Events, result.Violations...) {
		_, _ = fmt.Fprintln(out, "  "+line)
	}
}
