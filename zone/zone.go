// Package zone models the availability zones of a service as one entry instance
// sees them.
package zone

import (
	"time"

	"fulmarhoist.example/target"
)

// Zone is one availability zone and the targets of one service in it. It must
// not be changed after it was published to other goroutines; a change of the
// configuration creates a new Zone.
type Zone struct {
	Name   string
	Region string
	// OutOfService is true while operators keep the zone out of service.
	OutOfService bool
	// RoundTrip is the network round-trip time between this instance and the
	// zone; 0 for the instance's own zone.
	RoundTrip time.Duration
	// Targets are the targets of the service that are in use in the zone. They
	// are shared with other Zones, and their state changes.
	Targets []*target.Target
}

// AvailableTargets returns the targets that may receive new requests: none
// while the zone is out of service.
func (z *Zone) AvailableTargets() []*target.Target {
	if z.OutOfService {
		return nil
	}
	return z.Targets
}
