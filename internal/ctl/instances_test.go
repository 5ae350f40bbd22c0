package ctl_test

import (
	"bytes"
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/ctl"
)

// cancelAfterTables is an output that cancels the command once it has received
// the given number of tables.
type cancelAfterTables struct {
	bytes.Buffer
	remaining int
	cancel    context.CancelFunc
}

func (c *cancelAfterTables) Write(text []byte) (int, error) {
	if bytes.Contains(text, []byte("INSTANCE")) {
		if c.remaining--; c.remaining == 0 {
			c.cancel()
		}
	}
	return c.Buffer.Write(text)
}

var _ = Describe("instances", func() {
	// Guards against overlooking an instance that has an old version.
	It("shows the version and health of each instance", func() {
		env := newTestEnv(3)
		env.publishFirst()
		env.instances[1].stale.Store(true)
		env.instances[2].notServing.Store(true)
		code, out, _ := runCtl("instances", "--instance", env.instanceAddress)
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(out).To(MatchRegexp(`entry-1 +az-1 +\S+ +serving +1 +false +false\n` +
			`entry-2 +az-1 +\S+ +serving +0 +false +false\nentry-3 +az-1 +\S+ +not-serving +1 +false +true\n`))
		_, out, _ = runCtl("instances", "--instance", env.instanceAddress, "--output", "json")
		Expect(out).To(ContainSubstring(`"config_version": 0`))

		code, out, _ = runCtl("instances", "--instance", fakeInstance())
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`serving +unknown +unknown`))
		code, _, _ = runCtl("instances", "--instance", closedAddress())
		Expect(code).To(Equal(ctl.ExitUnreachable))
	})
})

var _ = Describe("status --watch", func() {
	// Guards against a watch that ends early or loses the result of the last
	// round.
	It("repeats until interrupted and keeps the exit code of the last round", func() {
		env := newTestEnv(2)
		env.publishFirst()
		watch := func() (ctl.ExitCode, string) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			out := &cancelAfterTables{remaining: 3, cancel: cancel}
			code := ctl.Run(ctx, []string{"status", "--watch", "--interval", "1ms", "--instance", env.instanceAddress},
				ctl.Streams{Out: out, Err: GinkgoWriter})
			return code, out.String()
		}
		code, text := watch()
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(text).To(MatchRegexp(`(?s)\d\d:\d\d:\d\d\nINSTANCE.*INSTANCE.*INSTANCE`))
		env.instances[0].notServing.Store(true)
		code, _ = watch()
		Expect(code).To(Equal(ctl.ExitBadResult))

		code, _, _ = runCtl("status", "--watch", "--interval", "0s", "--instance", env.instanceAddress)
		Expect(code).To(Equal(ctl.ExitUsage))
		code, _, _ = runCtl("status", "--watch")
		Expect(code).To(Equal(ctl.ExitUsage))
	})
})
