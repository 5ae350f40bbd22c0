// Package targetserver is a stand-in for a target server: a few slots, a
// bounded queue, cold start, draining, cancellation, and faults that are
// switched at run time through a control address.
package targetserver

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Settings describe one target server. They are fixed while it runs.
type Settings struct {
	Listen  string // address for requests
	Control string // address for control requests
	Service string // name that answers carry

	Slots int // requests that run at once
	Queue int // requests that wait for a slot; more are refused as not run

	ServiceMean   time.Duration // mean of the service time
	ServiceSpread time.Duration // standard deviation of the service time
	Seed          uint64        // seed of the service times

	ColdFor   time.Duration // how long a process is cold after its start
	ColdBears int           // requests that a cold process bears at once; 0 means as many as it has room for

	LoadLag      time.Duration // age of the load that the load endpoint reports
	RestartAfter time.Duration // time from a crash to the start of the next process
}

// SettingError reports a setting that a target server cannot work with.
type SettingError struct {
	Name    string
	Problem string
}

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Name, e.Problem) }

func (s Settings) check() error {
	switch {
	case s.Slots < 1:
		return &SettingError{Name: "slots", Problem: "must be at least 1"}
	case s.Queue < 0:
		return &SettingError{Name: "queue", Problem: "must not be negative"}
	case s.ColdBears < 0:
		return &SettingError{Name: "cold-bears", Problem: "must not be negative"}
	case s.ServiceMean < 0 || s.ServiceSpread < 0:
		return &SettingError{Name: "mean and spread", Problem: "must not be negative"}
	case s.ColdFor < 0 || s.LoadLag < 0 || s.RestartAfter < 0:
		return &SettingError{Name: "durations", Problem: "must not be negative"}
	}
	return nil
}

// serviceTimes draws service times from a log-normal distribution, which has
// the long right tail that service times usually show.
type serviceTimes struct {
	mu        sync.Mutex
	random    *rand.Rand
	mean      time.Duration
	logMean   float64
	logSpread float64
}

func newServiceTimes(s Settings) *serviceTimes {
	t := &serviceTimes{random: rand.New(rand.NewPCG(s.Seed, 0)), mean: s.ServiceMean}
	if s.ServiceMean > 0 {
		ratio := float64(s.ServiceSpread) / float64(s.ServiceMean)
		variance := math.Log1p(ratio * ratio)
		t.logSpread = math.Sqrt(variance)
		t.logMean = math.Log(float64(s.ServiceMean)) - variance/2
	}
	return t
}

func (t *serviceTimes) draw() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		return 0
	}
	return time.Duration(math.Exp(t.logMean + t.logSpread*t.random.NormFloat64()))
}
