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

// copyOf keeps what a mirror tells.
type copyOf struct {
	mu      sync.Mutex
	objects map[string]string
	lost    int
}

func (c *copyOf) Replace(listing objectstore.Listing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objects = make(map[string]string)
	for _, item := range listing.Items {
		c.objects[item.Name] = string(item.Value)
	}
}

func (c *copyOf) Apply(event objectstore.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if event.Type == objectstore.EventDelete {
		delete(c.objects, event.Object.Name)
		return
	}
	c.objects[event.Object.Name] = string(event.Object.Value)
}

func (c *copyOf) Lost()     { c.mu.Lock(); defer c.mu.Unlock(); c.lost++ }
func (c *copyOf) Regained() {}

func (c *copyOf) get(name string) func() string {
	return func() string {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.objects[name]
	}
}

const kind objectstore.Kind = "things"

// countingSource counts the calls to a store.
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

var _ = Describe("A mirror of a kind", func() {
	var (
		store  *memstore.Store
		seen   *copyOf
		mirror *Mirror
	)
	BeforeEach(func() {
		store, seen = memstore.New(), &copyOf{}
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

	It("shows what is there and what changes", func() {
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

	It("lists anew when it has word of a change that its watch doesn't show", func() {
		put("a", "1")
		start()
		Eventually(seen.get("a")).Should(Equal("1"))
		seen.mu.Lock()
		seen.objects["a"] = "stale"
		seen.mu.Unlock()
		mirror.Refresh()
		mirror.Refresh() // one is enough
		Eventually(seen.get("a")).Should(Equal("1"))
	})

	It("goes on elsewhere from where it is, without listing anew", func() {
		before, after := &countingSource{Store: store}, &countingSource{Store: store}
		var source atomic.Pointer[countingSource]
		source.Store(before)
		mirror.ReadFrom(func() Source { return source.Load() })
		start()
		put("a", `1`)
		Eventually(seen.get("a")).Should(Equal("1"))
		source.Store(after)
		mirror.Move()
		Eventually(after.watches.Load).Should(Equal(int64(1)))
		put("b", `2`)
		Eventually(seen.get("b")).Should(Equal("2"))
		Expect(before.lists.Load()).To(Equal(int64(1)))
		Expect(after.lists.Load()).To(BeZero())
	})

	It("lists anew, and tells the mirrors of other kinds, when the history is gone", func() {
		gone := make(chan struct{}, 10)
		mirror = New(&forgetful{Store: store, times: 2}, kind, seen)
		mirror.OnGone(func() { gone <- struct{}{} })
		put("a", "1")
		start()
		Eventually(gone).Should(Receive())
		Eventually(gone).Should(Receive())
		put("b", "2")
		Eventually(seen.get("b")).Should(Equal("2"))
		Expect(seen.lost).To(BeZero(), "the store was there all along")
	})
})

var _ = Describe("Following a mirror in place of the store", func() {
	put := func(j *journal, version objectstore.Version, name string) {
		j.apply(objectstore.Event{Type: objectstore.EventPut, Version: version, Object: objectstore.Object{Name: name, Version: version}})
	}
	names := func(u Update) []string {
		var list []string
		for _, e := range u.Events {
			list = append(list, e.Object.Name)
		}
		return list
	}

	It("gives all objects to one that begins, and the changes since to one that has read", func() {
		j := newJournal()
		j.replace(objectstore.Listing{Version: 5, Items: []objectstore.Object{{Name: "a", Version: 2}}})
		put(j, 6, "b")
		put(j, 8, "c")
		update, _ := j.since(0)
		Expect(update.Whole).To(BeTrue())
		Expect(names(update)).To(Equal([]string{"a", "b", "c"}))
		update, _ = j.since(6)
		Expect(update).To(Equal(Update{Covered: 8, Events: update.Events}))
		Expect(names(update)).To(Equal([]string{"c"}))
		j.apply(objectstore.Event{Type: objectstore.EventBookmark, Version: 20})
		update, _ = j.since(8)
		Expect(update).To(Equal(Update{Covered: 20}), "nothing changed up to there")
	})

	It("gives all objects to one that is further behind than the changes kept", func() {
		j := newJournal()
		j.replace(objectstore.Listing{Version: 1})
		for v := objectstore.Version(2); v < 2+2*journalLength; v++ {
			put(j, v, "x")
		}
		update, _ := j.since(2)
		Expect(update.Whole).To(BeTrue())
		update, _ = j.since(2 + journalLength)
		Expect(update.Whole).To(BeFalse())
	})

	It("never misses a change, whenever its follower asks", func() {
		j := newJournal()
		j.replace(objectstore.Listing{Version: 1})
		seen, covered := map[string]bool{}, objectstore.Version(1)
		for v := objectstore.Version(2); v < 200; v++ {
			put(j, v, fmt.Sprint(v))
			if v%7 == 0 {
				update, _ := j.since(covered)
				Expect(update.Whole).To(BeFalse())
				for _, name := range names(update) {
					seen[name] = true
				}
				covered = update.Covered
			}
		}
		Expect(seen).To(HaveLen(195))
	})

	It("waits for a change, and no longer than asked", func() {
		m := New(memstore.New(), kind, &copyOf{})
		m.journal.replace(objectstore.Listing{Version: 3})
		started := time.Now()
		Expect(m.Follow(context.Background(), 3, 50*time.Millisecond).Events).To(BeEmpty())
		Expect(time.Since(started)).To(BeNumerically(">=", 50*time.Millisecond))
		go func() {
			time.Sleep(20 * time.Millisecond)
			put(m.journal, 4, "late")
		}()
		Expect(names(m.Follow(context.Background(), 3, 5*time.Second))).To(Equal([]string{"late"}))
	})
})

// forgetful is a store that has dropped its history a number of times.
type forgetful struct {
	*memstore.Store
	times int
}

func (f *forgetful) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) (objectstore.Watch, error) {
	if f.times > 0 {
		f.times--
		return nil, &objectstore.CompactedError{Oldest: after + 1}
	}
	return f.Store.Watch(ctx, kind, after)
}
