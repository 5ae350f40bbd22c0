package resend

import "time"

// pick returns the instance to which the next copy is sent, or nil if no listed
// instance is eligible because each is unreachable or has an expired
// ticket.
func (p *Plan) pick(now time.Time, instances []*Instance, random Random) *Instance {
	if p.key == "" {
		return p.best(now, instances, random, p.usableForNewKey)
	}
	if p.lost < maxLostBeforeForwarding {
		for _, instance := range instances {
			if instance.ID == p.owner && !p.unreachable[instance.ID] {
				return instance
			}
		}
	}
	other := p.best(now, instances, random, func(i *Instance) bool { return i.ID != p.owner && !p.unreachable[i.ID] })
	if other != nil {
		return other
	}
	return p.best(now, instances, random, func(i *Instance) bool { return !p.unreachable[i.ID] })
}

// usableForNewKey reports whether the instance can be sent a copy under a new
// key, or without one if the request is idempotent.
func (p *Plan) usableForNewKey(i *Instance) bool {
	return !p.unreachable[i.ID] && (p.terms.Kind == Idempotent || !p.expired[i.Ticket])
}

// best returns an instance chosen at random from the usable instances that
// share the lowest rank, or nil if none is usable.
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

// rank returns the preference for an instance; lower is better. The most
// significant criterion is whether a recent request could not connect to it,
// then whether this call has already tried it, then whether it is in another
// availability zone.
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
