package target

import (
	"time"

	"fulmarhoist.example/monotime"
)

// questionBurst is the time whose questions may be asked at once. The bound on
// questions holds for a day, and the choice of a target asks in bursts.
const questionBurst = 10 * time.Second

// MayAsk tells whether the server may be asked for a report now, and counts the
// question. The interval is the least mean time between two questions of this
// instance; 0 sets no bound.
func (t *Target) MayAsk(now time.Time, interval time.Duration) bool {
	if interval <= 0 {
		return true
	}
	at := monotime.Nanos(now)
	for {
		old := t.questionsAt.Load()
		next := max(old, at) + int64(interval)
		if next-at > int64(max(questionBurst, interval)) {
			return false
		}
		if t.questionsAt.CompareAndSwap(old, next) {
			return true
		}
	}
}
