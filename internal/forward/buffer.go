package forward

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/upstream"
)

const (
	// maxBufferedResponse limits the body of a response that is read completely
	// before it is relayed, in bytes.
	maxBufferedResponse = 4 << 20
	// bufferPiece is the size of the pieces, in bytes, in which such a body is read.
	// All but the first are charged to the buffer budget.
	bufferPiece = 64 << 10
	// defaultBufferBudget is the buffer budget without a setting, in bytes.
	defaultBufferBudget = 32 << 20
)

// bufferBudget bounds the bytes of all bodies that are held at the same time.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *bufferBudget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// errBufferBudget means that the bodies that are held use the whole budget.
var errBufferBudget = errors.New("responses that are read completely before they are relayed use all memory that they may; look for endpoints with large responses, or give the host more memory")

// readBody reads a body completely. The caller must call release once it no longer
// holds the body. The error is an upstream.TooLargeError if the body is too large.
func (b *bufferBudget) readBody(from io.Reader) (body []byte, release func(), err error) {
	taken := int64(0)
	release = func() { b.used.Add(-taken) }
	var buffer bytes.Buffer
	for {
		n, err := io.CopyN(&buffer, from, bufferPiece)
		switch {
		case errors.Is(err, io.EOF):
			return buffer.Bytes(), release, nil
		case err != nil:
			return nil, release, err
		case buffer.Len() > maxBufferedResponse:
			return nil, release, &upstream.TooLargeError{Part: upstream.PartBody, Limit: maxBufferedResponse}
		case !b.take(n):
			return nil, release, errBufferBudget
		}
		taken += n
	}
}
