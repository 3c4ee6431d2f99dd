package bounds

import (
	"io"
	"sync/atomic"
)

// FreeBytes is what a [Held] may hold without taking from its budget: sound answers are mostly shorter, and wait for none.
const FreeBytes = 16 << 10

// firstRead is the size of the first buffer of an answer.
const firstRead = 4 << 10

// Budget bounds the bytes that the answers in progress hold together. It is safe for concurrent use.
type Budget struct {
	limit int64
	taken atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Taken returns the number of bytes that are taken.
func (bgt *Budget) Taken() int64 { return bgt.taken.Load() }

func (bgt *Budget) take(count int64) bool {
	if bgt.taken.Add(count) > bgt.limit {
		bgt.taken.Add(-count)
		return false
	}
	return true
}

// Held is what one answer holds. Its zero value has no budget and holds any number of bytes.
type Held struct {
	budget *Budget
	taken  int64
}

// Hold returns a Held that takes from the budget, none for nil.
func (bgt *Budget) Hold() Held { return Held{budget: bgt} }

// Resize records that the answer holds a number of bytes, and reports whether it may; if not, nothing has changed.
func (hld *Held) Resize(size int64) bool {
	if hld.budget == nil {
		return true
	}
	more := max(size-FreeBytes, 0) - hld.taken
	if more > 0 && !hld.budget.take(more) {
		return false
	}
	if more < 0 {
		hld.budget.taken.Add(more)
	}
	hld.taken += more
	return true
}

// Release gives back what is held.
func (hld *Held) Release() { hld.Resize(0) }

// Grow returns the buffer with room for size bytes, or false if the budget has none for it. While it is copied the answer
// holds both.
func (hld *Held) Grow(buf []byte, size int) ([]byte, bool) {
	if !hld.Resize(int64(cap(buf) + size)) {
		return buf, false
	}
	buf = append(make([]byte, 0, size), buf...)
	hld.Resize(int64(size))
	return buf, true
}

// ReadWhole reads an answer of at most limit bytes. The rest of a longer one, or of one that the budget has no bytes for, is
// left to be read; whole is false then.
func (hld *Held) ReadWhole(rdr io.Reader, limit int) (text []byte, whole bool, err error) {
	buf := make([]byte, 0, firstRead)
	for {
		if len(buf) > limit {
			return buf, false, nil
		}
		if len(buf) == cap(buf) {
			larger, ok := hld.Grow(buf, min(2*cap(buf), limit+1))
			if !ok {
				return buf, false, nil
			}
			buf = larger
		}
		n, err := rdr.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF && len(buf) <= limit:
			return buf, true, nil
		case err != nil && err != io.EOF:
			return buf, false, err
		}
	}
}
