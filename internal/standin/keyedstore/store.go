// Package keyedstore is a stand-in for the store of the users' platform: topics
// with partitions, of which the keyed ones keep the newest record of each key, and
// groups of members. It runs in the process of a test.
package keyedstore

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// record is one record of a topic; a record without a value ends its key.
type record struct {
	key   string
	value []byte
}

// topic is the only partition of a keyed topic.
type topic struct {
	records []record
	first   int // offset of the first record that is still kept
}

// member is an instance in the group.
type member struct {
	name    string
	expires time.Time
}

// Store is a stand-in store. Its methods are safe for concurrent use.
type Store struct {
	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at each change
	topics     map[string]*topic
	members    []member
	generation uint64
	status     int  // answered to every call; 0 while the store is up
	silent     bool // no call is answered
	calls      map[string]int
	resumed    chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		changed: make(chan struct{}), topics: map[string]*topic{}, calls: map[string]int{}, resumed: make(chan struct{}),
	}
}

// Put appends a record; an empty value ends the key.
func (s *Store) Put(name, key string, value any) {
	var data []byte
	if value != nil {
		var isRaw bool
		if data, isRaw = value.([]byte); !isRaw {
			data, _ = json.Marshal(value)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, record{key, data})
	s.notify()
}

// Forget deletes the records of a topic; the newest of each key stay listed.
func (s *Store) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = len(t.records)
	s.notify()
}

// Refuse makes every call fail with the given status; 0 ends that.
func (s *Store) Refuse(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
	s.notify()
}

// Silence makes the store answer nothing, also not to calls that wait already.
func (s *Store) Silence(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent && !silent {
		close(s.resumed)
		s.resumed = make(chan struct{})
	}
	s.silent = silent
	s.notify()
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

func (s *Store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{}
	}
	return s.topics[name]
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(s.fail)
	router.Get("/v1/log-newest", s.newest)
	router.Get("/v1/log-read", s.read)
	router.Post("/v1/log-join", s.join)
	router.Post("/v1/log-leave", s.leave)
	router.Get("/v1/log-owners", s.owners)
	return router
}

// fail counts calls and applies the failures.
func (s *Store) fail(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		status, silent, resumed := s.status, s.silent, s.resumed
		s.mu.Unlock()
		switch {
		case silent:
			hang(r, resumed)
		case status != 0:
			w.WriteHeader(status)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// hang answers nothing until the caller has gone or the silence ends. The server
// notices that a caller has gone only after the body of the request was read.
func hang(r *http.Request, resumed <-chan struct{}) {
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-resumed:
	}
	panic(http.ErrAbortHandler)
}

type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

// pageSize is small, so that tests see more than one page.
const pageSize = 3

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	newest := map[string]item{}
	for offset, rec := range t.records {
		if len(rec.value) == 0 {
			delete(newest, rec.key)
			continue
		}
		newest[rec.key] = item{rec.key, rec.value, offset}
	}
	var items []item
	for _, i := range newest {
		if i.Key > r.URL.Query().Get("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "end_offset": len(t.records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		if s.silent {
			resumed := s.resumed
			s.mu.Unlock()
			hang(r, resumed)
		}
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]any{"first_offset": first})
			return
		}
		if from < len(t.records) || expired {
			data := encode(t, from)
			s.mu.Unlock()
			_, _ = w.Write(data)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func encode(t *topic, from int) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	data = binary.BigEndian.AppendUint64(data, uint64(t.first))
	for _, rec := range t.records[from:] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(rec.key)+len(rec.value)))
		data = append(data, byte(len(rec.key)))
		data = append(data, rec.key...)
		data = append(data, rec.value...)
	}
	return data
}

type groupCall struct {
	Member string `json:"member"`
	TTL    int64  `json:"ttl_ms"`
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var call groupCall
	_ = json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	at := slices.IndexFunc(s.members, func(m member) bool { return m.name == call.Member })
	if at < 0 {
		s.members = append(s.members, member{name: call.Member})
		at = len(s.members) - 1
		s.generation++
	}
	s.members[at].expires = time.Now().Add(time.Duration(call.TTL) * time.Millisecond)
	writeJSON(w, map[string]any{"generation": s.generation, "ttl_ms": call.TTL, "parts": [][]any{}})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var call groupCall
	_ = json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.members)
	s.members = slices.DeleteFunc(s.members, func(m member) bool { return m.name == call.Member })
	if len(s.members) != before {
		s.generation++
	}
	writeJSON(w, map[string]any{})
}

func (s *Store) expire() {
	now, before := time.Now(), len(s.members)
	s.members = slices.DeleteFunc(s.members, func(m member) bool { return now.After(m.expires) })
	if len(s.members) != before {
		s.generation++
	}
}

func (s *Store) owners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rows := [][]any{}
	for i, m := range s.members {
		rows = append(rows, []any{"members-0", i, m.name, 0})
	}
	writeJSON(w, map[string]any{"parts": rows})
}

func writeJSON(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value)
}
