package resend

import "time"

// pick returns the instance for the next copy, or nil if all listed instances
// refused a connection or have expired tickets.
func (p *Plan) pick(now time.Time, instances []*Instance, random Random) *Instance {
	if p.key == "" {
		return p.best(now, instances, random, p.usableForNewKey)
	}
	if p.lost < resendsAtOwner {
		for _, instance := range instances {
			if instance.ID == p.owner && !p.refused[instance.ID] {
				return instance
			}
		}
	}
	other := p.best(now, instances, random, func(i *Instance) bool { return i.ID != p.owner && !p.refused[i.ID] })
	if other != nil {
		return other
	}
	return p.best(now, instances, random, func(i *Instance) bool { return !p.refused[i.ID] })
}

func (p *Plan) usableForNewKey(i *Instance) bool {
	return !p.refused[i.ID] && (p.terms.Kind == Idempotent || !p.expired[i.Ticket])
}

// best returns a random one of the usable instances with the lowest rank.
func (p *Plan) best(now time.Time, instances []*Instance, random Random, usable func(*Instance) bool) *Instance {
	var chosen *Instance
	var lowest, ties uint64
	for _, instance := range instances {
		if !usable(instance) {
			continue
		}
		rank := p.rank(now, instance)
		switch {
		case chosen == nil || rank < lowest:
			chosen, lowest, ties = instance, rank, 1
		case rank == lowest:
			ties++
			if random.Uint64()%ties == 0 {
				chosen = instance
			}
		}
	}
	return chosen
}

// rank orders instances: those that other requests found refusing last, then
// those that this call has tried, then those of other availability zones.
func (p *Plan) rank(now time.Time, instance *Instance) uint64 {
	var rank uint64
	if instance.Avoided(now) {
		rank += 4
	}
	if p.tried[instance.ID] {
		rank += 2
	}
	if instance.Zone != p.terms.Zone {
		rank++
	}
	return rank
}
