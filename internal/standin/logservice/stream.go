package logservice

import "time"

// Limits of one page. A page holds at least one record if there is one from the
// offset on, even if the record alone is larger than maxPageBytes.
const (
	defaultPageRecords = 100
	maxPageRecords     = 1000
	maxPageBytes       = 4 << 20
)

// Record is one record as a read returns it.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read. First is the offset of the oldest retained
// record, Next the offset of the next append.
type Page struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// stream is a sequence of records. The service's mutex guards it.
type stream struct {
	firstOffset uint64
	records     []storedRecord
}

// storedRecord is a record with the time at which it was stored.
type storedRecord struct {
	storedAt time.Time
	data     []byte
}

func (s *stream) nextOffset() uint64 { return s.firstOffset + uint64(len(s.records)) }

// append adds a record and returns its offset.
func (s *stream) append(now time.Time, data []byte) uint64 {
	offset := s.nextOffset()
	s.records = append(s.records, storedRecord{storedAt: now, data: data})
	return offset
}

// trim drops the oldest records that exceed the retention.
func (s *stream) trim(now time.Time, maxRecords int, maxAge time.Duration) {
	drop := 0
	if maxRecords > 0 {
		drop = max(0, len(s.records)-maxRecords)
	}
	for maxAge > 0 && drop < len(s.records) && now.Sub(s.records[drop].storedAt) > maxAge {
		drop++
	}
	s.firstOffset += uint64(drop)
	s.records = s.records[drop:]
}

// page returns the retained records from an offset on, up to the limits of a
// page.
func (s *stream) page(from uint64, limit int) Page {
	page := Page{First: s.firstOffset, Next: s.nextOffset(), Records: []Record{}}
	pageBytes := 0
	for offset := max(from, s.firstOffset); offset < s.nextOffset() && len(page.Records) < limit; offset++ {
		data := s.records[offset-s.firstOffset].data
		pageBytes += len(data)
		if pageBytes > maxPageBytes && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, Record{Offset: offset, Data: data})
	}
	return page
}

// tokenBucket limits the rate of appends. A rate of 0 means no limit.
type tokenBucket struct {
	tokensPerSecond float64
	burst           float64 // capacity of the bucket
	tokens          float64
	refilledAt      time.Time
}

func newTokenBucket(rate float64, burst int, now time.Time) tokenBucket {
	capacity := float64(max(burst, 1))
	return tokenBucket{tokensPerSecond: rate, burst: capacity, tokens: capacity, refilledAt: now}
}

// take takes a token and reports whether there was one.
func (b *tokenBucket) take(now time.Time) bool {
	if b.tokensPerSecond == 0 {
		return true
	}
	b.tokens = min(b.burst, b.tokens+b.tokensPerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
