package contract

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// CrashLimit is the number of distinct targets that must have crashed
	// before a fingerprint is refused.
	CrashLimit = 2
	// FingerprintLifetime is the time after which a crash no longer counts. It
	// exceeds the time for which a caller may resend a request, which is
	// ValidEpochs epochs.
	FingerprintLifetime = 20 * time.Minute
	// MaxFingerprints is the maximum number of fingerprints in the table.
	MaxFingerprints = 4096
	// FingerprintBodyBytes is the length of the body prefix that is included in
	// a fingerprint.
	FingerprintBodyBytes = 64 << 10

	// maxCrashesPerFingerprint bounds the crashed targets that are stored per
	// fingerprint.
	maxCrashesPerFingerprint = 8
)

// Fingerprint is a digest that is shared by requests that are likely to have the
// same effect on a target. It is used to detect requests that crash targets.
type Fingerprint [sha256.Size]byte

// String returns the first bytes of the digest in hexadecimal, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:8]) }

// NewFingerprint returns the digest of the given parts of a request. Each part
// is prefixed with its length, so that different lists of parts never hash the
// same input. The body is truncated to FingerprintBodyBytes.
func NewFingerprint(service, class, method, path string, body []byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	writePart := func(part []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	for _, part := range [...]string{service, class, method, path} {
		writePart([]byte(part))
	}
	writePart(body[:min(len(body), FingerprintBodyBytes)])
	var fingerprint Fingerprint
	hash.Sum(fingerprint[:0])
	return fingerprint
}

// CrashReport reports that a target crashed while it was executing a request
// with this fingerprint. Age is the time since the crash; a relative time
// avoids the need for synchronized clocks between instances.
type CrashReport struct {
	Fingerprint Fingerprint
	Target      string
	Age         time.Duration
}

// crash records the crash of one target.
type crash struct {
	target  string
	at      time.Time
	cleared bool // a request with the same fingerprint was answered since
}

// crashList holds the crashes of one fingerprint, at most one per target. It is
// immutable; updates create a new list.
type crashList []crash

// Fingerprints counts, per fingerprint, the distinct targets that crashed while
// they were executing a request with that fingerprint. It is safe for concurrent
// use: readers see an immutable snapshot, which writers replace by
// compare-and-swap. Crashes are rare, so each write copies the whole map.
//
// Requests that merely ran at the same time as one that crashes its target are
// counted too. Such a request is refused only if it was also running when a
// second target crashed and no request with its fingerprint was answered in
// between. A common kind of request is running on the targets of a zone
// whenever the zone fails, but other requests of that kind are answered
// elsewhere.
type Fingerprints struct {
	snapshot atomic.Pointer[map[Fingerprint]crashList]
	observer CrashObserver // nil if there is none
}

// CrashObserver is notified of what this instance has seen itself, to tell the other
// instances. Its methods must not block.
type CrashObserver interface {
	// ObserveCrash is called after a crash was recorded by Fingerprints.Crashed.
	ObserveCrash(report CrashReport)
	// ObserveResponse is called after a response has cleared crashes.
	ObserveResponse(fingerprint Fingerprint)
}

// NewFingerprints returns an empty table.
func NewFingerprints() *Fingerprints {
	f := &Fingerprints{}
	f.snapshot.Store(&map[Fingerprint]crashList{})
	return f
}

// NewObservedFingerprints returns an empty table with an observer.
func NewObservedFingerprints(observer CrashObserver) *Fingerprints {
	f := NewFingerprints()
	f.observer = observer
	return f
}

// Empty reports whether the table is empty, in which case the caller need not
// compute the fingerprints of requests.
func (f *Fingerprints) Empty() bool { return len(*f.snapshot.Load()) == 0 }

// Refused reports whether requests with this fingerprint must be refused.
func (f *Fingerprints) Refused(now time.Time, fingerprint Fingerprint) bool {
	return (*f.snapshot.Load())[fingerprint].countActive(now) >= CrashLimit
}

// Targets returns the targets whose crashes count against a fingerprint.
func (f *Fingerprints) Targets(now time.Time, fingerprint Fingerprint) []string {
	var names []string
	for _, c := range (*f.snapshot.Load())[fingerprint] {
		if !c.cleared && unexpired(now, c.at) {
			names = append(names, c.target)
		}
	}
	return names
}

// Crashed records that a target crashed while it was executing requests with the
// given fingerprints.
func (f *Fingerprints) Crashed(now time.Time, target string, running ...Fingerprint) {
	if len(running) == 0 {
		return
	}
	f.update(func(next map[Fingerprint]crashList) {
		removeExpired(next, now)
		for _, fingerprint := range running {
			next[fingerprint] = next[fingerprint].without(target).withCrash(target, now)
		}
		evict(next)
	})
	if f.observer == nil {
		return
	}
	for _, fingerprint := range running {
		f.observer.ObserveCrash(CrashReport{Fingerprint: fingerprint, Target: target})
	}
}

// Merge records crashes that were reported by peers. For a target whose crash is
// already recorded, only the time is updated, if the reported one is later: a late
// report of a crash that was cleared cannot be told from one of a new crash.
func (f *Fingerprints) Merge(now time.Time, reports []CrashReport) {
	if len(reports) == 0 {
		return
	}
	f.update(func(next map[Fingerprint]crashList) {
		removeExpired(next, now)
		for _, report := range reports {
			at := now.Add(-max(0, report.Age))
			if unexpired(now, at) {
				next[report.Fingerprint] = next[report.Fingerprint].withCrash(report.Target, at)
			}
		}
		evict(next)
	})
}

// RecordResponse records that a request with this fingerprint got a complete
// response. Crashes recorded before no longer count against the fingerprint.
func (f *Fingerprints) RecordResponse(fingerprint Fingerprint) {
	if f.Clear(fingerprint) && f.observer != nil {
		f.observer.ObserveResponse(fingerprint)
	}
}

// Clear marks all crashes of a fingerprint as cleared, as after a response. It
// reports whether any crash counted before.
func (f *Fingerprints) Clear(fingerprint Fingerprint) bool {
	if crashes, ok := (*f.snapshot.Load())[fingerprint]; !ok || crashes.allCleared() {
		return false
	}
	f.update(func(next map[Fingerprint]crashList) {
		crashes, ok := next[fingerprint]
		if !ok {
			return
		}
		cleared := make(crashList, len(crashes))
		for i, c := range crashes {
			c.cleared = true
			cleared[i] = c
		}
		next[fingerprint] = cleared
	})
	return true
}

// Reports returns all crashes that currently count, to be sent to a peer that
// has just started.
func (f *Fingerprints) Reports(now time.Time) []CrashReport {
	var reports []CrashReport
	for fingerprint, crashes := range *f.snapshot.Load() {
		reports = crashes.appendReports(reports, now, fingerprint)
	}
	return reports
}

// ReportsOf returns the crashes that currently count for the given fingerprints.
func (f *Fingerprints) ReportsOf(now time.Time, fingerprints ...Fingerprint) []CrashReport {
	var reports []CrashReport
	known := *f.snapshot.Load()
	for _, fingerprint := range fingerprints {
		reports = known[fingerprint].appendReports(reports, now, fingerprint)
	}
	return reports
}

// RefusedReports returns the crashes of all fingerprints that are refused.
func (f *Fingerprints) RefusedReports(now time.Time) []CrashReport {
	var reports []CrashReport
	for fingerprint, crashes := range *f.snapshot.Load() {
		if crashes.countActive(now) >= CrashLimit {
			reports = crashes.appendReports(reports, now, fingerprint)
		}
	}
	return reports
}

// update applies a change to a copy of the snapshot and publishes the copy. The
// change may be applied several times if writers compete.
func (f *Fingerprints) update(change func(next map[Fingerprint]crashList)) {
	for {
		old := f.snapshot.Load()
		next := make(map[Fingerprint]crashList, len(*old)+1)
		for fingerprint, crashes := range *old {
			next[fingerprint] = crashes
		}
		change(next)
		if f.snapshot.CompareAndSwap(old, &next) {
			return
		}
	}
}

// unexpired reports whether a crash at the given time still counts.
func unexpired(now, at time.Time) bool { return now.Sub(at) < FingerprintLifetime }

// removeExpired deletes the fingerprints whose crashes have all expired.
func removeExpired(next map[Fingerprint]crashList, now time.Time) {
	for fingerprint, crashes := range next {
		if !unexpired(now, crashes.latest()) {
			delete(next, fingerprint)
		}
	}
}

// evict shrinks the map to MaxFingerprints. Fingerprints with the fewest
// uncleared crashes are evicted first, so that the many requests that merely
// ran during a crash cannot displace one that is refused; ties are broken by
// age, oldest first.
func evict(next map[Fingerprint]crashList) {
	excess := len(next) - MaxFingerprints
	if excess <= 0 {
		return
	}
	order := make([]Fingerprint, 0, len(next))
	for fingerprint := range next {
		order = append(order, fingerprint)
	}
	slices.SortFunc(order, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(next[a].countUncleared(), next[b].countUncleared()), next[a].latest().Compare(next[b].latest()))
	})
	for _, fingerprint := range order[:excess] {
		delete(next, fingerprint)
	}
}

