//go:build !race

// The race detector slows code unevenly and makes pools drop their contents at
// random, so neither ratios nor allocations hold under it.

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
	// samples per path give 30 above the 99th percentile.
	samples      = 3000
	chainSamples = 500
	allocRuns    = 1000
)

// Bound is one line of bench/bounds.json.
type Bound struct {
	Value  float64 `json:"value"`
	Source string  `json:"source"`
}

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

// Comparison is a path through the instance next to the direct one, measured in
// turn within the same run. Times are in microseconds.
type Comparison struct {
	Path         string  `json:"path"`
	Samples      int     `json:"samples"`
	DirectP50    float64 `json:"direct_p50_us"`
	DirectP99    float64 `json:"direct_p99_us"`
	HopP50       float64 `json:"hop_p50_us"`
	HopP99       float64 `json:"hop_p99_us"`
	AddedP50     float64 `json:"added_p50_us"` // difference of the percentiles
	AddedP99     float64 `json:"added_p99_us"`
	PairedP99    float64 `json:"paired_added_p99_us"` // percentile of the differences of neighbors
	RatioP50     float64 `json:"ratio_p50"`
	DirectAllocs float64 `json:"direct_allocs,omitempty"`
	HopAllocs    float64 `json:"hop_allocs,omitempty"`
	AddedAllocs  float64 `json:"added_allocs,omitempty"`
}

// compare sends requests one at a time, direct and through the instance in
// turn, so that noise of the machine reaches both alike.
func compare(path string, count int, direct, hop func() error) Comparison {
	var directs, hops, differences []time.Duration
	for n := range count + count/10 {
		first, second := direct, hop
		if n%2 == 1 {
			first, second = hop, direct
		}
		a, b := timed(first), timed(second)
		if n%2 == 1 {
			a, b = b, a
		}
		if n < count/10 { // connections and pools are filled first
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

func timed(send func() error) time.Duration {
	start := time.Now()
	err := send()
	took := time.Since(start)
	Expect(err).NotTo(HaveOccurred())
	return took
}

// percentile is in microseconds.
func percentile(values []time.Duration, percent int) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return float64(sorted[min(len(sorted)-1, len(sorted)*percent/100)]) / float64(time.Microsecond)
}

func countAllocs(send func() error) float64 {
	var failure error
	count := testing.AllocsPerRun(allocRuns, func() {
		if err := send(); err != nil {
			failure = err
		}
	})
	Expect(failure).NotTo(HaveOccurred())
	return count
}

func (c *Comparison) allocs(direct, hop func() error) {
	c.DirectAllocs, c.HopAllocs = countAllocs(direct), countAllocs(hop)
	c.AddedAllocs = c.HopAllocs - c.DirectAllocs
}

// Results is the content of bench/results.json.
type Results struct {
	GoalP99US float64      `json:"goal_added_p99_us"`
	Paths     []Comparison `json:"paths"`
}

func (r *Results) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "PATH\tDIRECT P50\tP99\tHOP P50\tP99\tADDED P50\tP99\tPAIRED P99\tP50 RATIO\tALLOCS DIRECT\tHOP\tADDED\t")
	for i := range r.Paths {
		c := &r.Paths[i]
		_, _ = fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%s\t%s\t%s\t\n", c.Path, c.DirectP50, c.DirectP99,
			c.HopP50, c.HopP99, c.AddedP50, c.AddedP99, c.PairedP99, c.RatioP50, counted(c.DirectAllocs), counted(c.HopAllocs), counted(c.AddedAllocs))
	}
	_ = w.Flush()
	_, _ = fmt.Printf("Times in µs, one request at a time. Goal for p99 added by one hop: %.0f µs.\n", r.GoalP99US)
}

// counted shows a count, or a dash where allocations were not counted.
func counted(count float64) string {
	if count == 0 {
		return "-"
	}
	return strconv.FormatFloat(count, 'f', 0, 64)
}

// save writes the results if the environment names a file, as `make bench` does.
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
		h := newHop()
		results.GoalP99US = bounds["goal_added_p99_us"].Value
		direct := func() error { return h.straight(h.plain, "/a") }
		for _, class := range []string{"status", "reorder"} {
			hop := func() error { return h.through("plain", class, "/a") }
			c := compare(class, samples, direct, hop)
			c.allocs(direct, hop)
			results.Paths = append(results.Paths, c)
		}
		last := "/" + strconv.Itoa(chainDepth-1)
		results.Paths = append(results.Paths, compare("chain-10", chainSamples,
			func() error { return h.straight(h.nested, last) },
			func() error { return h.through("nested", "status", last) }))
		results.print()
		results.save()
	})

	// Guards against work added to the path of a request.
	DescribeTable("stays within its ratio to a direct round trip", func(path string) {
		bound, ok := bounds[path+"_ratio_p50"]
		Expect(ok).To(BeTrue())
		Expect(byPath(path).RatioP50).To(BeNumerically("<=", bound.Value), bound.Source)
	}, Entry(nil, "status"), Entry(nil, "reorder"))

	// Guards against allocations added to the path of a request.
	DescribeTable("makes no more allocations than bounded", func(path string) {
		bound, ok := bounds[path+"_added_allocs"]
		Expect(ok).To(BeTrue())
		Expect(byPath(path).AddedAllocs).To(BeNumerically("<=", bound.Value), bound.Source)
	}, Entry(nil, "status"), Entry(nil, "reorder"))
})
