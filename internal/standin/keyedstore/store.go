// Package keyedstore is an in-memory stand-in for the key-value log store of
// the users' platform: keyed topics of one partition each, from which the
// newest record of each key can be listed, and one group of members that expire
// unless they renew their membership. It runs in the process of a test.
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

// record is one record of a topic; a record without a value deletes its key.
type record struct {
	key   string
	value []byte
}

// topic is a keyed topic with a single partition.
type topic struct {
	records     []record
	firstOffset int // offset of the oldest record that can still be read
}

// member is an instance in the group. It is removed at its expiry time unless
// it joins again before.
type member struct {
	name    string
	expires time.Time
}

// Store is a stand-in for the store. Its methods are safe for concurrent use.
type Store struct {
	mu            sync.Mutex
	changed       chan struct{} // closed and replaced whenever a topic or a fault changes
	topics        map[string]*topic
	members       []member
	generation    uint64         // increases whenever a member is added or removed
	failureStatus int            // HTTP status of the answer to every call; 0 means no failure
	silent        bool           // no call is answered while set
	calls         map[string]int // number of calls by URL path
	resumed       chan struct{}  // closed and replaced when the silence ends
}

// New returns an empty store.
func New() *Store {
	return &Store{
		changed: make(chan struct{}), topics: map[string]*topic{}, calls: map[string]int{}, resumed: make(chan struct{}),
	}
}

// Put appends a record to the topic. A value other than []byte is encoded as
// JSON; nil or an empty value deletes the key.
func (s *Store) Put(topicName, key string, value any) {
	var data []byte
	if value != nil {
		var isBytes bool
		if data, isBytes = value.([]byte); !isBytes {
			data, _ = json.Marshal(value)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	t.records = append(t.records, record{key, data})
	s.notifyChanged()
}

// TruncateLog makes all present records of the topic unavailable to reads by
// offset. The newest record of each key is still listed.
func (s *Store) TruncateLog(topicName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	t.firstOffset = len(t.records)
	s.notifyChanged()
}

// FailWith makes every new call fail with the given HTTP status; 0 ends the
// failure.
func (s *Store) FailWith(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureStatus = status
	s.notifyChanged()
}

// SetSilent starts or ends a silence, during which the store answers no call,
// including long polls that are already waiting.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent && !silent {
		close(s.resumed)
		s.resumed = make(chan struct{})
	}
	s.silent = silent
	s.notifyChanged()
}

// Calls returns the number of calls to the URL path, including failed ones.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// topic returns the topic and creates it if needed. The caller holds s.mu.
func (s *Store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{}
	}
	return s.topics[name]
}

// notifyChanged wakes all long polls. The caller holds s.mu.
func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(s.injectFaults)
	router.Get("/v1/log-newest", s.serveNewest)
	router.Get("/v1/log-read", s.serveRead)
	router.Post("/v1/log-join", s.serveJoin)
	router.Post("/v1/log-leave", s.serveLeave)
	router.Get("/v1/log-owners", s.serveOwners)
	return router
}

// injectFaults counts each call and applies the faults in force.
func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		status, silent, resumed := s.failureStatus, s.silent, s.resumed
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

// hang blocks until the client disconnects or the silence ends, and then aborts
// the request without an answer. net/http detects that a client has
// disconnected only after the request body has been read.
func hang(r *http.Request, resumed <-chan struct{}) {
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-resumed:
	}
	panic(http.ErrAbortHandler)
}

// item is one record in an answer of serveNewest.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

// maxPageItems bounds the items of one page. It is small, so that tests see
// more than one page.
const maxPageItems = 3

// serveNewest lists the newest record of each key after the given key, sorted
// by key, one page at a time.
func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
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
	for _, it := range newest {
		if it.Key > r.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	hasMore := len(items) > maxPageItems
	if hasMore {
		items = items[:maxPageItems]
	}
	writeJSON(w, map[string]any{"items": items, "has_more": hasMore, "end_offset": len(t.records)})
}

// serveRead returns the records from an offset on. It waits up to wait_ms
// milliseconds for a record if there is none yet, and answers with status 410
// and the first available offset if the records have been deleted.
func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		if s.silent {
			resumed := s.resumed
			s.mu.Unlock()
			hang(r, resumed)
		}
		if from < t.firstOffset {
			first := t.firstOffset
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]any{"first_offset": first})
			return
		}
		if from < len(t.records) || expired {
			data := encodeRecords(t, min(from, len(t.records)))
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

// encodeRecords encodes the end offset, the first available offset, and each
// record from the given offset on with its length, all integers in big-endian
// order. A key is at most 255 bytes long.
func encodeRecords(t *topic, from int) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	data = binary.BigEndian.AppendUint64(data, uint64(t.firstOffset))
	for _, rec := range t.records[from:] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(rec.key)+len(rec.value)))
		data = append(data, byte(len(rec.key)))
		data = append(data, rec.key...)
		data = append(data, rec.value...)
	}
	return data
}

// groupCall is the body of a call to join or leave the group.
type groupCall struct {
	Member string `json:"member"`
	TTLMs  int64  `json:"ttl_ms"`
}

// serveJoin adds the member to the group or renews its membership.
func (s *Store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var call groupCall
	_ = json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	index := slices.IndexFunc(s.members, func(m member) bool { return m.name == call.Member })
	if index < 0 {
		s.members = append(s.members, member{name: call.Member})
		index = len(s.members) - 1
		s.generation++
	}
	s.members[index].expires = time.Now().Add(time.Duration(call.TTLMs) * time.Millisecond)
	writeJSON(w, map[string]any{"generation": s.generation, "ttl_ms": call.TTLMs, "parts": [][]any{}})
}

// serveLeave removes the member from the group.
func (s *Store) serveLeave(w http.ResponseWriter, r *http.Request) {
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

// removeExpired removes the members whose time to live has passed. The caller
// holds s.mu.
func (s *Store) removeExpired() {
	now, before := time.Now(), len(s.members)
	s.members = slices.DeleteFunc(s.members, func(m member) bool { return now.After(m.expires) })
	if len(s.members) != before {
		s.generation++
	}
}

// serveOwners lists the members of the group.
func (s *Store) serveOwners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	rows := [][]any{}
	for i, m := range s.members {
		rows = append(rows, []any{"members-0", i, m.name, 0})
	}
	writeJSON(w, map[string]any{"parts": rows})
}

func writeJSON(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value)
}
