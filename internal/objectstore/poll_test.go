package objectstore_test

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

var _ = Describe("A polled watch", func() {
	It("asks again from the version it has reached, and ends with the error of a call", func() {
		lost := errors.New("lost")
		var asked []objectstore.Version
		w := objectstore.NewPolledWatch(context.Background(), 3, time.Millisecond,
			func(_ context.Context, after objectstore.Version) ([]objectstore.Event, error) {
				asked = append(asked, after)
				if len(asked) == 3 {
					return nil, lost
				}
				return []objectstore.Event{{Version: after + 2}, {Type: objectstore.EventBookmark, Version: after + 1}}, nil
			})
		var seen []objectstore.Version
		for event := range w.Events() {
			seen = append(seen, event.Version)
		}
		Expect(seen).To(Equal([]objectstore.Version{5, 4, 7, 6}))
		Expect(asked).To(Equal([]objectstore.Version{3, 5, 7}))
		Expect(w.Err()).To(Equal(lost))
	})

	It("ends when it is stopped, also while nobody takes its events", func() {
		w := objectstore.NewPolledWatch(context.Background(), 0, time.Hour,
			func(context.Context, objectstore.Version) ([]objectstore.Event, error) {
				return []objectstore.Event{{Version: 1}}, nil
			})
		w.Stop()
		Eventually(func() bool { _, open := <-w.Events(); return open }).Should(BeFalse())
		Expect(w.Err()).To(MatchError(context.Canceled))
	})
})
