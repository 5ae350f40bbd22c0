package node_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

var _ = Describe("A request that crashes each target that runs it", func() {
	const (
		// crashPath is the path of the request, and crashLimit the number of targets
		// that it may reach: two crashes are needed to recognize it, and one more
		// attempt may have begun meanwhile.
		crashPath     = "/get/deep/crash"
		crashLimit    = 3
		configInForce = `"event":"config_in_force"`
		// noticePeriod is the time in which all instances must know of the crashes.
		noticePeriod = "1s"
	)
	ctx := context.Background()
	var c *cluster
	var logs *gbytes.Buffer
	var backends []*backend
	var instances []*instance

	BeforeEach(func() {
		c, backends, instances = newCluster(), nil, nil
		logs = gbytes.NewBuffer()
		c.logs = io.MultiWriter(GinkgoWriter, logs)
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
	// logged returns how many log lines contain the text.
	logged := func(text string) func() int {
		return func() int { return bytes.Count(logs.Contents(), []byte(text)) }
	}
	// notices returns how often an instance has learned of crashes from others.
	notices := func(i *instance) func() int {
		return logged(fmt.Sprintf(`"instance":%q,"event":"crashing_request"`, i.settings.Instance))
	}
	// expectAllNotice expects that all instances but the first learn of its crashes.
	expectAllNotice := func() {
		GinkgoHelper()
		for _, i := range instances[1:] {
			Eventually(notices(i), noticePeriod).Should(BeNumerically(">", 0))
		}
	}
	send := func(i *instance) {
		GinkgoHelper()
		Expect(c.send(ctx, i, "GET", crashPath, "").status).To(Equal(http.StatusBadGateway))
	}
	expectFewCrashes := func() {
		GinkgoHelper()
		crashes := 0
		for _, b := range backends {
			crashes += b.executionsOfPath(crashPath)
		}
		Expect(crashes).To(BeNumerically("<=", crashLimit))
	}

	// Guards against a request that takes down targets through one instance after the
	// other, because each instance counts only the crashes that it has seen.
	It("reaches few targets, although its caller repeats it at all instances", func() {
		send(instances[0])
		expectAllNotice()
		for _, i := range instances {
			send(i)
		}
		expectFewCrashes()
	})

	// Guards against a count that starts anew when the operator splits, renames or moves
	// the route of the request.
	It("reaches few targets, although the configuration moves it to another route", func() {
		send(instances[0])
		expectAllNotice()
		c.configure("/get/deep/")
		Eventually(logged(configInForce), "3s").Should(Equal(2 * len(instances)))
		for _, i := range instances {
			send(i)
		}
		expectFewCrashes()
	})

	// Guards against further crashes through instances that were restarted, because a
	// process starts with an empty table of crashes.
	It("reaches few targets, although the instances are restarted in turn", func() {
		send(instances[0])
		expectAllNotice()
		for n, i := range instances {
			i.stop()
			Eventually(i.done, "5s").Should(BeClosed())
			before := notices(i)()
			started := c.start(n + 2)
			Eventually(started.ready, "8s").Should(Equal(http.StatusOK))
			Eventually(notices(started), noticePeriod).Should(BeNumerically(">", before))
			send(started)
		}
		expectFewCrashes()
	})
})
