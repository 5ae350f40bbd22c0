package instancelist_test

import (
	"encoding/json"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/control"
	"fulmarhoist.example/internal/standin/instancelist"
)

var _ = Describe("Service", func() {
	var service *instancelist.Service
	var ctl *control.InstanceListClient

	BeforeEach(func() {
		var err error
		service, err = instancelist.Start(instancelist.Settings{Listen: "127.0.0.1:0", Control: "127.0.0.1:0"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		ctl = control.NewList(service.ControlAddress())
	})

	read := func() instancelist.Listing {
		GinkgoHelper()
		response, err := http.Get("http://" + service.Address() + "/instances")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		var listing instancelist.Listing
		Expect(json.NewDecoder(response.Body).Decode(&listing)).To(Succeed())
		return listing
	}
	setLag := func(ctx SpecContext, ms int64) {
		GinkgoHelper()
		_, err := ctl.SetFaults(ctx, instancelist.Faults{LagMS: ms})
		Expect(err).NotTo(HaveOccurred())
	}
	member := instancelist.Member{ID: "entry-1", Kind: "entry", Zone: "az-1", Address: "127.0.0.1:9001"}

	// Guards against changes that are visible immediately, and against readers
	// that see an earlier version again when the lag grows.
	It("shows changes after the lag and never an earlier version", func(ctx SpecContext) {
		setLag(ctx, 3_600_000)
		_, err := ctl.Put(ctx, member)
		Expect(err).NotTo(HaveOccurred())
		Expect(read().Version).To(BeZero())
		setLag(ctx, 0)
		Expect(read()).To(Equal(instancelist.Listing{Version: 1, Members: []instancelist.Member{member}}))
		setLag(ctx, 3_600_000)
		_, err = ctl.Leave(ctx, "entry-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(read().Version).To(Equal(uint64(1)))
		setLag(ctx, 5)
		Eventually(read).Should(HaveField("Members", HaveExactElements(HaveField("Leaving", true))))
		state, err := ctl.Remove(ctx, "entry-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Newest).To(Equal(instancelist.Listing{Version: 3, Members: []instancelist.Member{}}))
		Eventually(read).Should(HaveField("Members", BeEmpty()))
	})

	// Guards against a test that misspells a member and runs without it.
	It("refuses invalid members and unknown ids", func(ctx SpecContext) {
		_, err := ctl.Put(ctx, instancelist.Member{ID: "x", Kind: "server", Address: "127.0.0.1:1"})
		Expect(err).To(HaveOccurred())
		_, err = ctl.Leave(ctx, "x")
		Expect(err).To(MatchError(ContainSubstring("not on the list")))
	})
})
