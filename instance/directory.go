package instance

import (
	"time"

	"fulmarhoist.example/contract"
)

// Address is one instance in a directory response.
type Address struct {
	ID      string
	Zone    string
	Address string
	Ticket  contract.Ticket
}

// Response lists the instances that a caller may use, in order of preference.
type Response struct {
	Version   uint64        // version of the roster snapshot
	Lifetime  time.Duration // how long the caller may use the response
	Instances []Address
}

// Directory answers the callers' requests for the list of instances.
type Directory struct {
	Roster *Roster
}

// Respond returns the instances that accept callers, those in the caller's zone
// first. Each of the two groups is shuffled with random as the seed, so that
// callers spread evenly. The response is never empty: if no other instance
// accepts callers, it lists this instance even while it is leaving.
func (d Directory) Respond(zone string, lifetime time.Duration, random uint64) Response {
	snapshot := d.Roster.Snapshot()
	var sameZone, otherZones []Address
	add := func(i *Instance) {
		entry := Address{ID: i.ID, Zone: i.Zone, Address: i.CallerAddress, Ticket: i.Ticket()}
		if i.Zone == zone {
			sameZone = append(sameZone, entry)
		} else {
			otherZones = append(otherZones, entry)
		}
	}
	for i := range snapshot.Peers {
		if snapshot.Peers[i].AcceptsCallers() && snapshot.Peers[i].CallerAddress != "" {
			add(&snapshot.Peers[i])
		}
	}
	if !snapshot.Self.Leaving || len(sameZone)+len(otherZones) == 0 {
		add(&snapshot.Self)
	}
	shuffle(sameZone, random)
	shuffle(otherZones, random)
	return Response{Version: snapshot.Version, Lifetime: lifetime, Instances: append(sameZone, otherZones...)}
}
