package membudget_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/membudget"
)

func TestMembudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Membudget")
}

var _ = Describe("The budget of request bodies", func() {
	const limit = 1 << 20
	var budget *membudget.Budget
	BeforeEach(func() { budget = membudget.New(limit) })
	read := func(size int64) (*membudget.Body, error) {
		return budget.Read(bytes.NewReader(make([]byte, size)), size)
	}
	exceeded := func(err error) bool {
		var e *membudget.ExceededError
		return errors.As(err, &e)
	}

	// Guards against a host that holds all bodies that arrive, beyond its memory.
	It("refuses a body before it is read, until others are released", func() {
		first, err := read(limit / 2)
		Expect(err).NotTo(HaveOccurred())
		from := bytes.NewReader(make([]byte, limit/2))
		_, err = budget.Read(from, limit/2)
		Expect(exceeded(err)).To(BeTrue(), "%v", err)
		Expect(from.Len()).To(Equal(limit/2), "nothing was read")
		first.Release()
		first.Release()
		Expect(budget.Used()).To(BeZero())
		_, err = read(limit / 2)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against large bodies that leave no room for small ones.
	It("keeps a part for small bodies", func() {
		for {
			if _, err := read(limit / 8); err != nil {
				break
			}
		}
		for range 3 {
			_, err := read(membudget.SmallBody)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against a body without a declared length that is read without a bound.
	It("stops reading a body of unknown length", func() {
		var read int64
		_, err := budget.Read(io.TeeReader(io.LimitReader(zeros{}, 100*limit), writerFunc(func(n int) { read += int64(n) })), -1)
		Expect(exceeded(err)).To(BeTrue(), "%v", err)
		Expect(read).To(BeNumerically("<=", limit))
		Expect(budget.Used()).To(BeZero())
	})

	It("returns whole bodies, and the error of the reader", func() {
		body, err := budget.Read(strings.NewReader("hello"), -1)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body.Data)).To(Equal("hello"))
		_, err = budget.Read(strings.NewReader("hell"), 5)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		body.Release()
		Expect(budget.Used()).To(BeZero())
	})
})

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

type writerFunc func(n int)

func (f writerFunc) Write(b []byte) (int, error) {
	f(len(b))
	return len(b), nil
}
