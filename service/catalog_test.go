package service_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
	"fulmarhoist.example/service"
)

var _ = Describe("Catalog", func() {
	// Guards against applying proof that a target is warm, which peers keep by name
	// and generation, to a target that returns to service cold.
	It("never reuses generations for a target that returns to service", func() {
		catalog := service.NewCatalog("az-1", service.PolicyShortestExpectedDelay)
		apply := func(version uint64, zoneOut bool) {
			catalog.Apply(config.State{Version: version, Config: &config.Configuration{
				MaxInstances: 3,
				Zones:        []config.Zone{{Name: "az-1", OutOfService: zoneOut}},
				Services: []config.Service{{
					Name:    "orders",
					Targets: []config.Target{{Name: "orders-1", Address: "127.0.0.1:1", Zone: "az-1", Slots: 2, Connections: 9}},
				}},
			}})
		}
		seen := map[uint32]bool{}
		for version := uint64(1); version < 10; version += 2 {
			apply(version, false)
			t := catalog.Snapshot().Target("orders-1")
			for range version {
				_, generation := t.State()
				Expect(seen).NotTo(HaveKey(generation))
				seen[generation] = true
				Expect(t.Restarted(generation)).To(BeTrue())
			}
			_, last := t.State()
			seen[last] = true
			apply(version+1, true)
			Expect(catalog.Snapshot().Target("orders-1")).To(BeNil())
			Expect(t.Restarted(last)).To(BeTrue(), "late report of a broken link")
			seen[last+1] = true
		}
	})
})
