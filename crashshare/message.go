package crashshare

import (
	"time"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/frame"
)

// kind says what a message asks of its receiver.
type kind uint64

const (
	// kindReport tells a collector what the sender has seen. The response holds the
	// crashes of these fingerprints that the collector knows of.
	kindReport kind = iota + 1
	// kindNotice tells an instance what a collector has found. The response is empty.
	kindNotice
	// kindQuery asks for the crashes of all fingerprints that are refused.
	kindQuery
)

var kindNames = [...]string{"unknown", "report", "notice", "query"}

func (k kind) String() string {
	if int(k) >= len(kindNames) {
		return kindNames[0]
	}
	return kindNames[k]
}

const (
	// maxReports is the maximum number of crashes, and of cleared fingerprints, in a
	// message.
	maxReports = 256
	// maxMessageBytes is the maximum size of a message.
	maxMessageBytes = 64 << 10
	// maxTargetBytes is the maximum length of the name of a target.
	maxTargetBytes = 128
)

// message is a message between instances, and the response to one.
type message struct {
	Kind    kind     `msgpack:"kind"` // 0 in a response
	Crashes []crash  `msgpack:"crashes"`
	Cleared [][]byte `msgpack:"cleared"` // fingerprints of requests that were answered
}

// crash is a contract.CrashReport in a message.
type crash struct {
	Fingerprint []byte `msgpack:"fingerprint"`
	Target      string `msgpack:"target"`
	AgeMs       int64  `msgpack:"age_ms"`
}

// decode decodes a message.
func (m *message) decode(d *frame.Decoder) {
	d.Fields(func(name string) bool {
		switch name {
		case "kind":
			m.Kind = kind(d.Uint64())
		case "crashes":
			d.List(maxReports, func() {
				var c crash
				c.decode(d)
				m.Crashes = append(m.Crashes, c)
			})
		case "cleared":
			d.List(maxReports, func() { m.Cleared = append(m.Cleared, d.Bytes()) })
		default:
			return false
		}
		return true
	})
}

// decode decodes a crash.
func (c *crash) decode(d *frame.Decoder) {
	d.Fields(func(name string) bool {
		switch name {
		case "fingerprint":
			c.Fingerprint = d.Bytes()
		case "target":
			c.Target = d.Text()
		case "age_ms":
			c.AgeMs = d.Int64()
		default:
			return false
		}
		return true
	})
}

// add adds reports to the message as far as there is room.
func (m *message) add(reports []contract.CrashReport) {
	for _, r := range reports {
		if len(m.Crashes) < maxReports && len(r.Target) <= maxTargetBytes {
			m.Crashes = append(m.Crashes, crash{Fingerprint: r.Fingerprint[:], Target: r.Target, AgeMs: r.Age.Milliseconds()})
		}
	}
}

// addCleared adds a cleared fingerprint to the message if there is room.
func (m *message) addCleared(fingerprint contract.Fingerprint) {
	if len(m.Cleared) < maxReports {
		m.Cleared = append(m.Cleared, fingerprint[:])
	}
}

func (m *message) empty() bool { return len(m.Crashes) == 0 && len(m.Cleared) == 0 }

// reports returns the crashes in the message, without malformed ones.
func (m *message) reports() []contract.CrashReport {
	var reports []contract.CrashReport
	for _, c := range m.Crashes {
		fingerprint, ok := toFingerprint(c.Fingerprint)
		if !ok || c.Target == "" || len(c.Target) > maxTargetBytes {
			continue
		}
		age := time.Duration(min(max(0, c.AgeMs), contract.FingerprintLifetime.Milliseconds())) * time.Millisecond
		reports = append(reports, contract.CrashReport{Fingerprint: fingerprint, Target: c.Target, Age: age})
	}
	return reports
}

// cleared returns the cleared fingerprints in the message, without malformed ones.
func (m *message) cleared() []contract.Fingerprint {
	var fingerprints []contract.Fingerprint
	for _, data := range m.Cleared {
		if fingerprint, ok := toFingerprint(data); ok {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// fingerprints returns the distinct fingerprints that the message names.
func (m *message) fingerprints() []contract.Fingerprint {
	seen := map[contract.Fingerprint]bool{}
	var distinct []contract.Fingerprint
	add := func(fingerprint contract.Fingerprint) {
		if !seen[fingerprint] {
			seen[fingerprint] = true
			distinct = append(distinct, fingerprint)
		}
	}
	for _, r := range m.reports() {
		add(r.Fingerprint)
	}
	for _, fingerprint := range m.cleared() {
		add(fingerprint)
	}
	return distinct
}

func toFingerprint(data []byte) (fingerprint contract.Fingerprint, ok bool) {
	if len(data) != len(fingerprint) {
		return fingerprint, false
	}
	copy(fingerprint[:], data)
	return fingerprint, true
}
