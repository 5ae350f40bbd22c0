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

// ViolationsError reports the seeds of soaks in which rules were violated.
type ViolationsError struct {
	Seeds []uint64
}

func (e *ViolationsError) Error() string {
	return fmt.Sprintf("soaks violated rules with seeds %v", e.Seeds)
}

// newSoakCommand returns the command that runs soaks with consecutive seeds.
func newSoakCommand() *cobra.Command {
	s := soak.Settings{Zones: []string{"az-1", "az-2"}}
	var count int
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Inject random faults into a deployment and check the guarantees to users",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var failedSeeds []uint64
			baseDir := s.Dir
			for range count {
				s.Dir = filepath.Join(baseDir, fmt.Sprintf("seed-%d", s.Seed))
				if err := os.MkdirAll(s.Dir, 0o750); err != nil {
					return fmt.Errorf("create the directory for logs of seed %d: %w", s.Seed, err)
				}
				result, err := soak.Run(cmd.Context(), s)
				if err != nil {
					return fmt.Errorf("soak with seed %d: %w", s.Seed, err)
				}
				printSoakResult(cmd, s.Seed, result)
				if len(result.Violations) > 0 {
					failedSeeds = append(failedSeeds, s.Seed)
				}
				s.Seed++
			}
			if len(failedSeeds) > 0 {
				return &ViolationsError{failedSeeds}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&s.Seed, "seed", 1, "seed of the first run; each further run uses the next one")
	f.IntVar(&count, "count", 1, "number of runs")
	f.DurationVar(&s.FaultDuration, "length", 20*time.Second, "duration of the phase with faults")
	f.StringVar(&s.Bin, "bin", "bin", "directory with the programs")
	f.StringVar(&s.Dir, "dir", os.TempDir(), "directory for settings and logs")
	f.IntVar(&s.Instances, "instances", 3, "number of entry instances")
	f.IntVar(&s.Targets, "targets", 8, "number of targets")
	f.StringSliceVar(&s.FaultKinds, "kinds", nil, "kinds of fault, named as in the result; the seed selects some if none is given")
	f.IntVar(&s.Callers, "callers", 16, "number of callers")
	return cmd
}

// printSoakResult prints the counters and, if there are violations, the faults
// and the violations.
func printSoakResult(cmd *cobra.Command, seed uint64, result *soak.Result) {
	out := cmd.OutOrStdout()
	_, _ = fmt.Fprintf(out, "seed %d: %d violations", seed, len(result.Violations))
	for _, counter := range slices.Sorted(maps.Keys(result.Counts)) {
		_, _ = fmt.Fprintf(out, ", %s: %d", counter, result.Counts[counter])
	}
	_, _ = fmt.Fprintln(out)
	if len(result.Violations) == 0 {
		return
	}
	for _, line := range append(result.Events, result.Violations...) {
		_, _ = fmt.Fprintln(out, "  "+line)
	}
}
