package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

// Guards against a subcommand that prints addresses it does not serve on, or
// goes on when it is asked to end.
var _ = DescribeTable("subcommands print their addresses and end when asked",
	func(args ...string) {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		// A relay resets connections if nobody listens upstream.
		upstream, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(upstream.Close)
		if args[0] == "relay" {
			args = append(args, "--upstream", upstream.Addr().String())
		}
		output, input := io.Pipe()
		cmd := newCommand()
		cmd.SetArgs(args)
		cmd.SetOut(input)
		ended := make(chan error, 1)
		go func() { ended <- cmd.ExecuteContext(ctx) }()

		line, err := bufio.NewReader(output).ReadBytes('\n')
		Expect(err).NotTo(HaveOccurred())
		var addresses ready
		Expect(json.Unmarshal(line, &addresses)).To(Succeed())
		for _, address := range []string{addresses.Address, addresses.Control} {
			conn, err := net.Dial("tcp4", address)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed())
		}
		cancel()
		Eventually(ended).Should(Receive(BeNil()))
		_, err = net.Dial("tcp4", addresses.Address)
		Expect(err).To(HaveOccurred())
	},
	Entry("target", "target", "--slots", "2", "--cold-for", "1s", "--cold-bears", "1"),
	Entry("log", "log", "--retain-records", "10", "--appends-per-second", "300"),
	Entry("list", "list", "--lag-ms", "100"),
	Entry("relay", "relay", "--delay-ms", "1"),
)
