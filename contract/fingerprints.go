package contract

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// CrashLimit is the number of distinct targets after whose crashes a
	// fingerprint is refused.
	CrashLimit = 2
	// FingerprintLifetime is the time after which a crash no longer counts. It
	// is longer than a caller's resends of one request (EpochsKept epochs).
	FingerprintLifetime = 20 * time.Minute
	// MaxFingerprints bounds the fingerprints that are remembered.
	MaxFingerprints = 4096
	// FingerprintBodyBytes is how much of a body enters the fingerprint.
	FingerprintBodyBytes = 64 << 10

	// maxSightings bounds the targets remembered for one fingerprint.
	maxSightings = 8
)

// Fingerprint identifies requests that are likely to have the same effect on a
// target.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the digest of the parts of a request. Each part enters
// with its length, so that no two lists of parts look the same. A body beyond
// FingerprintBodyBytes is cut.
func NewFingerprint(service, class, method, path string, body []byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	add := func(part []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	for _, part := range [...]string{service, class, method, path} {
		add([]byte(part))
	}
	add(body[:min(len(body), FingerprintBodyBytes)])
	var fingerprint Fingerprint
	hash.Sum(fingerprint[:0])
	return fingerprint
}

// CrashReport says that a target went down while a request with this
// fingerprint was running there. Age is the time since then, so that instances
// need no common clock.
type CrashReport struct {
	Fingerprint Fingerprint
	Target      string
	Age         time.Duration
}

// sighting is one target that went down.
type sighting struct {
	target  string
	at      time.Time
	cleared bool // a request with the same fingerprint was answered later
}

// sightings are immutable; a change replaces them.
type sightings []sighting

// Fingerprints counts, per fingerprint, the distinct targets that went down
// while a request with it was running there. It is safe for concurrent use:
// readers see an immutable snapshot, writers replace it by compare-and-swap.
// Crashes are rare, so a write copies the whole map.
//
// A request that ran beside one that crashes a target is counted too. It is
// refused only if it is present at the crash of a second target and no request
// with its fingerprint was answered since the first: a common request is present
// at every loss of a zone, but copies of it are answered elsewhere.
type Fingerprints struct {
	snapshot atomic.Pointer[map[Fingerprint]sightings]
}

// NewFingerprints returns an empty table.
func NewFingerprints() *Fingerprints {
	f := &Fingerprints{}
	f.snapshot.Store(&map[Fingerprint]sightings{})
	return f
}

// Empty tells whether no crash is remembered, so that a request needs no
// fingerprint.
func (f *Fingerprints) Empty() bool { return len(*f.snapshot.Load()) == 0 }

// Refused tells whether a request with this fingerprint must not run.
func (f *Fingerprints) Refused(now time.Time, fingerprint Fingerprint) bool {
	return (*f.snapshot.Load())[fingerprint].count(now) >= CrashLimit
}

// Targets returns the targets whose crashes count against a fingerprint.
func (f *Fingerprints) Targets(now time.Time, fingerprint Fingerprint) []string {
	var names []string
	for _, s := range (*f.snapshot.Load())[fingerprint] {
		if !s.cleared && live(now, s.at) {
			names = append(names, s.target)
		}
	}
	return names
}

// Crashed records that a target went down while requests with the given
// fingerprints were running there.
func (f *Fingerprints) Crashed(now time.Time, target string, running ...Fingerprint) {
	reports := make([]CrashReport, len(running))
	for i, fingerprint := range running {
		reports[i] = CrashReport{Fingerprint: fingerprint, Target: target}
	}
	f.Merge(now, reports)
}

// Merge records crashes that peers saw. A crash that is known already changes
// nothing but its time, if that is later.
func (f *Fingerprints) Merge(now time.Time, reports []CrashReport) {
	if len(reports) == 0 {
		return
	}
	f.replace(func(next map[Fingerprint]sightings) {
		removeExpired(next, now)
		for _, report := range reports {
			at := now.Add(-max(0, report.Age))
			if live(now, at) {
				next[report.Fingerprint] = next[report.Fingerprint].with(report.Target, at)
			}
		}
		evict(next)
	})
}

// Answered records that a target gave a whole answer to a request with this
// fingerprint. The crashes seen before no longer count against it.
func (f *Fingerprints) Answered(fingerprint Fingerprint) {
	if seen, found := (*f.snapshot.Load())[fingerprint]; !found || seen.allCleared() {
		return
	}
	f.replace(func(next map[Fingerprint]sightings) {
		seen, found := next[fingerprint]
		if !found {
			return
		}
		cleared := make(sightings, len(seen))
		for i, s := range seen {
			s.cleared = true
			cleared[i] = s
		}
		next[fingerprint] = cleared
	})
}

// Reports returns the crashes that count now, for a peer that has just started.
func (f *Fingerprints) Reports(now time.Time) []CrashReport {
	var reports []CrashReport
	for fingerprint, seen := range *f.snapshot.Load() {
		for _, s := range seen {
			if !s.cleared && live(now, s.at) {
				reports = append(reports, CrashReport{fingerprint, s.target, max(0, now.Sub(s.at))})
			}
		}
	}
	return reports
}

// replace swaps in a changed copy of the snapshot.
func (f *Fingerprints) replace(change func(next map[Fingerprint]sightings)) {
	for {
		old := f.snapshot.Load()
		next := make(map[Fingerprint]sightings, len(*old)+1)
		for fingerprint, seen := range *old {
			next[fingerprint] = seen
		}
		change(next)
		if f.snapshot.CompareAndSwap(old, &next) {
			return
		}
	}
}

func live(now, at time.Time) bool { return now.Sub(at) < FingerprintLifetime }

// removeExpired deletes fingerprints without a crash that may still count.
func removeExpired(next map[Fingerprint]sightings, now time.Time) {
	for fingerprint, seen := range next {
		if !live(now, seen.latest()) {
			delete(next, fingerprint)
		}
	}
}

// evict keeps the map within its bound. Fingerprints with the fewest crashes go
// first, so that many requests that ran beside a crash cannot push out one that
// is refused; among equals the oldest goes first.
func evict(next map[Fingerprint]sightings) {
	excess := len(next) - MaxFingerprints
	if excess <= 0 {
		return
	}
	order := make([]Fingerprint, 0, len(next))
	for fingerprint := range next {
		order = append(order, fingerprint)
	}
	slices.SortFunc(order, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(next[a].weight(), next[b].weight()), next[a].latest().Compare(next[b].latest()))
	})
	for _, fingerprint := range order[:excess] {
		delete(next, fingerprint)
	}
}

// with returns the sightings with one more target.
func (s sightings) with(target string, at time.Time) sightings {
	for i, known := range s {
		if known.target != target {
			continue
		}
		if !at.After(known.at) {
			return s
		}
		next := append(sightings(nil), s...)
		next[i].at = at
		return next
	}
	next := append(append(make(sightings, 0, len(s)+1), s...), sighting{target: target, at: at})
	if len(next) > maxSightings {
		next = next[1:]
	}
	return next
}

// count returns the distinct targets whose crash counts.
func (s sightings) count(now time.Time) int {
	count := 0
	for _, seen := range s {
		if !seen.cleared && live(now, seen.at) {
			count++
		}
	}
	return count
}

// weight is the number of crashes that were not cleared, at any time.
func (s sightings) weight() int {
	weight := 0
	for _, seen := range s {
		if !seen.cleared {
			weight++
		}
	}
	return weight
}

func (s sightings) allCleared() bool { return s.weight() == 0 }

func (s sightings) latest() time.Time {
	var latest time.Time
	for _, seen := range s {
		if seen.at.After(latest) {
			latest = seen.at
		}
	}
	return latest
}
