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

// maxDirectories bounds the directories that are read to find all instances.
// Each names all of them, unless the instance has just started or lost contact
// to the others.
const maxDirectories = 16

// survey is what the directories of several instances tell. It uses no cache.
type survey struct {
	instances []*caller.Instance // without repetition
	// silent holds the errors of addresses that gave no directory, unless they
	// refuse connections: no instance runs there.
	silent map[string]error
	// failure is the last error of any address.
	failure error
}

// survey asks the given instances, and those that they list, for their
// directories.
func (c *connection) survey(ctx context.Context) *survey {
	s := &survey{silent: map[string]error{}}
	listed, asked := map[string]struct{}{}, map[string]struct{}{}
	for next := slices.Clone(c.instances); len(next) > 0; {
		next = next[:min(len(next), maxDirectories-len(asked))]
		for _, address := range next {
			asked[address] = struct{}{}
		}
		answers := s.ask(ctx, c.zone, next)
		next = nil
		for _, i := range answers {
			if _, again := listed[i.ID]; again {
				continue
			}
			listed[i.ID] = struct{}{}
			s.instances = append(s.instances, i)
			if _, again := asked[i.Address]; !again {
				next = append(next, i.Address)
			}
		}
	}
	return s
}

// ask asks several instances at the same time.
func (s *survey) ask(ctx context.Context, zone string, addresses []string) []*caller.Instance {
	lists, failures := make([][]*caller.Instance, len(addresses)), make([]error, len(addresses))
	var group sync.WaitGroup
	for n, address := range addresses {
		group.Go(func() { lists[n], failures[n] = directoryOf(ctx, zone, address) })
	}
	group.Wait()
	for n, err := range failures {
		if err == nil {
			continue
		}
		s.failure = err
		if !errors.Is(err, syscall.ECONNREFUSED) {
			s.silent[addresses[n]] = err
		}
	}
	return slices.Concat(lists...)
}

func directoryOf(ctx context.Context, zone, address string) ([]*caller.Instance, error) {
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
