package service_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
	"fulmarhoist.example/service"
)

var _ = Describe("Catalog", func() {
	// Guards against a returned target for which an old proof of warmth, kept by
	// name and generation, still counts.
	It("gives a returned target generations that its name never had", func() {
		catalog := service.NewCatalog("az-1", service.PolicyShortestExpectedDelay)
		apply := func(version uint64, out bool) {
			catalog.Apply(config.State{Version: version, Config: &config.Configuration{
				MaxInstances: 3,
				Zones:        []config.Zone{{Name: "az-1", Out: out}},
				Services: []config.Service{{
					Name:    "orders",
					Targets: []config.Target{{Name: "orders-1", Address: "127.0.0.1:1", Zone: "az-1", Slots: 2, Connections: 9}},
				}},
			}})
		}
		seen := map[uint32]bool{}
		for version := uint64(1); version < 10; version += 2 {
			apply(version, false)
			made := catalog.Snapshot().Target("orders-1")
			for range version {
				_, generation := made.State()
				Expect(seen).NotTo(HaveKey(generation))
				seen[generation] = true
				Expect(made.Restarted(generation)).To(BeTrue())
			}
			_, last := made.State()
			seen[last] = true
			apply(version+1, true)
			Expect(catalog.Snapshot().Target("orders-1")).To(BeNil())
			Expect(made.Restarted(last)).To(BeTrue(), "a broken link is reported late")
			seen[last+1] = true
		}
	})
})
