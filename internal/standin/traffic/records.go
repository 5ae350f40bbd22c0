package traffic

import (
	"context"
	"fmt"
	"time"

	"fulmarhoist.example/internal/standin/fleet"
	"fulmarhoist.example/internal/standin/targetserver"
)

// TargetRecord is the journal of one target.
type TargetRecord struct {
	Name, Zone string
	Journal    targetserver.Journal
}

// Records are the journals of all targets.
type Records []TargetRecord

// ReadRecords reads the journals of all targets. The journal of a target whose
// process has ended is gone with it, and is empty here.
func ReadRecords(ctx context.Context, f *fleet.Fleet) (Records, error) {
	records := make(Records, 0, len(f.Targets))
	for _, t := range f.Targets {
		if t.HasEnded() {
			records = append(records, TargetRecord{Name: t.Name, Zone: t.Zone})
			continue
		}
		journal, err := t.Control.Journal(ctx)
		if err != nil {
			return nil, fmt.Errorf("read the journal of %s: %w", t.Name, err)
		}
		records = append(records, TargetRecord{Name: t.Name, Zone: t.Zone, Journal: journal})
	}
	return records, nil
}

// Count returns the number of journal entries for which counts is true.
func (r Records) Count(counts func(*TargetRecord, *targetserver.Entry) bool) int {
	count := 0
	for i := range r {
		for n := range r[i].Journal.Entries {
			if counts(&r[i], &r[i].Journal.Entries[n]) {
				count++
			}
		}
	}
	return count
}

// Cut counts requests that ran and did not come to their end.
func (r Records) Cut() int {
	return r.Count(func(_ *TargetRecord, entry *targetserver.Entry) bool {
		return entry.Ran() && entry.Outcome != targetserver.OutcomeAnswered
	})
}

// Outage is the time for which a zone was out of service.
type Outage struct {
	Zone string
	// Accepted is when the publication that took it out was accepted; Back is
	// just before the operator began to bring it back.
	Accepted, Back time.Time
}

// LastIn is how long after it was taken out the zone got its last request
// before it was brought back.
func (r Records) LastIn(out Outage) time.Duration {
	last := time.Duration(0)
	r.Count(func(t *TargetRecord, entry *targetserver.Entry) bool {
		if t.Zone == out.Zone && entry.Arrived.Before(out.Back) {
			last = max(last, entry.Arrived.Sub(out.Accepted))
		}
		return false
	})
	return last
}

// AfterReturn counts the requests that the zone got after it was brought back.
func (r Records) AfterReturn(out Outage) int {
	return r.Count(func(t *TargetRecord, entry *targetserver.Entry) bool {
		return t.Zone == out.Zone && entry.Arrived.After(out.Back)
	})
}

// Overloads counts the overloads of cold targets.
func (r Records) Overloads() int64 {
	var sum int64
	for i := range r {
		sum += r[i].Journal.Counters.OverloadsWhileCold
	}
	return sum
}
