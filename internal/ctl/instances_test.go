package ctl_test

import (
	"bytes"
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/ctl"
)

// rounds cancels a command after a number of tables.
type rounds struct {
	bytes.Buffer
	left   int
	cancel context.CancelFunc
}

func (r *rounds) Write(text []byte) (int, error) {
	if bytes.Contains(text, []byte("INSTANCE")) {
		if r.left--; r.left == 0 {
			r.cancel()
		}
	}
	return r.Buffer.Write(text)
}

var _ = Describe("instances", func() {
	// Guards against an instance with an old version that looks like the others.
	It("shows version and health of each instance", func() {
		w := newWorld(3)
		w.begin()
		w.instances[1].deaf.Store(true)
		w.instances[2].down.Store(true)
		code, out, _ := tool("instances", "--instance", w.directory)
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(out).To(MatchRegexp(`entry-1 +az-1 +\S+ +serving +1 +false +false\n` +
			`entry-2 +az-1 +\S+ +serving +0 +false +false\nentry-3 +az-1 +\S+ +not-serving +1 +false +true\n`))
		_, out, _ = tool("instances", "--instance", w.directory, "--output", "json")
		Expect(out).To(ContainSubstring(`"config_version": 0`))

		code, out, _ = tool("instances", "--instance", fakeInstance())
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`serving +unknown +unknown`))
		code, _, _ = tool("instances", "--instance", closedAddress())
		Expect(code).To(Equal(ctl.ExitUnreachable))
	})
})

var _ = Describe("status --watch", func() {
	// Guards against a watch that ends early or forgets what it saw last.
	It("repeats until interrupted and keeps the exit code of the last round", func() {
		w := newWorld(2)
		w.begin()
		watch := func() (ctl.ExitCode, string) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			out := &rounds{left: 3, cancel: cancel}
			code := ctl.Run(ctx, []string{"status", "--watch", "--interval", "1ms", "--instance", w.directory},
				ctl.Streams{Out: out, Err: GinkgoWriter})
			return code, out.String()
		}
		code, text := watch()
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(text).To(MatchRegexp(`(?s)\d\d:\d\d:\d\d\nINSTANCE.*INSTANCE.*INSTANCE`))
		w.instances[0].down.Store(true)
		code, _ = watch()
		Expect(code).To(Equal(ctl.ExitBadResult))

		code, _, _ = tool("status", "--watch", "--interval", "0s", "--instance", w.directory)
		Expect(code).To(Equal(ctl.ExitUsage))
		code, _, _ = tool("status", "--watch")
		Expect(code).To(Equal(ctl.ExitUsage))
	})
})
