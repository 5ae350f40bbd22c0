package logservice

import "time"

// Limits of one page. A page holds at least one record if there is one.
const (
	defaultPage  = 100
	maxPage      = 1000
	maxPageBytes = 4 << 20
)

// Record is one record as a read returns it.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the body of a read.
type Page struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// stream is a sequence of records. The service's mutex guards it.
type stream struct {
	first   uint64
	records []stored
}

type stored struct {
	at   time.Time
	data []byte
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) append(now time.Time, data []byte) uint64 {
	offset := s.next()
	s.records = append(s.records, stored{at: now, data: data})
	return offset
}

// trim drops records beyond the retention.
func (s *stream) trim(now time.Time, retainRecords int, retainFor time.Duration) {
	drop := 0
	if retainRecords > 0 {
		drop = max(0, len(s.records)-retainRecords)
	}
	for retainFor > 0 && drop < len(s.records) && now.Sub(s.records[drop].at) > retainFor {
		drop++
	}
	s.first += uint64(drop)
	s.records = s.records[drop:]
}

// page returns the retained records from an offset on.
func (s *stream) page(from uint64, limit int) Page {
	page := Page{First: s.first, Next: s.next(), Records: []Record{}}
	size := 0
	for offset := max(from, s.first); offset < s.next() && len(page.Records) < limit; offset++ {
		data := s.records[offset-s.first].data
		size += len(data)
		if size > maxPageBytes && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, Record{Offset: offset, Data: data})
	}
	return page
}

// allowance is a token bucket for appends.
type allowance struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

func newAllowance(rate float64, burst int, now time.Time) allowance {
	most := float64(max(burst, 1))
	return allowance{rate: rate, burst: most, tokens: most, last: now}
}

func (a *allowance) take(now time.Time) bool {
	if a.rate == 0 {
		return true
	}
	a.tokens = min(a.burst, a.tokens+a.rate*now.Sub(a.last).Seconds())
	a.last = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
