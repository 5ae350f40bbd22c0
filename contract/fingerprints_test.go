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

var _ = Describe("Fingerprints", func() {
	now := time.Unix(1_000_000, 0)
	poison, beside, other := fingerprint("poison"), fingerprint("beside"), fingerprint("other")

	// Guards against refusing requests that merely ran beside a crashing one.
	It("refuses only what was present at the crashes of two targets", func() {
		f := contract.NewFingerprints()
		Expect(f.Empty()).To(BeTrue())
		f.Crashed(now, "t1", poison, beside)
		f.Crashed(now, "t1", poison, beside)
		Expect(f.Refused(now, poison)).To(BeFalse(), "one target, reported twice")
		f.Crashed(now, "t2", poison, other)
		Expect(f.Refused(now, poison)).To(BeTrue())
		Expect(f.Refused(now, beside)).To(BeFalse())
		Expect(f.Refused(now, other)).To(BeFalse())
		Expect(f.Refused(now.Add(contract.FingerprintLifetime), poison)).To(BeFalse(), "expired")
	})

	// Guards against refusing a common request after the loss of a zone.
	It("clears a fingerprint that was answered, also against late reports", func() {
		f := contract.NewFingerprints()
		f.Crashed(now, "t1", beside)
		f.Crashed(now, "t2", beside)
		reports := f.Reports(now)
		f.Answered(beside)
		f.Merge(now.Add(time.Second), reports)
		Expect(f.Refused(now.Add(time.Second), beside)).To(BeFalse())
		f.Crashed(now.Add(time.Second), "t3", beside)
		f.Crashed(now.Add(time.Second), "t4", beside)
		Expect(f.Refused(now.Add(time.Second), beside)).To(BeTrue())
	})

	// Guards against parts that run into each other and against long bodies.
	It("separates the parts and cuts the body", func() {
		body := make([]byte, contract.FingerprintBodyBytes+1)
		Expect(contract.NewFingerprint("a", "bc", "", "", nil)).NotTo(Equal(contract.NewFingerprint("ab", "c", "", "", nil)))
		Expect(contract.NewFingerprint("a", "b", "c", "d", body)).To(Equal(contract.NewFingerprint("a", "b", "c", "d", body[1:])))
		Expect(contract.NewFingerprint("a", "b", "c", "d", body[2:])).NotTo(Equal(contract.NewFingerprint("a", "b", "c", "d", body)))
	})

	// Guards against a count that depends on the order or number of reports,
	// and against one that differs from the set of distinct live targets.
	It("counts like a set of targets in any order of reports", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) contract.CrashReport {
				return contract.CrashReport{
					Fingerprint: fingerprint(rapid.StringMatching(`[a-c]`).Draw(t, "name")),
					Target:      rapid.StringMatching(`t[1-4]`).Draw(t, "target"),
					Age:         time.Duration(rapid.IntRange(-5, 25).Draw(t, "minutes")) * time.Minute,
				}
			}), 0, 20).Draw(t, "reports")
			one, two := contract.NewFingerprints(), contract.NewFingerprints()
			one.Merge(now, reports)
			for _, i := range rapid.Permutation(reports).Draw(t, "order") {
				two.Merge(now, []contract.CrashReport{i})
			}
			two.Merge(now, one.Reports(now))
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
				if one.Refused(at, fingerprint(name)) != want || two.Refused(at, fingerprint(name)) != want {
					t.Fatalf("%s: want refused = %v", name, want)
				}
			}
		})
	})

	// Guards against memory that grows with reports, and against a flood of
	// harmless fingerprints that pushes out a refused one.
	It("stays bounded and keeps what it refuses", func() {
		f := contract.NewFingerprints()
		f.Crashed(now, "t1", poison)
		f.Crashed(now, "t2", poison)
		for batch := range 4 {
			flood := make([]contract.Fingerprint, contract.MaxFingerprints/2)
			for i := range flood {
				flood[i] = fingerprint(fmt.Sprint(batch, i))
			}
			f.Crashed(now.Add(time.Second), fmt.Sprint("t", batch), flood...)
		}
		for i := range 100 {
			f.Crashed(now, fmt.Sprint("x", i), poison)
		}
		Expect(f.Refused(now, poison)).To(BeTrue())
		Expect(len(f.Reports(now))).To(BeNumerically("<=", contract.MaxFingerprints+8))
		f.Crashed(now.Add(2*contract.FingerprintLifetime), "t1", other)
		Expect(f.Reports(now.Add(2 * contract.FingerprintLifetime))).To(HaveLen(1))
	})

	// Guards against updates that are lost between concurrent writers.
	It("loses no report of concurrent writers", func() {
		f := contract.NewFingerprints()
		var group sync.WaitGroup
		for i := range 64 {
			group.Go(func() {
				f.Crashed(now, "t1", fingerprint(fmt.Sprint(i)))
				f.Merge(now, []contract.CrashReport{{Fingerprint: fingerprint(fmt.Sprint(i)), Target: "t2"}})
				_ = f.Refused(now, poison)
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

// BenchmarkNewFingerprint measures a body of 1 KiB.
func BenchmarkNewFingerprint(b *testing.B) {
	body := make([]byte, 1<<10)
	b.ReportAllocs()
	for b.Loop() {
		contract.NewFingerprint("orders", "reorder", "POST", "/orders/1", body)
	}
}

// BenchmarkFingerprintsCrashed measures a write to a full table, which is evicted from.
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
