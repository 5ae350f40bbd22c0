package settings_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/settings"
)

const validSettings = `{
  "instance": "entry-1", "zone": "az-1",
  "callers": {"listen": "0.0.0.0:8001", "advertise": "127.0.0.1:8001"},
  "peers": {"listen": "0.0.0.0:9001", "advertise": "127.0.0.1:9001"},
  "log_service_url": "http://127.0.0.1:7000", "instance_list_url": "http://127.0.0.1:7001",
  "shared_key": {"value": "0123456789abcdef"},
  "traces": {"exporter": "off"}, "log_level": "info"
}`

// parseProblems returns the paths of the problems in a file and the error text.
func parseProblems(file string) (paths []string, text string) {
	_, err := settings.Parse([]byte(file))
	var invalid *settings.InvalidError
	Expect(errors.As(err, &invalid)).To(BeTrue())
	for _, p := range invalid.Problems {
		Expect(p.Remedy).NotTo(BeEmpty())
		paths = append(paths, p.Path)
	}
	return paths, err.Error()
}

var _ = Describe("Settings", func() {
	It("are loaded from a complete file, with defaults for retention and policy", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(path, []byte(validSettings), 0o600)).To(Succeed())
		s, err := settings.Load(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.LogRetentionMs).To(Equal(3_600_000))
		Expect(s.Policy).To(Equal("sed"))
		Expect(s.Key()).To(Equal([]byte("0123456789abcdef")))
		_, err = settings.Load(path + ".missing")
		Expect(err).To(MatchError(os.ErrNotExist))
	})

	// Guards against errors that are reported one at a time, so that an operator
	// has to start the process once for each.
	It("report unknown fields, wrong types, missing fields and invalid values at once", func() {
		file := strings.NewReplacer(
			`"zone": "az-1"`, `"Zone": "az-1"`, `"listen": "0.0.0.0:8001"`, `"listen": 8001`,
			`127.0.0.1:9001`, `0.0.0.0:9001`, `http://127.0.0.1:7000`, `ftp://u:hunter2@h`,
			`"value"`, `"file": "k", "value"`, `"off"`, `"file"`, `"info"`, `"loud", "log_level": "info", "seeds": ["x", 1]`,
		).Replace(validSettings)
		paths, text := parseProblems(file)
		Expect(paths).To(Equal([]string{
			"Zone", "callers.listen", "log_level", "seeds[1]", "zone",
			"peers.advertise", "log_service_url", "shared_key", "traces.file", "seeds[0]",
		}))
		Expect(text).To(ContainSubstring("correct its name to zone"))
		Expect(text).NotTo(ContainSubstring("hunter2"))
		Expect(text).NotTo(ContainSubstring("0123456789abcdef"))
	})

	DescribeTable("reject", func(old, replacement string, expected ...string) {
		Expect(strings.Contains(validSettings, old)).To(BeTrue())
		paths, _ := parseProblems(strings.Replace(validSettings, old, replacement, 1))
		Expect(paths).To(Equal(expected))
	},
		Entry("a syntax error", `"log_level"`, `log_level`, ""),
		Entry("text after the top-level value", `"info"`+"\n}", `"info"} {}`, ""),
		Entry("a list at the top level", validSettings, `[]`, ""),
		Entry("deep nesting", validSettings, strings.Repeat("[", 100), ""),
		Entry("null", `"info"`, `null`, "log_level"),
		Entry("an unknown level", `"info"`, `"loud"`, "log_level"),
		Entry("an unknown policy", `"log_level"`, `"policy": "best", "log_level"`, "policy"),
		Entry("the same address for callers and peers", `0.0.0.0:9001`, `0.0.0.0:8001`, "peers.listen"),
		Entry("a key that is too short", `0123456789abcdef`, `short`, "shared_key.value"),
		Entry("no key", `"value": "0123456789abcdef"`, ``, "shared_key"),
		Entry("a fraction for an integer", `"log_level"`, `"log_retention_ms": 60000.5, "log_level"`, "log_retention_ms"),
		Entry("a retention below the minimum", `"log_level"`, `"log_retention_ms": 1, "log_level"`, "log_retention_ms"),
		Entry("a URL with the exporter off", `"off"`, `"off", "url": "http://h"`, "traces.url"),
	)

	It("read the key from a file without trailing line breaks, and check its size", func() {
		path := filepath.Join(GinkgoT().TempDir(), "key")
		Expect(os.WriteFile(path, []byte("0123456789abcdef\r\n"), 0o600)).To(Succeed())
		s := settings.Settings{SharedKey: settings.SharedKey{File: path}}
		Expect(s.Key()).To(Equal([]byte("0123456789abcdef")))
		Expect(os.WriteFile(path, []byte("short\n"), 0o600)).To(Succeed())
		_, err := s.Key()
		Expect(err).To(BeAssignableToTypeOf(&settings.KeySizeError{}))
	})

	// Guards against a shared key that ends up in a log line.
	It("never print the shared key", func() {
		s, err := settings.Parse([]byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		data, err := json.Marshal(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(fmt.Sprintf("%v %+v %#v %s %q", s, *s, *s, data, s.SharedKey.Value)).NotTo(ContainSubstring("0123456789"))
	})
})
