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

// Response tells a caller which instances to use, in this order.
type Response struct {
	Version   uint64
	Lifetime  time.Duration
	Instances []Address
}

// Directory answers callers that ask which instances to use.
type Directory struct {
	Roster *Roster
}

// Respond returns the open instances, those of the caller's zone first. Both
// parts are shuffled by the random word, so that callers spread evenly. The
// response is never empty: without other open instances it names this one even
// while it is leaving.
func (d Directory) Respond(zone string, lifetime time.Duration, random uint64) Response {
	view := d.Roster.View()
	var near, far []Address
	add := func(i *Instance) {
		entry := Address{ID: i.ID, Zone: i.Zone, Address: i.CallerAddress, Ticket: i.Ticket()}
		if i.Zone == zone {
			near = append(near, entry)
		} else {
			far = append(far, entry)
		}
	}
	for i := range view.Peers {
		if view.Peers[i].Open() && view.Peers[i].CallerAddress != "" {
			add(&view.Peers[i])
		}
	}
	if !view.Self.Leaving || len(near)+len(far) == 0 {
		add(&view.Self)
	}
	shuffle(near, random)
	shuffle(far, random)
	return Response{Version: view.Version, Lifetime: lifetime, Instances: append(near, far...)}
}
