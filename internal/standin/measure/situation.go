package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"fulmarhoist.example/internal/standin/fleet"
	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/internal/standin/traffic"
)

// situation is a state of the targets in which latencies are measured. Its name is
// a part of the paths of requests. The
// function disturb returns before the load ends, and ends its own faults.
type situation struct {
	name    string
	disturb func(ctx context.Context, f *fleet.Fleet, seed uint64) error
}

func situations() []situation {
	return []situation{
		{"normal", func(context.Context, *fleet.Fleet, uint64) error { return nil }},
		{"one-slow", slowOne},
		{"neighbours", neighbours},
		{"one-lost", loseOne},
	}
}

const (
	// disturbAfter leaves a part of the load before the fault, so that the time
	// until the fault is noticed is in the latencies.
	disturbAfter = time.Second
	// disturbEnd is before the end of the load.
	disturbEnd = tailLength - 200*time.Millisecond
	slowFactor = 10

	// neighbourFactor, neighbourEvery and neighboursAtOnce give two of twelve
	// servers that are slow at any time, each for 300 ms.
	neighbourFactor  = 3
	neighbourEvery   = 150 * time.Millisecond
	neighboursAtOnce = 2

	// slowTarget and lostTarget are the places of the servers with a fault.
	slowTarget = 4
	lostTarget = 7
)

func slow(ctx context.Context, t *fleet.Target, factor float64) error {
	if _, err := t.Control.SetFaults(ctx, targetserver.Faults{SlowFactor: factor}); err != nil {
		return fmt.Errorf("slow %s by %v: %w", t.Name, factor, err)
	}
	return nil
}

func slowOne(ctx context.Context, f *fleet.Fleet, _ uint64) error {
	began := time.Now()
	if err := traffic.WaitUntil(ctx, began.Add(disturbAfter)); err != nil {
		return err
	}
	if err := slow(ctx, f.Targets[slowTarget], slowFactor); err != nil {
		return err
	}
	if err := traffic.WaitUntil(ctx, began.Add(disturbEnd)); err != nil {
		return err
	}
	return slow(ctx, f.Targets[slowTarget], 1)
}

// neighbours slows random servers one after the other.
func neighbours(ctx context.Context, f *fleet.Fleet, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 3))
	began := time.Now()
	var slowed []*fleet.Target
	for at := time.Duration(0); at < disturbEnd; at += neighbourEvery {
		if err := traffic.WaitUntil(ctx, began.Add(at)); err != nil {
			return err
		}
		if len(slowed) == neighboursAtOnce {
			if err := slow(ctx, slowed[0], 1); err != nil {
				return err
			}
			slowed = slowed[1:]
		}
		next := f.Targets[random.IntN(len(f.Targets))]
		for len(slowed) > 0 && next == slowed[0] {
			next = f.Targets[random.IntN(len(f.Targets))]
		}
		if err := slow(ctx, next, neighbourFactor); err != nil {
			return err
		}
		slowed = append(slowed, next)
	}
	for _, t := range slowed {
		if err := slow(ctx, t, 1); err != nil {
			return err
		}
	}
	return nil
}

func loseOne(ctx context.Context, f *fleet.Fleet, _ uint64) error {
	if err := traffic.WaitUntil(ctx, time.Now().Add(disturbAfter)); err != nil {
		return err
	}
	f.Targets[lostTarget].Kill()
	return nil
}