// without returns the list without the crash of the given target.
func (l crashList) without(target string) crashList {
	return slices.DeleteFunc(slices.Clone(l), func(c crash) bool { return c.target == target })
}

// withCrash returns the list with a crash of the given target added, or with the
// time of its recorded crash updated.
func (l crashList) withCrash(target string, at time.Time) crashList {
	for i, known := range l {
		if known.target != target {
			continue
		}
		if !at.After(known.at) {
			return l
		}
		next := append(crashList(nil), l...)
		next[i].at = at
		return next
	}
	next := append(append(make(crashList, 0, len(l)+1), l...), crash{target: target, at: at})
	if len(next) > maxCrashesPerFingerprint {
		next = next[1:]
	}
	return next
}

// appendReports appends a report of each crash that counts.
func (l crashList) appendReports(reports []CrashReport, now time.Time, fingerprint Fingerprint) []CrashReport {
	for _, c := range l {
		if !c.cleared && unexpired(now, c.at) {
			reports = append(reports, CrashReport{fingerprint, c.target, max(0, now.Sub(c.at))})
		}
	}
	return reports
}

// countActive returns the number of crashes that are neither cleared nor
// expired.
func (l crashList) countActive(now time.Time) int {
	count := 0
	for _, c := range l {
		if !c.cleared && unexpired(now, c.at) {
			count++
		}
	}
	return count
}

// countUncleared returns the number of crashes that were not cleared, including
// expired ones.
func (l crashList) countUncleared() int {
	count := 0
	for _, c := range l {
		if !c.cleared {
			count++
		}
	}
	return count
}

func (l crashList) allCleared() bool { return l.countUncleared() == 0 }

// latest returns the time of the most recent crash.
func (l crashList) latest() time.Time {
	var latest time.Time
	for _, c := range l {
		if c.at.After(latest) {
			latest = c.at
		}
	}
	return latest
}
