package hop

import (
	"io"
	"sync/atomic"
)

const (
	// initialBufferBytes is the initial size of a body buffer, and
	// unbudgetedBufferBytes the size that each may have whatever the others use.
	initialBufferBytes    = 4 << 10
	unbudgetedBufferBytes = 64 << 10
)

// BufferBudget limits the memory that connections use together for response
// bodies that they have not passed on yet. Targets that respond without end would
// otherwise exhaust the memory of the instance. It is safe for concurrent use.
type BufferBudget struct {
	limit int64
	used  atomic.Int64
}

// NewBufferBudget returns a budget of the given number of bytes, beyond the
// unbudgetedBufferBytes of each connection.
func NewBufferBudget(limit int64) *BufferBudget { return &BufferBudget{limit: limit} }

// Used returns the number of bytes in use.
func (b *BufferBudget) Used() int64 { return b.used.Load() }

// acquire reserves the given number of bytes, and reports whether it did. A nil
// budget has no limit.
func (b *BufferBudget) acquire(bytes int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

func (b *BufferBudget) release(bytes int64) {
	if b != nil {
		b.used.Add(-bytes)
	}
}

// BodyBuffer holds the first part of a response body. It is not safe for
// concurrent use.
type BodyBuffer struct {
	Data     []byte // what has been read
	budget   *BufferBudget
	limit    int64 // maximum length of Data
	reserved int64 // bytes taken from the budget
}

// NewBodyBuffer returns an empty buffer for at most limit bytes. A nil budget has no
// limit.
func NewBodyBuffer(budget *BufferBudget, limit int64) *BodyBuffer {
	return &BodyBuffer{budget: budget, limit: limit, Data: make([]byte, 0, min(limit, initialBufferBytes)+1)}
}

// Fill reads the body until its end, the limit, or the end of the budget. It
// reports whether it has read the whole body.
func (b *BodyBuffer) Fill(body io.Reader) (complete bool, err error) {
	for {
		if len(b.Data) == cap(b.Data) && !b.grow() {
			return false, nil
		}
		n, err := body.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// grow doubles the capacity of the buffer up to the limit plus one byte, which
// tells a body of the limit's length from a longer one. It returns false at the
// limit or if the budget does not allow it.
func (b *BodyBuffer) grow() bool {
	size := min(2*int64(cap(b.Data)), b.limit+1)
	if size <= int64(cap(b.Data)) {
		return false
	}
	if beyond := size - unbudgetedBufferBytes - b.reserved; beyond > 0 {
		if !b.budget.acquire(beyond) {
			return false
		}
		b.reserved += beyond
	}
	grown := make([]byte, len(b.Data), size)
	copy(grown, b.Data)
	b.Data = grown
	return true
}

// Release returns the reserved bytes to the budget.
func (b *BodyBuffer) Release() {
	b.budget.release(b.reserved)
	b.reserved = 0
}
