package node_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/registry"
)

// entryPackages are the packages of an entry instance that write log events or
// metrics.
var entryPackages = []string{"node", "gateway", "targetconn", "ingress", "prober", "feed", "relay", "registry", "fleet", "platform", "crashshare"}

// entrySource returns the source code of the entry packages, without tests.
func entrySource() string {
	var source strings.Builder
	for _, name := range entryPackages {
		files, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		Expect(err).NotTo(HaveOccurred())
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			source.Write(text)
		}
	}
	return source.String()
}

// section returns the section of docs/OPERATIONS.md with the given title.
func section(title string) string {
	text, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	Expect(err).NotTo(HaveOccurred())
	_, after, found := strings.Cut(string(text), "### "+title+"\n")
	Expect(found).To(BeTrue(), "docs/OPERATIONS.md has no section %q", title)
	body, _, _ := strings.Cut(after, "\n#")
	return body
}

// matches returns the distinct texts that the first group of the pattern
// matches, in alphabetical order.
func matches(pattern, text string) []string {
	var result []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		result = append(result, match[1])
	}
	slices.Sort(result)
	return slices.Compact(result)
}

var _ = Describe("The operators' page", func() {
	// Guards against log events that an operator cannot look up, and against
	// documented events that are never logged.
	It("lists exactly the log events of the entry packages", func() {
		code := entrySource()
		events := append(matches(`Str\("event", "([a-z_]+[a-z])"`, code), matches(`"(request_[a-z]+)"`, code)...)
		for change := registry.ChangeAdded; change <= registry.ChangeMissing; change++ {
			events = append(events, "target_"+change.String())
		}
		slices.Sort(events)
		var listed []string
		for _, line := range strings.Split(section("Log events"), "\n") {
			if cells := strings.Split(line, "|"); len(cells) > 2 {
				listed = append(listed, matches("`([a-z_]+)`", cells[1])...)
			}
		}
		Expect(listed).To(ConsistOf(slices.Compact(events)))
	})

	It("lists exactly the metrics of the entry packages", func() {
		code := entrySource()
		telemetry, err := os.ReadFile(filepath.Join("..", "telemetry", "telemetry.go"))
		Expect(err).NotTo(HaveOccurred())
		entry, err := os.ReadFile(filepath.Join("..", "cmd", "fulmarhoistd", "entry.go"))
		Expect(err).NotTo(HaveOccurred())
		metrics := matches(`(fulmarhoist_[a-z_]+[a-z])`, code+string(telemetry)+string(entry))
		Expect(matches("`(fulmarhoist_[a-z_]+)", section("Metrics"))).To(ConsistOf(metrics))
	})
})
