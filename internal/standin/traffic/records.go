package traffic

import (
	"context"
	"fmt"
	"time"

	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/internal/standin/testcluster"
)

// TargetRecord is the journal of one target, with its name and zone.
type TargetRecord struct {
	Name, Zone string
	Journal    targetserver.Journal
}

// Records are the journals of all targets.
type Records []TargetRecord

// ReadRecords reads the journals of all targets. A target whose process has
// ended has lost its journal; its journal in the records is empty.
func ReadRecords(ctx context.Context, c *testcluster.Cluster) (Records, error) {
	records := make(Records, 0, len(c.Targets))
	for _, t := range c.Targets {
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

// Count returns the number of journal entries for which matches returns true.
func (r Records) Count(matches func(*TargetRecord, *targetserver.Entry) bool) int {
	count := 0
	for i := range r {
		for n := range r[i].Journal.Entries {
			if matches(&r[i], &r[i].Journal.Entries[n]) {
				count++
			}
		}
	}
	return count
}

// Unanswered returns the number of requests that ran but were not answered.
func (r Records) Unanswered() int {
	return r.Count(func(_ *TargetRecord, entry *targetserver.Entry) bool {
		return entry.Executed() && entry.Outcome != targetserver.OutcomeAnswered
	})
}

// Outage is the period in which a zone was out of service.
type Outage struct {
	Zone string
	// RemovedAt is when the publication that took the zone out of service was
	// accepted. ReturnedAt is just before the operator started to bring it back.
	RemovedAt, ReturnedAt time.Time
}

// LastArrivalAfter returns the time from the start of the outage to the arrival
// of the last request in the zone before it was brought back, or 0 if none
// arrived.
func (r Records) LastArrivalAfter(outage Outage) time.Duration {
	lastArrival := time.Duration(0)
	r.Count(func(t *TargetRecord, entry *targetserver.Entry) bool {
		if t.Zone == outage.Zone && entry.Arrived.Before(outage.ReturnedAt) {
			lastArrival = max(lastArrival, entry.Arrived.Sub(outage.RemovedAt))
		}
		return false
	})
	return lastArrival
}

// CountAfterReturn returns the number of requests that arrived in the zone after
// it was brought back.
func (r Records) CountAfterReturn(outage Outage) int {
	return r.Count(func(t *TargetRecord, entry *targetserver.Entry) bool {
		return t.Zone == outage.Zone && entry.Arrived.After(outage.ReturnedAt)
	})
}

// Overloads returns the number of overloads of cold targets.
func (r Records) Overloads() int64 {
	var sum int64
	for i := range r {
		sum += r[i].Journal.Counters.OverloadsWhileCold
	}
	return sum
}
