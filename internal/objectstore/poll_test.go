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
	It("polls again from the highest version delivered, and ends with the error of a call", func() {
		lost := errors.New("lost")
		var polled []objectstore.Version
		w := objectstore.NewPolledWatch(context.Background(), 3, time.Millisecond,
			func(_ context.Context, after objectstore.Version) ([]objectstore.Event, error) {
				polled = append(polled, after)
				if len(polled) == 3 {
					return nil, lost
				}
				return []objectstore.Event{{Version: after + 2}, {Type: objectstore.EventBookmark, Version: after + 1}}, nil
			})
		var received []objectstore.Version
		for event := range w.Events() {
			received = append(received, event.Version)
		}
		Expect(received).To(Equal([]objectstore.Version{5, 4, 7, 6}))
		Expect(polled).To(Equal([]objectstore.Version{3, 5, 7}))
		Expect(w.Err()).To(Equal(lost))
	})

	It("ends when it is stopped, also while its events are not received", func() {
		w := objectstore.NewPolledWatch(context.Background(), 0, time.Hour,
			func(context.Context, objectstore.Version) ([]objectstore.Event, error) {
				return []objectstore.Event{{Version: 1}}, nil
			})
		w.Stop()
		Eventually(func() bool { _, open := <-w.Events(); return open }).Should(BeFalse())
		Expect(w.Err()).To(MatchError(context.Canceled))
	})
})
