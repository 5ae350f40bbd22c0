//go:build !race

// The race detector slows down code unevenly and makes sync.Pool drop items at
// random, so the bounds on ratios and allocations do not hold under it.

package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"text/tabwriter"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// samplesPerPath leaves 30 samples above the 99th percentile.
	samplesPerPath   = 3000
	chainSampleCount = 500
	allocRuns        = 1000
)

// Bound is one entry of bench/bounds.json.
type Bound struct {
	Value  float64 `json:"value"`
	Source string  `json:"source"`
}

// readBounds reads bench/bounds.json.
func readBounds() map[string]Bound {
	data, err := os.ReadFile(filepath.Join("..", "..", "bench", "bounds.json"))
	Expect(err).NotTo(HaveOccurred())
	bounds := map[string]Bound{}
	Expect(json.Unmarshal(data, &bounds)).To(Succeed())
	for name, bound := range bounds {
		Expect(bound.Source).NotTo(BeEmpty(), name)
	}
	return bounds
}

// Comparison compares a path through the instance with the direct one, measured
// alternately in the same run. Times are in microseconds.
type Comparison struct {
	Path         string  `json:"path"`
	Samples      int     `json:"samples"`
	DirectP50    float64 `json:"direct_p50_us"`
	DirectP99    float64 `json:"direct_p99_us"`
	HopP50       float64 `json:"hop_p50_us"`
	HopP99       float64 `json:"hop_p99_us"`
	AddedP50     float64 `json:"added_p50_us"` // difference of the two percentiles
	AddedP99     float64 `json:"added_p99_us"`
	PairedP99    float64 `json:"paired_added_p99_us"` // percentile of the differences between consecutive requests
	RatioP50     float64 `json:"ratio_p50"`
	DirectAllocs float64 `json:"direct_allocs,omitempty"`
	HopAllocs    float64 `json:"hop_allocs,omitempty"`
	AddedAllocs  float64 `json:"added_allocs,omitempty"`
}

// compare sends requests one at a time, alternately direct and through the
// instance, so that noise of the machine affects both equally.
func compare(path string, count int, direct, hop func() error) Comparison {
	var directs, hops, differences []time.Duration
	for n := range count + count/10 {
		first, second := direct, hop
		if n%2 == 1 {
			first, second = hop, direct
		}
		a, b := measure(first), measure(second)
		if n%2 == 1 {
			a, b = b, a
		}
		if n < count/10 { // warm-up: opens connections and fills pools
			continue
		}
		directs, hops, differences = append(directs, a), append(hops, b), append(differences, b-a)
	}
	c := Comparison{
		Path: path, Samples: count,
		DirectP50: percentile(directs, 50), DirectP99: percentile(directs, 99),
		HopP50: percentile(hops, 50), HopP99: percentile(hops, 99),
		PairedP99: percentile(differences, 99),
	}
	c.AddedP50, c.AddedP99, c.RatioP50 = c.HopP50-c.DirectP50, c.HopP99-c.DirectP99, c.HopP50/c.DirectP50
	return c
}

// measure returns the duration of one request.
func measure(send func() error) time.Duration {
	start := time.Now()
	err := send()
	duration := time.Since(start)
	Expect(err).NotTo(HaveOccurred())
	return duration
}

// percentile returns a percentile in microseconds.
func percentile(values []time.Duration, percent int) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return float64(sorted[min(len(sorted)-1, len(sorted)*percent/100)]) / float64(time.Microsecond)
}

// countAllocs returns the allocations of the process per request.
func countAllocs(send func() error) float64 {
	var lastErr error
	count := testing.AllocsPerRun(allocRuns, func() {
		if err := send(); err != nil {
			lastErr = err
		}
	})
	Expect(lastErr).NotTo(HaveOccurred())
	return count
}

