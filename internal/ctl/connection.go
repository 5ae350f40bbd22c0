package ctl

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"

	"github.com/spf13/pflag"

	"fulmarhoist.example/caller"
)

// connectionFlags holds the flags shared by all commands that talk to instances.
type connectionFlags struct {
	instances []string
	zone      string
}

func (c *connectionFlags) register(flags *pflag.FlagSet) {
	flags.StringSliceVar(&c.instances, "instance", nil, "address (host:port) of an instance to ask for the directory; may be repeated")
	flags.StringVar(&c.zone, "zone", "", "own availability zone, whose instances are preferred")
}

func (c *connectionFlags) client(idleConnections int) (*caller.Client, error) {
	if len(c.instances) == 0 {
		return nil, &FlagError{"--instance", "is required"}
	}
	return caller.New(caller.Options{Instances: c.instances, Zone: c.zone, IdleConnections: idleConnections})
}

// maxDirectories is the maximum number of directories that are read to find all
// instances. Each directory lists all instances, unless the instance that serves
// it has just started or is cut off from the others.
const maxDirectories = 16

// discovery is the set of instances listed in the directories of several
// instances, which are read without a cache.
type discovery struct {
	instances []*caller.Instance // each id once
	// unresponsive holds the errors of addresses that returned no directory.
	// Addresses that refuse connections are left out: no instance runs there.
	unresponsive map[string]error
	// lastErr is the last error seen at any address.
	lastErr error
}

// discover reads the directories of the instances given by flag and of those
// that they list.
func (c *connectionFlags) discover(ctx context.Context) *discovery {
	d := &discovery{unresponsive: map[string]error{}}
	seen, queried := map[string]struct{}{}, map[string]struct{}{}
	for next := slices.Clone(c.instances); len(next) > 0; {
		next = next[:min(len(next), maxDirectories-len(queried))]
		for _, address := range next {
			queried[address] = struct{}{}
		}
		instances := d.query(ctx, c.zone, next)
		next = nil
		for _, instance := range instances {
			if _, known := seen[instance.ID]; known {
				continue
			}
			seen[instance.ID] = struct{}{}
			d.instances = append(d.instances, instance)
			if _, known := queried[instance.Address]; !known {
				next = append(next, instance.Address)
			}
		}
	}
	return d
}

// query reads the directories of several instances concurrently.
func (d *discovery) query(ctx context.Context, zone string, addresses []string) []*caller.Instance {
	lists, errs := make([][]*caller.Instance, len(addresses)), make([]error, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { lists[i], errs[i] = fetchDirectory(ctx, zone, address) })
	}
	wg.Wait()
	for i, err := range errs {
		if err == nil {
			continue
		}
		d.lastErr = err
		if !errors.Is(err, syscall.ECONNREFUSED) {
			d.unresponsive[addresses[i]] = err
		}
	}
	return slices.Concat(lists...)
}

func fetchDirectory(ctx context.Context, zone, address string) ([]*caller.Instance, error) {
	client, err := caller.New(caller.Options{Instances: []string{address}, Zone: zone})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	directory, err := client.Directory(ctx)
	if err != nil {
		return nil, err
	}
	return directory.Instances, nil
}
