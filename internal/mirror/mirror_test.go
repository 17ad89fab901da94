package mirror

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// recordingHandler records the objects that a mirror passes on, and how often
// the store became unavailable.
type recordingHandler struct {
	mu      sync.Mutex
	objects map[string]string
	outages int
}

func (c *recordingHandler) Replace(listing objectstore.Listing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objects = make(map[string]string)
	for _, item := range listing.Items {
		c.objects[item.Name] = string(item.Value)
	}
}

func (c *recordingHandler) Apply(event objectstore.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if event.Type == objectstore.EventDelete {
		delete(c.objects, event.Object.Name)
		return
	}
	c.objects[event.Object.Name] = string(event.Object.Value)
}

func (c *recordingHandler) StoreUnavailable(time.Time) { c.mu.Lock(); defer c.mu.Unlock(); c.outages++ }
func (c *recordingHandler) StoreAvailable()            {}

func (c *recordingHandler) get(name string) func() string {
	return func() string {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.objects[name]
	}
}

const kind objectstore.Kind = "things"

// countingSource counts the lists and watches of a store.
type countingSource struct {
	*memstore.Store
	lists, watches atomic.Int64
}

func (c *countingSource) List(ctx context.Context, kind objectstore.Kind, prefix string) (objectstore.Listing, error) {
	c.lists.Add(1)
	return c.Store.List(ctx, kind, prefix)
}

func (c *countingSource) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) (objectstore.Watch, error) {
	c.watches.Add(1)
	return c.Store.Watch(ctx, kind, after)
}

var _ = Describe("Mirror of a kind", func() {
	var (
		store  *memstore.Store
		seen   *recordingHandler
		mirror *Mirror
	)
	BeforeEach(func() {
		store, seen = memstore.New(), &recordingHandler{}
		mirror = New(store, kind, seen)
	})
	start := func() {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = mirror.Serve(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			Eventually(done).Should(BeClosed())
		})
	}
	put := func(name, value string) {
		_, err := store.Create(context.Background(), kind, name, "w"+name, json.RawMessage(value))
		Expect(err).NotTo(HaveOccurred())
	}

	It("passes on existing objects and changes", func() {
		put("a", "1")
		start()
		Eventually(seen.get("a")).Should(Equal("1"))
		put("b", "2")
		Eventually(seen.get("b")).Should(Equal("2"))
		Eventually(func() objectstore.Version { return mirror.Reading().Changed }).Should(Equal(objectstore.Version(2)))
		object, err := store.Get(context.Background(), kind, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Delete(context.Background(), kind, "a", object.Version)).To(Succeed())
		Eventually(seen.get("a")).Should(BeEmpty())
	})

	It("lists again when Refresh is called for a change that its watch missed", func() {
		put("a", "1")
		start()
		Eventually(seen.get("a")).Should(Equal("1"))
		seen.mu.Lock()
		seen.objects["a"] = "stale"
		seen.mu.Unlock()
		mirror.Refresh()
		mirror.Refresh() // merged with the first
		Eventually(seen.get("a")).Should(Equal("1"))
	})

	It("continues at another source from the version reached, without listing again", func() {
		before, after := &countingSource{Store: store}, &countingSource{Store: store}
		var source atomic.Pointer[countingSource]
		source.Store(before)
		mirror.SetSourceSelector(func() Source { return source.Load() })
		start()
		put("a", `1`)
		Eventually(seen.get("a")).Should(Equal("1"))
		source.Store(after)
		mirror.ReselectSource()
		Eventually(after.watches.Load).Should(Equal(int64(1)))
		put("b", `2`)
		Eventually(seen.get("b")).Should(Equal("2"))
		Expect(before.lists.Load()).To(Equal(int64(1)))
		Expect(after.lists.Load()).To(BeZero())
	})

	It("lists again and notifies the mirrors of other kinds when the store dropped its history", func() {
		historyLost := make(chan struct{}, 10)
		mirror = New(&compactedStore{Store: store, times: 2}, kind, seen)
		mirror.OnHistoryLost(func() { historyLost <- struct{}{} })
		put("a", "1")
		start()
		Eventually(historyLost).Should(Receive())
		Eventually(historyLost).Should(Receive())
		put("b", "2")
		Eventually(seen.get("b")).Should(Equal("2"))
		Expect(seen.outages).To(BeZero(), "the store was available throughout")
	})
})