// measureAllocs counts the allocations of both paths.
func (c *Comparison) measureAllocs(direct, hop func() error) {
	c.DirectAllocs, c.HopAllocs = countAllocs(direct), countAllocs(hop)
	c.AddedAllocs = c.HopAllocs - c.DirectAllocs
}

// Results is the content of bench/results.json.
type Results struct {
	GoalP99US float64      `json:"goal_added_p99_us"`
	Paths     []Comparison `json:"paths"`
}

// print writes the results as a table.
func (r *Results) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "PATH\tDIRECT P50\tP99\tHOP P50\tP99\tADDED P50\tP99\tPAIRED P99\tP50 RATIO\tALLOCS DIRECT\tHOP\tADDED\t")
	for i := range r.Paths {
		c := &r.Paths[i]
		_, _ = fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%s\t%s\t%s\t\n", c.Path, c.DirectP50, c.DirectP99,
			c.HopP50, c.HopP99, c.AddedP50, c.AddedP99, c.PairedP99, c.RatioP50, formatAllocs(c.DirectAllocs), formatAllocs(c.HopAllocs), formatAllocs(c.AddedAllocs))
	}
	_ = w.Flush()
	_, _ = fmt.Printf("Times in µs, one request at a time. Goal for p99 added by one hop: %.0f µs.\n", r.GoalP99US)
}

// formatAllocs formats a number of allocations, or returns a dash if it is 0,
// as for paths where allocations are not counted.
func formatAllocs(count float64) string {
	if count == 0 {
		return "-"
	}
	return strconv.FormatFloat(count, 'f', 0, 64)
}

// save writes the results to the file in FULMARHOIST_BENCH_RESULTS, which `make
// bench` sets. If it is not set, save does nothing.
func (r *Results) save() {
	path := os.Getenv("FULMARHOIST_BENCH_RESULTS")
	if path == "" {
		return
	}
	data, err := json.MarshalIndent(r, "", "  ")
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(path, append(data, '\n'), 0o600)).To(Succeed())
}

var _ = Describe("A hop", Ordered, func() {
	var (
		bounds  map[string]Bound
		results Results
	)
	byPath := func(path string) *Comparison {
		at := slices.IndexFunc(results.Paths, func(c Comparison) bool { return c.Path == path })
		Expect(at).To(BeNumerically(">=", 0))
		return &results.Paths[at]
	}

	BeforeAll(func() {
		bounds = readBounds()
		bed := newTestbed()
		results.GoalP99US = bounds["goal_added_p99_us"].Value
		direct := func() error { return bed.sendDirect(bed.plainAddress, "/a") }
		for _, class := range []string{"status", "reorder"} {
			hop := func() error { return bed.sendThroughInstance("plain", class, "/a") }
			c := compare(class, samplesPerPath, direct, hop)
			c.measureAllocs(direct, hop)
			results.Paths = append(results.Paths, c)
		}
		last := "/" + strconv.Itoa(chainDepth-1)
		results.Paths = append(results.Paths, compare("chain-10", chainSampleCount,
			func() error { return bed.sendDirect(bed.nestedAddress, last) },
			func() error { return bed.sendThroughInstance("nested", "status", last) }))
		results.print()
		results.save()
	})

	// Guards against CPU time added to the path of a request.
	DescribeTable("stays within the bound on its ratio to a direct round trip", func(path string) {
		bound, ok := bounds[path+"_ratio_p50"]
		Expect(ok).To(BeTrue())
		Expect(byPath(path).RatioP50).To(BeNumerically("<=", bound.Value), bound.Source)
	}, Entry(nil, "status"), Entry(nil, "reorder"))

	// Guards against allocations added to the path of a request.
	DescribeTable("stays within the bound on added allocations", func(path string) {
		bound, ok := bounds[path+"_added_allocs"]
		Expect(ok).To(BeTrue())
		Expect(byPath(path).AddedAllocs).To(BeNumerically("<=", bound.Value), bound.Source)
	}, Entry(nil, "status"), Entry(nil, "reorder"))
})
