package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/internal/standin/testcluster"
	"fulmarhoist.example/internal/standin/traffic"
)

// scenario is a condition of the targets under which latencies are measured.
type scenario struct {
	name string // a part of the paths of requests
	// injectFault returns before the load ends. It removes the faults that it
	// has injected, except that a killed target stays down.
	injectFault func(ctx context.Context, cluster *testcluster.Cluster, seed uint64) error
}

// scenarios returns the scenarios in the order in which they are measured.
func scenarios() []scenario {
	return []scenario{
		{"normal", func(context.Context, *testcluster.Cluster, uint64) error { return nil }},
		{"one-slow", slowOneTarget},
		{"neighbours", noisyNeighbours},
		{"one-lost", killOneTarget},
	}
}

const (
	// faultDelay is the time from the start of the load to the fault. The fault
	// starts under load, so that the latencies include the time to detect it.
	faultDelay = time.Second
	// faultEnd is when the fault ends, from the start of the load and shortly
	// before its end.
	faultEnd = tailDuration - 200*time.Millisecond
	// slowFactor multiplies the service times of the slow target.
	slowFactor = 10

	// noisySlowFactor, noisyInterval and noisyTargetsAtOnce make two of the
	// twelve targets slow by a factor of 3 at any time, each for 300 ms.
	noisySlowFactor    = 3
	noisyInterval      = 150 * time.Millisecond
	noisyTargetsAtOnce = 2

	// slowTargetIndex and killedTargetIndex select the targets with a fault.
	slowTargetIndex   = 4
	killedTargetIndex = 7
)

// setSlowFactor multiplies the service times of a target by a factor.
func setSlowFactor(ctx context.Context, t *testcluster.Target, factor float64) error {
	if _, err := t.Control.SetFaults(ctx, targetserver.Faults{SlowFactor: factor}); err != nil {
		return fmt.Errorf("set the slow factor of target %s to %v: %w", t.Name, factor, err)
	}
	return nil
}

// slowOneTarget slows one target down from faultDelay to faultEnd.
func slowOneTarget(ctx context.Context, cluster *testcluster.Cluster, _ uint64) error {
	start := time.Now()
	if err := traffic.WaitUntil(ctx, start.Add(faultDelay)); err != nil {
		return err
	}
	if err := setSlowFactor(ctx, cluster.Targets[slowTargetIndex], slowFactor); err != nil {
		return err
	}
	if err := traffic.WaitUntil(ctx, start.Add(faultEnd)); err != nil {
		return err
	}
	return setSlowFactor(ctx, cluster.Targets[slowTargetIndex], 1)
}

// noisyNeighbours simulates noisy neighbours: it slows random targets down one
// after the other, each for a short time.
func noisyNeighbours(ctx context.Context, cluster *testcluster.Cluster, seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 3))
	start := time.Now()
	var slowed []*testcluster.Target
	for at := time.Duration(0); at < faultEnd; at += noisyInterval {
		if err := traffic.WaitUntil(ctx, start.Add(at)); err != nil {
			return err
		}
		if len(slowed) == noisyTargetsAtOnce {
			if err := setSlowFactor(ctx, slowed[0], 1); err != nil {
				return err
			}
			slowed = slowed[1:]
		}
		next := cluster.Targets[rng.IntN(len(cluster.Targets))]
		for len(slowed) > 0 && next == slowed[0] {
			next = cluster.Targets[rng.IntN(len(cluster.Targets))]
		}
		if err := setSlowFactor(ctx, next, noisySlowFactor); err != nil {
			return err
		}
		slowed = append(slowed, next)
	}
	for _, t := range slowed {
		if err := setSlowFactor(ctx, t, 1); err != nil {
			return err
		}
	}
	return nil
}

// killOneTarget kills one target after faultDelay; it is not restarted.
func killOneTarget(ctx context.Context, cluster *testcluster.Cluster, _ uint64) error {
	if err := traffic.WaitUntil(ctx, time.Now().Add(faultDelay)); err != nil {
		return err
	}
	cluster.Targets[killedTargetIndex].Kill()
	return nil
}
