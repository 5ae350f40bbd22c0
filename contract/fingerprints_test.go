package contract_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarhoist.example/contract"
)

func fingerprint(name string) contract.Fingerprint {
	return contract.NewFingerprint("orders", "reorder", "POST", "/"+name, nil)
}

// recorder records what an observer is notified of.
type recorder struct {
	crashes   []contract.CrashReport
	responses []contract.Fingerprint
}

func (r *recorder) ObserveCrash(report contract.CrashReport) { r.crashes = append(r.crashes, report) }

func (r *recorder) ObserveResponse(fingerprint contract.Fingerprint) {
	r.responses = append(r.responses, fingerprint)
}

var _ = Describe("Fingerprints", func() {
	now := time.Unix(1_000_000, 0)
	crashing, bystander, other := fingerprint("poison"), fingerprint("beside"), fingerprint("other")

	// Guards against refusing requests that merely ran at the same time as one
	// that crashes its target.
	It("refuses only a fingerprint that was running when two targets crashed", func() {
		f := contract.NewFingerprints()
		Expect(f.Empty()).To(BeTrue())
		f.Crashed(now, "t1", crashing, bystander)
		f.Crashed(now, "t1", crashing, bystander)
		Expect(f.Refused(now, crashing)).To(BeFalse(), "one target, reported twice")
		f.Crashed(now, "t2", crashing, other)
		Expect(f.Refused(now, crashing)).To(BeTrue())
		Expect(f.Refused(now, bystander)).To(BeFalse())
		Expect(f.Refused(now, other)).To(BeFalse())
		Expect(f.Refused(now.Add(contract.FingerprintLifetime), crashing)).To(BeFalse(), "expired")
	})

	// Guards against refusing a common kind of request after a zone failure, in
	// which it was running on several targets that were lost at once.
	It("clears a fingerprint that was answered, even if old reports arrive later", func() {
		f := contract.NewFingerprints()
		f.Crashed(now, "t1", bystander)
		f.Crashed(now, "t2", bystander)
		reports := f.Reports(now)
		f.RecordResponse(bystander)
		f.Merge(now.Add(time.Second), reports)
		Expect(f.Refused(now.Add(time.Second), bystander)).To(BeFalse())
		f.Crashed(now.Add(time.Second), "t3", bystander)
		f.Crashed(now.Add(time.Second), "t4", bystander)
		Expect(f.Refused(now.Add(time.Second), bystander)).To(BeTrue())
	})

	// Guards against equal fingerprints of different requests whose concatenated
	// parts are the same, and against hashing bodies of any length.
	It("separates the parts and truncates the body", func() {
		body := make([]byte, contract.FingerprintBodyBytes+1)
		Expect(contract.NewFingerprint("a", "bc", "", "", nil)).NotTo(Equal(contract.NewFingerprint("ab", "c", "", "", nil)))
		Expect(contract.NewFingerprint("a", "b", "c", "d", body)).To(Equal(contract.NewFingerprint("a", "b", "c", "d", body[1:])))
		Expect(contract.NewFingerprint("a", "b", "c", "d", body[2:])).NotTo(Equal(contract.NewFingerprint("a", "b", "c", "d", body)))
	})

	// Guards against a count that depends on the order or number of reports
	// or differs from the number of distinct targets with unexpired crashes.
	It("counts distinct targets whatever the order of reports", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) contract.CrashReport {
				return contract.CrashReport{
					Fingerprint: fingerprint(rapid.StringMatching(`[a-c]`).Draw(t, "name")),
					Target:      rapid.StringMatching(`t[1-4]`).Draw(t, "target"),
					Age:         time.Duration(rapid.IntRange(-5, 25).Draw(t, "minutes")) * time.Minute,
				}
			}), 0, 20).Draw(t, "reports")
			first, second := contract.NewFingerprints(), contract.NewFingerprints()
			first.Merge(now, reports)
			for _, report := range rapid.Permutation(reports).Draw(t, "order") {
				second.Merge(now, []contract.CrashReport{report})
			}
			second.Merge(now, first.Reports(now))
			at := now.Add(time.Duration(rapid.IntRange(0, 25).Draw(t, "later")) * time.Minute)
			targets := map[contract.Fingerprint]map[string]bool{}
			for _, r := range reports {
				if max(0, r.Age)+at.Sub(now) < contract.FingerprintLifetime {
					if targets[r.Fingerprint] == nil {
						targets[r.Fingerprint] = map[string]bool{}
					}
					targets[r.Fingerprint][r.Target] = true
				}
			}
			for _, name := range []string{"a", "b", "c"} {
				want := len(targets[fingerprint(name)]) >= contract.CrashLimit
				if first.Refused(at, fingerprint(name)) != want || second.Refused(at, fingerprint(name)) != want {
					t.Fatalf("fingerprint %s: want refused = %v by both tables", name, want)
				}
			}
		})
	})

	// Guards against a request that goes on crashing targets because an earlier crash
	// of the same target had been cleared by a response in between.
	It("counts a crash of a target whose earlier crash was cleared", func() {
		f := contract.NewFingerprints()
		f.Crashed(now, "t1", crashing)
		f.RecordResponse(crashing)
		f.Crashed(now.Add(time.Second), "t1", crashing)
		f.Crashed(now.Add(time.Second), "t2", crashing)
		Expect(f.Refused(now.Add(time.Second), crashing)).To(BeTrue())
	})

	// Guards against reports that go back and forth between instances: only what this
	// instance has seen itself is reported to others.
	It("notifies the observer of its own crashes and responses only", func() {
		seen := &recorder{}
		f := contract.NewObservedFingerprints(seen)
		f.Merge(now, []contract.CrashReport{{Fingerprint: crashing, Target: "t1"}})
		Expect(f.Clear(crashing)).To(BeTrue())
		Expect(f.Clear(crashing)).To(BeFalse())
		f.RecordResponse(crashing)
		Expect(*seen).To(Equal(recorder{}))
		f.Crashed(now, "t2", crashing, bystander)
		f.RecordResponse(bystander)
		f.RecordResponse(bystander)
		Expect(seen.crashes).To(Equal([]contract.CrashReport{{Fingerprint: crashing, Target: "t2"}, {Fingerprint: bystander, Target: "t2"}}))
		Expect(seen.responses).To(Equal([]contract.Fingerprint{bystander}))
	})

	// Guards against telling a new instance of requests that no one refuses.
	It("reports the crashes of given and of refused fingerprints", func() {
		f := contract.NewFingerprints()
		f.Crashed(now, "t1", crashing, bystander)
		f.Crashed(now, "t2", crashing)
		later := now.Add(time.Minute)
		Expect(f.ReportsOf(later, bystander, other)).To(Equal([]contract.CrashReport{{Fingerprint: bystander, Target: "t1", Age: time.Minute}}))
		Expect(f.RefusedReports(later)).To(ConsistOf(
			contract.CrashReport{Fingerprint: crashing, Target: "t1", Age: time.Minute}, contract.CrashReport{Fingerprint: crashing, Target: "t2", Age: time.Minute}))
	})

	// Guards against unbounded memory use, and against a flood of harmless
	// fingerprints that displaces a refused one.
	It("stays within its bound and keeps refused fingerprints", func() {
		f := contract.NewFingerprints()
		f.Crashed(now, "t1", crashing)
		f.Crashed(now, "t2", crashing)
		for batch := range 4 {
			flood := make([]contract.Fingerprint, contract.MaxFingerprints/2)
			for i := range flood {
				flood[i] = fingerprint(fmt.Sprint(batch, i))
			}
			f.Crashed(now.Add(time.Second), fmt.Sprint("t", batch), flood...)
		}
		for i := range 100 {
			f.Crashed(now, fmt.Sprint("x", i), crashing)
		}
		Expect(f.Refused(now, crashing)).To(BeTrue())
		Expect(len(f.Reports(now))).To(BeNumerically("<=", contract.MaxFingerprints+8))
		f.Crashed(now.Add(2*contract.FingerprintLifetime), "t1", other)
		Expect(f.Reports(now.Add(2 * contract.FingerprintLifetime))).To(HaveLen(1))
	})

	// Guards against lost updates of concurrent writers.
	It("keeps the reports of concurrent writers", func() {
		f := contract.NewFingerprints()
		var group sync.WaitGroup
		for i := range 64 {
			group.Go(func() {
				f.Crashed(now, "t1", fingerprint(fmt.Sprint(i)))
				f.Merge(now, []contract.CrashReport{{Fingerprint: fingerprint(fmt.Sprint(i)), Target: "t2"}})
				_ = f.Refused(now, crashing)
			})
		}
		group.Wait()
		for i := range 64 {
			Expect(f.Refused(now, fingerprint(fmt.Sprint(i)))).To(BeTrue())
		}
	})
})

func BenchmarkFingerprintsRefused(b *testing.B) {
	f := contract.NewFingerprints()
	now := time.Unix(1_000_000, 0)
	known := fingerprint("known")
	f.Crashed(now, "t1", known)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			f.Refused(now, known)
		}
	})
}

// BenchmarkNewFingerprint hashes a request with a body of 1 KiB.
func BenchmarkNewFingerprint(b *testing.B) {
	body := make([]byte, 1<<10)
	b.ReportAllocs()
	for b.Loop() {
		contract.NewFingerprint("orders", "reorder", "POST", "/orders/1", body)
	}
}

// BenchmarkFingerprintsCrashed measures an insertion into a full table, which
// evicts an entry.
func BenchmarkFingerprintsCrashed(b *testing.B) {
	f := contract.NewFingerprints()
	now := time.Unix(1_000_000, 0)
	for i := range contract.MaxFingerprints {
		f.Crashed(now, "t1", fingerprint(fmt.Sprint(i)))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		f.Crashed(now, "t1", fingerprint(fmt.Sprint("new", i)))
	}
}
