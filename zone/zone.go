// Package zone models availability zones as one entry instance sees them. A
// Zone is immutable; a change of the configuration replaces it.
package zone

import (
	"time"

	"fulmarhoist.example/target"
)

// Zone is one availability zone with the targets of one service in it.
type Zone struct {
	Name   string
	Region string
	// OutOfService is true while operators have taken the zone out of service.
	OutOfService bool
	// RoundTrip is the time to reach the zone from this instance and back; 0
	// for the instance's own zone.
	RoundTrip time.Duration
	Targets   []*target.Target
}

// Open returns the targets that may get new work.
func (z *Zone) Open() []*target.Target {
	if z.OutOfService {
		return nil
	}
	return z.Targets
}
