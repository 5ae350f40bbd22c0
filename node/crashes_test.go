package node_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A request that crashes each target that runs it", func() {
	const (
		// crashPath is the path of the request, and crashLimit the number of targets
		// that it may reach: two crashes are needed to recognize it, and one more
		// attempt may have begun meanwhile.
		crashPath  = "/get/crash"
		crashLimit = 3
		// noticePeriod is the time in which all instances must know of the crashes.
		noticePeriod = time.Second
	)
	ctx := context.Background()
	var c *cluster
	var backends []*backend
	var instances []*instance

	BeforeEach(func() {
		c, backends, instances = newCluster(), nil, nil
		c.configure()
		for i := range 12 {
			b := newBackend(fmt.Sprintf("i-%d", i))
			b.setOnRequest(func(r *http.Request) bool { return r.URL.Path != crashPath })
			c.register(b, "ready", 1)
			backends = append(backends, b)
		}
		for number := 2; number <= 5; number++ {
			instances = append(instances, c.start(number))
		}
		for _, i := range instances {
			Eventually(func() []string { return i.addresses("az-1") }, "8s").Should(HaveLen(len(instances)))
			Eventually(i.ready, "8s").Should(Equal(http.StatusOK))
		}
	})
	crashes := func() int {
		total := 0
		for _, b := range backends {
			total += b.executionsOfPath(crashPath)
		}
		return total
	}

	// Guards against a request that takes down targets through one instance after the
	// other, because each instance counts only the crashes that it has seen.
	It("reaches few targets, although its caller repeats it at all instances", func() {
		for range 2 {
			for _, i := range instances {
				Expect(c.send(ctx, i, "GET", crashPath, "").status).To(Equal(http.StatusBadGateway))
				time.Sleep(noticePeriod)
			}
		}
		Expect(crashes()).To(BeNumerically("<=", crashLimit))
	})

	// Guards against further crashes through instances that were restarted, because a
	// process starts with an empty table of crashes.
	It("reaches few targets, although the instances are restarted in turn", func() {
		for n, i := range instances {
			Expect(c.send(ctx, i, "GET", crashPath, "").status).To(Equal(http.StatusBadGateway))
			i.stop()
			Eventually(i.done, "5s").Should(BeClosed())
			instances[n] = c.start(n + 2)
			Eventually(instances[n].ready, "8s").Should(Equal(http.StatusOK))
			time.Sleep(noticePeriod)
			Expect(c.send(ctx, instances[n], "GET", crashPath, "").status).To(Equal(http.StatusBadGateway))
		}
		Expect(crashes()).To(BeNumerically("<=", crashLimit))
	})
})
