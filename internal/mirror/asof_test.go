package mirror

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// datedSource is a store whose listings and bookmarks are dated.
type datedSource struct {
	*memstore.Store
	listedAt time.Time
	events   chan objectstore.Event
}

func (s *datedSource) List(ctx context.Context, kind objectstore.Kind, prefix string) (objectstore.Listing, error) {
	listing, err := s.Store.List(ctx, kind, prefix)
	listing.AsOf = s.listedAt
	return listing, err
}

func (s *datedSource) Watch(context.Context, objectstore.Kind, objectstore.Version) (objectstore.Watch, error) {
	return s, nil
}
func (s *datedSource) Events() <-chan objectstore.Event { return s.events }
func (s *datedSource) Err() error                       { return nil }
func (s *datedSource) Stop()                            {}

var _ = Describe("The time as of which a mirror is complete", func() {
	// Guards against dating what the store sent by its arrival, which may be long after it if
	// the process stood still.
	It("is that of the source, and does not go back with sources that tell none", func() {
		source := &datedSource{Store: memstore.New(), listedAt: time.Unix(50, 0), events: make(chan objectstore.Event)}
		m := New(source, kind, &recordingHandler{})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = m.Serve(ctx) }()
		asOf := func() time.Time { return m.Reading().AsOf }
		Eventually(asOf).Should(Equal(time.Unix(50, 0)))
		for _, event := range []objectstore.Event{
			{Type: objectstore.EventPut, Version: 2, Object: objectstore.Object{Name: "o"}},
			{Type: objectstore.EventBookmark, Version: 3, AsOf: time.Unix(60, 0)},
			{Type: objectstore.EventBookmark, Version: 4},
		} {
			source.events <- event
			Eventually(func() objectstore.Version { return m.Reading().Covered }).Should(Equal(event.Version))
		}
		Expect(asOf()).To(Equal(time.Unix(60, 0)))
	})
})
