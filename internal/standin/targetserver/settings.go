// Package targetserver is a stand-in for a target server: a limited number of
// slots, a bounded queue, cold start, draining, cancellation, and faults that
// tests set at run time through a control address.
package targetserver

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Settings configure a target server. They do not change while it runs.
type Settings struct {
	Listen  string // address for requests
	Control string // address for control requests
	Service string // service name in the answers

	Slots int // requests that run concurrently
	Queue int // requests that may wait for a slot; further requests are refused as not run

	MeanServiceTime   time.Duration // mean of the service time
	ServiceTimeStdDev time.Duration // standard deviation of the service time
	Seed              uint64        // seed of the service times

	ColdDuration time.Duration // how long a process is cold after its start
	ColdCapacity int           // requests in flight that a cold process can handle; one more crashes it; 0 means no such limit

	LoadLag      time.Duration // delay until the load endpoint reports a change of the load
	RestartDelay time.Duration // time from a crash to the start of the next process
}

// SettingError reports an invalid setting.
type SettingError struct {
	Name    string
	Problem string
}

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Name, e.Problem) }

func (s Settings) validate() error {
	switch {
	case s.Slots < 1:
		return &SettingError{Name: "slots", Problem: fmt.Sprintf("must be at least 1, got %d", s.Slots)}
	case s.Queue < 0:
		return &SettingError{Name: "queue", Problem: fmt.Sprintf("must not be negative, got %d", s.Queue)}
	case s.ColdCapacity < 0:
		return &SettingError{Name: "cold-bears", Problem: fmt.Sprintf("must not be negative, got %d", s.ColdCapacity)}
	case s.MeanServiceTime < 0 || s.ServiceTimeStdDev < 0:
		return &SettingError{Name: "mean and spread", Problem: fmt.Sprintf("must not be negative, got %v and %v", s.MeanServiceTime, s.ServiceTimeStdDev)}
	case s.ColdDuration < 0 || s.LoadLag < 0 || s.RestartDelay < 0:
		return &SettingError{Name: "durations", Problem: fmt.Sprintf(
			"must not be negative, got cold-for %v, load-lag %v, restart-after %v", s.ColdDuration, s.LoadLag, s.RestartDelay)}
	}
	return nil
}

// serviceTimeSampler draws service times from a log-normal distribution,
// because service times usually have a long right tail.
type serviceTimeSampler struct {
	mu        sync.Mutex
	random    *rand.Rand
	mean      time.Duration
	logMean   float64 // mean of the logarithm of the nanoseconds
	logStdDev float64 // standard deviation of the logarithm
}

func newServiceTimeSampler(s Settings) *serviceTimeSampler {
	sampler := &serviceTimeSampler{random: rand.New(rand.NewPCG(s.Seed, 0)), mean: s.MeanServiceTime}
	if s.MeanServiceTime > 0 {
		ratio := float64(s.ServiceTimeStdDev) / float64(s.MeanServiceTime)
		variance := math.Log1p(ratio * ratio)
		sampler.logStdDev = math.Sqrt(variance)
		sampler.logMean = math.Log(float64(s.MeanServiceTime)) - variance/2
	}
	return sampler
}

// sample returns the next service time.
func (t *serviceTimeSampler) sample() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		return 0
	}
	return time.Duration(math.Exp(t.logMean + t.logStdDev*t.random.NormFloat64()))
}
