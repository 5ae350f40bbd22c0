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

// entryPath are the packages that log or count on the entry path.
var entryPath = []string{"node", "gateway", "targetconn", "ingress", "prober", "feed", "relay", "registry", "fleet", "platform"}

// sources returns the text of the packages of the entry path, without tests.
func sources() string {
	var all strings.Builder
	for _, name := range entryPath {
		files, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		Expect(err).NotTo(HaveOccurred())
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			all.Write(text)
		}
	}
	return all.String()
}

// section returns a part of the operators' page.
func section(title string) string {
	text, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	Expect(err).NotTo(HaveOccurred())
	_, after, found := strings.Cut(string(text), "### "+title+"\n")
	Expect(found).To(BeTrue(), "the page has no section %q", title)
	part, _, _ := strings.Cut(after, "\n#")
	return part
}

func found(pattern, text string) []string {
	var all []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		all = append(all, match[1])
	}
	slices.Sort(all)
	return slices.Compact(all)
}

var _ = Describe("The operators' page", func() {
	// Guards against a log line that an engineer cannot look up, and against one
	// that the page promises and nobody writes.
	It("lists every log event of the entry path and no other", func() {
		code := sources()
		events := append(found(`Str\("event", "([a-z_]+[a-z])"`, code), found(`"(request_[a-z]+)"`, code)...)
		for change := registry.ChangeAdded; change <= registry.ChangeMissing; change++ {
			events = append(events, "target_"+change.String())
		}
		slices.Sort(events)
		var listed []string
		for _, line := range strings.Split(section("Log events"), "\n") {
			if cells := strings.Split(line, "|"); len(cells) > 2 {
				listed = append(listed, found("`([a-z_]+)`", cells[1])...)
			}
		}
		Expect(listed).To(ConsistOf(slices.Compact(events)))
	})

	It("lists every metric of the entry path and no other", func() {
		code := sources()
		telemetry, err := os.ReadFile(filepath.Join("..", "telemetry", "telemetry.go"))
		Expect(err).NotTo(HaveOccurred())
		entry, err := os.ReadFile(filepath.Join("..", "cmd", "fulmarhoistd", "entry.go"))
		Expect(err).NotTo(HaveOccurred())
		metrics := found(`(fulmarhoist_[a-z_]+[a-z])`, code+string(telemetry)+string(entry))
		Expect(found("`(fulmarhoist_[a-z_]+)", section("Metrics"))).To(ConsistOf(metrics))
	})
})
