// Package responsebuffer bounds the memory of responses that are read completely before they
// are relayed.
package responsebuffer

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// piece is the size of the pieces, in bytes, in which a body is read. All but the first are
// charged to the budget.
const piece = 64 << 10

// Budget bounds the bytes of all bodies that are held at the same time. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

func (b *Budget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// ErrBudget means that the bodies that are held use the whole budget.
var ErrBudget = errors.New("responses that are read completely before they are relayed use all memory that they may; look for endpoints with large responses, or give the host more memory")

// Read reads a body completely. The caller must call release once it no longer holds the
// body. The error is tooLarge if the body exceeds maxBytes.
func (b *Budget) Read(from io.Reader, maxBytes int, tooLarge error) (body []byte, release func(), err error) {
	taken := int64(0)
	release = func() { b.used.Add(-taken) }
	var buffer bytes.Buffer
	for {
		n, err := io.CopyN(&buffer, from, piece)
		switch {
		case err != nil && !errors.Is(err, io.EOF):
			return nil, release, err
		case buffer.Len() > maxBytes:
			return nil, release, tooLarge
		case err != nil:
			return buffer.Bytes(), release, nil
		case !b.take(n):
			return nil, release, ErrBudget
		}
		taken += n
	}
}
