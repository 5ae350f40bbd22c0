package config_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarhoist.example/config"
)

// world is a log with retention, the chain that a reader of the whole log sees,
// and readers that start at any time.
type world struct {
	records []config.Record
	first   uint64
	chain   []config.State // by version
	readers []*reader
	offers  []config.Snapshot    // sent by readers, delivered at any time
	marks   []config.Checkpoint  // written by readers, appended at any time
	batches map[int]config.Batch // reads under way, by reader
	ids     int
	now     time.Time
}

type reader struct {
	order *config.Order
	last  uint64
}

func newWorld() *world {
	return &world{chain: []config.State{{}}, batches: map[int]config.Batch{}, now: time.Unix(1_000_000, 0)}
}

// add appends a record and extends the reference chain by the plain rule.
func (w *world) add(r config.Record) {
	offset, newest := uint64(len(w.records)), w.chain[len(w.chain)-1]
	w.records = append(w.records, r)
	p, ok := r.(config.Publication)
	if ok && p.Base == newest.Version && p.ID != newest.ID && len(config.Validate(p.Config)) == 0 {
		w.chain = append(w.chain, config.State{Version: p.Base + 1, ID: p.ID, Offset: offset, Config: p.Config})
	}
}

func (w *world) publish(t *rapid.T) {
	w.ids++
	newest := uint64(len(w.chain) - 1)
	base := newest - min(newest, rapid.Uint64Range(0, 2).Draw(t, "behind"))
	queue := rapid.IntRange(-1, 4).Draw(t, "queue") // -1 is invalid
	w.add(config.Publication{ID: fmt.Sprintf("p%d", w.ids), Base: base, Config: sample(queue)})
}

func (w *world) read(i, limit int) config.Batch {
	from := w.readers[i].order.ReadFrom()
	if from < w.first {
		w.readers[i].order.Trimmed(w.first)
		from = w.readers[i].order.ReadFrom()
	}
	b := config.Batch{From: from, First: w.first, End: uint64(len(w.records))}
	for o := max(from, w.first); o < b.End && len(b.Entries) < limit; o++ {
		b.Entries = append(b.Entries, config.Entry{Offset: o, Record: w.records[o]})
	}
	return b
}

// consume checks the verdicts of one batch against the reference chain.
func (w *world) consume(t *rapid.T, i int, b config.Batch) {
	for _, v := range w.readers[i].order.Consume(w.now, b) {
		switch v.Kind {
		case config.Accepted:
			if v.Version >= uint64(len(w.chain)) || w.chain[v.Version].ID != v.ID || w.chain[v.Version].Offset != v.Offset {
				t.Fatalf("reader %d accepted %s at offset %d as version %d; the chain has not", i, v.ID, v.Offset, v.Version)
			}
		case config.Rejected:
			for _, s := range w.chain[1:] {
				if s.Offset == v.Offset {
					t.Fatalf("reader %d rejected %s at offset %d (%s); the chain has it", i, v.ID, v.Offset, v.Reason)
				}
			}
		case config.Skipped:
			if _, garbage := w.records[v.Offset].(config.Unreadable); !garbage {
				t.Fatalf("reader %d skipped offset %d: %s %v", i, v.Offset, v.Detail, v.Problems)
			}
		case config.Diverged:
			t.Fatalf("reader %d: offset %d: %s", i, v.Offset, v.Detail)
		}
	}
	w.check(t, i)
}

func (w *world) check(t *rapid.T, i int) {
	r := w.readers[i]
	s, ok := r.order.InForce()
	if !ok {
		if r.last > 0 {
			t.Fatalf("reader %d lost its state", i)
		}
		return
	}
	if s.Version < r.last {
		t.Fatalf("reader %d went from version %d to %d", i, r.last, s.Version)
	}
	if s.Version == 0 || s != w.chain[s.Version] {
		t.Fatalf("reader %d holds %s as version %d; the chain has %s", i, s.ID, s.Version, w.chain[s.Version].ID)
	}
	r.last = s.Version
}

// step performs one random action.
func (w *world) step(t *rapid.T) {
	w.now = w.now.Add(time.Second)
	action := rapid.SampledFrom([]string{
		"publish", "publish", "duplicate", "garbage", "trim", "start", "read", "read", "read",
		"begin read", "end read", "send", "deliver", "note checkpoint", "append checkpoint", "log down",
	}).Draw(t, "action")
	switch action {
	case "publish":
		w.publish(t)
	case "duplicate":
		if len(w.records) > 0 {
			w.add(w.records[rapid.IntRange(0, len(w.records)-1).Draw(t, "record")])
		}
	case "garbage":
		w.add(config.Unreadable{Reason: "test"})
	case "trim":
		w.first += rapid.Uint64Range(0, uint64(len(w.records))-w.first).Draw(t, "trim")
	case "start":
		w.readers = append(w.readers, &reader{order: config.NewOrder()})
	default:
		if len(w.readers) > 0 {
			w.act(t, action, rapid.IntRange(0, len(w.readers)-1).Draw(t, "reader"))
		}
	}
}

func (w *world) act(t *rapid.T, action string, i int) {
	order := w.readers[i].order
	switch action {
	case "read":
		w.consume(t, i, w.read(i, rapid.IntRange(1, 6).Draw(t, "limit")))
	case "begin read":
		w.batches[i] = w.read(i, rapid.IntRange(1, 6).Draw(t, "limit"))
	case "end read":
		if b, found := w.batches[i]; found {
			w.consume(t, i, b)
		}
	case "send":
		if s, ok := order.Snapshot(); ok {
			w.offers = append(w.offers, s)
		}
		if s, ok := order.InForce(); ok {
			w.offers = append(w.offers, s.Snapshot())
		}
	case "deliver":
		if len(w.offers) > 0 {
			offer := rapid.SampledFrom(w.offers).Draw(t, "offer")
			if v := order.Offer(w.now, offer); v.Kind == config.Diverged || v.Kind == config.Skipped {
				t.Fatalf("reader %d: %s: %s %v", i, v.Kind, v.Detail, v.Problems)
			}
			w.check(t, i)
		}
	case "note checkpoint":
		if c, ok := order.Checkpoint(w.now); ok {
			w.marks = append(w.marks, c)
		}
	case "append checkpoint":
		if len(w.marks) > 0 {
			w.add(rapid.SampledFrom(w.marks).Draw(t, "checkpoint"))
		}
	case "log down":
		order.LogFailed()
		w.check(t, i)
	}
}

func (w *world) writeCheckpoint() bool {
	for _, r := range w.readers {
		if c, ok := r.order.Checkpoint(w.now); ok && !r.order.Gap() {
			w.add(c)
			return true
		}
	}
	return false
}

// drain lets a reader read to the end of the log.
func (w *world) drain(t *rapid.T, i int) {
	for range 6 {
		w.consume(t, i, w.read(i, 64))
	}
}

// Guards against forks and reverted versions under any interleaving of
// publishers, delayed duplicates, trims, checkpoints and peers' states.
func TestOrderProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.step(t)
		}
		for i := range w.readers {
			w.drain(t, i)
		}
		// One reader without a gap writes a checkpoint; everyone, and a
		// newcomer, must then reach the end of the chain.
		if len(w.chain) == 1 || !w.writeCheckpoint() {
			return
		}
		w.readers = append(w.readers, &reader{order: config.NewOrder()})
		for i := range w.readers {
			w.drain(t, i)
			if w.readers[i].order.Gap() || w.readers[i].last != uint64(len(w.chain)-1) {
				t.Fatalf("reader %d stays at version %d of %d", i, w.readers[i].last, len(w.chain)-1)
			}
		}
	})
}
