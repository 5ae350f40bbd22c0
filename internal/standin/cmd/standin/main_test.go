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

// Guards against a subcommand that prints addresses on which it does not
// listen, or that keeps running after its context has ended.
var _ = DescribeTable("subcommands print their addresses and end with their context",
	func(args ...string) {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		// A relay resets connections if nothing listens on its upstream address.
		upstream, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(upstream.Close)
		if args[0] == "relay" {
			args = append(args, "--upstream", upstream.Addr().String())
		}
		reader, writer := io.Pipe()
		cmd := newCommand()
		cmd.SetArgs(args)
		cmd.SetOut(writer)
		ended := make(chan error, 1)
		go func() { ended <- cmd.ExecuteContext(ctx) }()

		line, err := bufio.NewReader(reader).ReadBytes('\n')
		Expect(err).NotTo(HaveOccurred())
		var addresses readyLine
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