var _ = Describe("Following a mirror instead of the store", func() {
	put := func(c *watchCache, version objectstore.Version, name string) {
		c.apply(objectstore.Event{Type: objectstore.EventPut, Version: version, Object: objectstore.Object{Name: name, Version: version}})
	}
	names := func(u Update) []string {
		var list []string
		for _, e := range u.Events {
			list = append(list, e.Object.Name)
		}
		return list
	}

	It("returns all objects to a new follower and only later changes to one that has read", func() {
		c := newWatchCache()
		c.replace(objectstore.Listing{Version: 5, Items: []objectstore.Object{{Name: "a", Version: 2}}})
		put(c, 6, "b")
		put(c, 8, "c")
		update, _ := c.changesSince(0)
		Expect(update.Whole).To(BeTrue())
		Expect(names(update)).To(Equal([]string{"a", "b", "c"}))
		update, _ = c.changesSince(6)
		Expect(update).To(Equal(Update{Covered: 8, Events: update.Events}))
		Expect(names(update)).To(Equal([]string{"c"}))
		c.apply(objectstore.Event{Type: objectstore.EventBookmark, Version: 20})
		update, _ = c.changesSince(8)
		Expect(update).To(Equal(Update{Covered: 20}), "no changes up to the bookmark")
	})

	It("returns all objects to a follower that is further behind than the changes kept", func() {
		c := newWatchCache()
		c.replace(objectstore.Listing{Version: 1})
		for v := objectstore.Version(2); v < 2+2*maxCachedChanges; v++ {
			put(c, v, "x")
		}
		update, _ := c.changesSince(2)
		Expect(update.Whole).To(BeTrue())
		update, _ = c.changesSince(2 + maxCachedChanges)
		Expect(update.Whole).To(BeFalse())
	})

	It("never misses a change, whenever a follower reads", func() {
		c := newWatchCache()
		c.replace(objectstore.Listing{Version: 1})
		seen, covered := map[string]bool{}, objectstore.Version(1)
		for v := objectstore.Version(2); v < 200; v++ {
			put(c, v, fmt.Sprint(v))
			if v%7 == 0 {
				update, _ := c.changesSince(covered)
				Expect(update.Whole).To(BeFalse())
				for _, name := range names(update) {
					seen[name] = true
				}
				covered = update.Covered
			}
		}
		Expect(seen).To(HaveLen(195))
	})

	It("waits for a change, and no longer than requested", func() {
		m := New(memstore.New(), kind, &recordingHandler{})
		m.cache.replace(objectstore.Listing{Version: 3})
		started := time.Now()
		Expect(m.Follow(context.Background(), 3, 50*time.Millisecond).Events).To(BeEmpty())
		Expect(time.Since(started)).To(BeNumerically(">=", 50*time.Millisecond))
		go func() {
			time.Sleep(20 * time.Millisecond)
			put(m.cache, 4, "late")
		}()
		Expect(names(m.Follow(context.Background(), 3, 5*time.Second))).To(Equal([]string{"late"}))
	})
})

// compactedStore is a store whose first watches fail because it has dropped its
// history. times is the number of watches left to fail.
type compactedStore struct {
	*memstore.Store
	times int
}

func (c *compactedStore) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) (objectstore.Watch, error) {
	if c.times > 0 {
		c.times--
		return nil, &objectstore.CompactedError{Oldest: after + 1}
	}
	return c.Store.Watch(ctx, kind, after)
}
