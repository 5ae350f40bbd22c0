package ctl

import (
	"github.com/spf13/pflag"

	"fulmarhoist.example/caller"
)

// connection holds the flags of all commands that talk to instances.
type connection struct {
	instances []string
	zone      string
}

func (c *connection) register(flags *pflag.FlagSet) {
	flags.StringSliceVar(&c.instances, "instance", nil, "address (host:port) of an instance to ask for the directory; may be repeated")
	flags.StringVar(&c.zone, "zone", "", "own availability zone, whose instances are preferred")
}

func (c *connection) client(idleConnections int) (*caller.Client, error) {
	if len(c.instances) == 0 {
		return nil, &FlagError{"--instance", "is required"}
	}
	return caller.New(caller.Options{Instances: c.instances, Zone: c.zone, IdleConnections: idleConnections})
}
