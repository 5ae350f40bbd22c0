package questionnaire_test

import (
	"encoding/json"
	"errors"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
	"fulmarhoist.example/questionnaire"
	"fulmarhoist.example/settings/strictjson"
)

// loadExample returns the answers of a file in examples/.
func loadExample(name string) (a questionnaire.Answers) {
	data, err := os.ReadFile("../examples/" + name + ".json")
	Expect(err).NotTo(HaveOccurred())
	Expect(strictjson.Decode(data, &a)).To(BeEmpty())
	return a
}

var _ = Describe("Examples", func() {
	// The sizes are those of docs/design.md, section 1.1.
	DescribeTable("give a valid configuration, and the same one each time",
		func(name, title string, zones int, targets map[string]int, slots, connections int) {
			c, err := questionnaire.Generate(loadExample(name))
			Expect(err).NotTo(HaveOccurred())
			Expect(config.Validate(c)).To(BeEmpty())
			Expect(c.Deployment).To(Equal(title))
			Expect(c.Zones).To(HaveLen(zones))
			for _, s := range c.Services {
				Expect(s.Targets).To(HaveLen(targets[s.Name]))
				for _, t := range s.Targets {
					Expect(t.Address).To(HavePrefix("127.0.0.1:"))
					Expect([]int{t.Slots, t.Connections}).To(Equal([]int{slots, connections}))
				}
			}
			first, err := json.Marshal(c)
			Expect(err).NotTo(HaveOccurred())
			for range 10 {
				again, err := questionnaire.Generate(loadExample(name))
				Expect(err).NotTo(HaveOccurred())
				Expect(json.Marshal(again)).To(Equal(first))
			}
		},
		Entry(nil, "tsenher-lens-gateway-ulaanbaatar", "Tsenher Lens Gateway, Ulaanbaatar Region", 3,
			map[string]int{"orders": 20, "clinic": 15}, 2, 250),
		Entry(nil, "hutovissza-gel-pack-returns", "Hűtővissza gateway for gel pack returns", 4,
			map[string]int{"returns-desk": 13, "depot-archive": 11}, 4, 200),
	)

	// Guards against retries of requests that move money.
	It("mark only the classes that must not be repeated as non-idempotent", func() {
		var nonIdempotent []string
		for _, name := range []string{"tsenher-lens-gateway-ulaanbaatar", "hutovissza-gel-pack-returns"} {
			c, err := questionnaire.Generate(loadExample(name))
			Expect(err).NotTo(HaveOccurred())
			for _, s := range c.Services {
				for _, class := range s.Classes {
					if !class.Idempotent {
						nonIdempotent = append(nonIdempotent, class.Name)
					}
				}
			}
		}
		Expect(nonIdempotent).To(Equal([]string{"reorder", "deposit-refund", "collection-booking"}))
	})
})

var _ = Describe("Answers", func() {
	// Guards against problems reported at paths of the generated configuration,
	// which the team did not write.
	It("report all problems at once, with paths in the answers", func() {
		a := loadExample("tsenher-lens-gateway-ulaanbaatar")
		a.Title = ""
		a.MaxInstances = 0
		a.Zones[2].Name = "ub-1"
		a.Services[0].Groups[0].AddressPattern = "127.0.0.1:9000"
		a.Services[0].Slots = 0
		a.Services[0].Classes[0].Repeat = "sometimes"
		a.Services[0].Classes[1].Priority = "deferrable"
		a.Services[1].Groups = nil
		a.Services[1].ColdStart.DurationMs = -1
		_, err := questionnaire.Generate(a)
		var invalid *config.InvalidError
		Expect(errors.As(err, &invalid)).To(BeTrue())
		var paths []string
		for _, p := range invalid.Problems {
			paths = append(paths, p.Path)
		}
		Expect(paths).To(ConsistOf(
			"title", "max_instances", "zones[2].name", "services[0].groups[0].address_pattern", "services[0].slots",
			"services[0].classes[0].repeat", "services[0].classes[1].may_wait", "services[0].groups[2].zone",
			"services[1].groups", "services[1].cold_start.for_ms",
		))
		_, explainErr := questionnaire.Explain(a)
		Expect(explainErr).To(MatchError(err.Error()))
	})

	It("reject a huge server count without generating the servers", func() {
		a := loadExample("tsenher-lens-gateway-ulaanbaatar")
		a.Services[0].Groups[0].Count = 1 << 60
		_, err := questionnaire.Generate(a)
		Expect(err).To(MatchError(ContainSubstring("services[0].groups[0].count")))
	})

	It("accept listed servers, and use defaults for answers left out", func() {
		a := loadExample("tsenher-lens-gateway-ulaanbaatar")
		a.DirectoryLifetimeMs = nil
		s := &a.Services[0]
		noRetries := 0
		s.Groups, s.ColdStart.Answers = nil, nil
		a.Services[1].RetryPercent = &noRetries
		s.Servers = []questionnaire.Server{{Name: "x", Zone: "ub-2", Address: "127.0.0.1:9"}}
		c, err := questionnaire.Generate(a)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Services[0].Targets).To(Equal([]config.Target{{Name: "x", Address: "127.0.0.1:9", Zone: "ub-2", Slots: 2, Connections: 250}}))
		Expect([]int{c.DirectoryLifetimeMs, c.Services[0].ColdStart.Answers, c.Services[0].QueueLimit, c.Services[0].RetryPercent}).
			To(Equal([]int{30_000, 5, 8, 10}))
		Expect(c.Services[1].RetryPercent).To(BeZero())
	})
})

var _ = Describe("Explain", func() {
	It("covers every setting of the configuration, with the answers behind it", func() {
		a := loadExample("hutovissza-gel-pack-returns")
		settings, err := questionnaire.Explain(a)
		Expect(err).NotTo(HaveOccurred())
		byPath := map[string]questionnaire.Setting{}
		for _, s := range settings {
			Expect(byPath).NotTo(HaveKey(s.Path))
			byPath[s.Path] = s
		}
		Expect(byPath["services[0].targets[4].address"]).To(Equal(questionnaire.Setting{
			Path: "services[0].targets[4].address", Value: "127.0.0.1:23101",
			Answers: []string{"services[0].groups[1].address_pattern"}, Rule: "{n} stands for the number of the server",
		}))
		Expect(byPath["services[1].classes[0].priority"].Value).To(Equal("upload"))
		c, err := questionnaire.Generate(a)
		Expect(err).NotTo(HaveOccurred())
		for _, path := range leafPaths("", jsonTree(c)) {
			if !strings.HasSuffix(path, ".out") { // set by operators, not by answers
				Expect(byPath).To(HaveKey(path))
			}
		}
	})
})
