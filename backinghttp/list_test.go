package backinghttp_test

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/backinghttp"
	"fulmarhoist.example/internal/standin/control"
	"fulmarhoist.example/internal/standin/instancelist"
)

var _ = Describe("ListClient", func() {
	newClient := func(address string) *backinghttp.ListClient {
		c, err := backinghttp.NewListClient("http://"+address, backinghttp.Settings{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}

	// Guards against fields of members that are lost in decoding, and against an
	// outage that is mistaken for an empty list.
	It("lists members and reports an outage", func(ctx SpecContext) {
		service, err := instancelist.Start(instancelist.Settings{Listen: loopback, Control: loopback})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		client := newClient(service.Address())
		listing, err := client.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(listing).To(Equal(backing.Listing{Members: []backing.Member{}}))

		c := control.NewList(service.ControlAddress())
		_, err = c.Put(ctx, instancelist.Member{ID: "t-1", Kind: "target", Zone: "az-1", Address: "127.0.0.1:1"})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Leave(ctx, "t-1")
		Expect(err).NotTo(HaveOccurred())
		listing, err = client.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Version).To(Equal(uint64(2)))
		Expect(listing.Members).To(Equal([]backing.Member{
			{ID: "t-1", Kind: backing.KindTarget, Zone: "az-1", Address: "127.0.0.1:1", Leaving: true},
		}))

		for _, outage := range []instancelist.Outage{instancelist.OutageUnavailable, instancelist.OutageRefuse} {
			_, err = c.SetFaults(ctx, instancelist.Faults{Outage: outage})
			Expect(err).NotTo(HaveOccurred())
			_, err = client.List(ctx)
			Expect(asUnavailable(err).Service).To(Equal("instance list"))
		}
	})

	// Guards against a malformed response that is taken for an empty list, after
	// which an instance would drop all its peers.
	DescribeTable("rejects a malformed listing",
		func(ctx SpecContext, status int, body string) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			}))
			DeferCleanup(server.Close)
			_, err := newClient(server.Listener.Addr().String()).List(ctx)
			Expect(asUnavailable(err).Err).To(HaveOccurred())
		},
		Entry("not JSON", 200, ""),
		Entry("no members", 200, `{"version":1}`),
		Entry("no version", 200, `{"members":[]}`),
		Entry("member without an id", 200, `{"version":1,"members":[{"kind":"entry","address":"a:1"}]}`),
		Entry("unexpected status", 500, `{"version":1,"members":[]}`),
	)

	// Guards against a list that cannot be decoded after a new kind is added.
	It("ignores members of an unknown kind", func(ctx SpecContext) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"version":1,"members":[{"id":"x","kind":"cache","address":"a:1"}]}`))
		}))
		DeferCleanup(server.Close)
		listing, err := newClient(server.Listener.Addr().String()).List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Members).To(BeEmpty())
	})
})
