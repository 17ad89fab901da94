package engineserver

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/labstack/echo/v4"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

const (
	// cachePrefixes is the number of prefixes in the cache.
	cachePrefixes = 64
	// maxCacheEvents is the number of events that are kept.
	maxCacheEvents = 1024
)

type cachedPrefix struct {
	model string
	hash  uint64
}

type timedEvent struct {
	at    time.Time
	event engineapi.CacheEvent
}

// cache keeps the prompt prefixes used last and the events about them.
type cache struct {
	incarnation string
	lag         time.Duration
	gapEvery    int64

	mu       sync.Mutex
	sequence int64
	prefixes *simplelru.LRU[cachedPrefix, struct{}]
	events   []timedEvent
}

func newCache(incarnation string, options Options) *cache {
	c := &cache{incarnation: incarnation, lag: options.ReportLag, gapEvery: options.EventGapEvery}
	evicted := func(prefix cachedPrefix, _ struct{}) { c.publish(prefix, true) }
	prefixes, err := simplelru.NewLRU(cachePrefixes, evicted)
	if err != nil {
		panic(err)
	}
	c.prefixes = prefixes
	return c
}

// touch puts a generation's prompt prefix into the cache.
func (c *cache) touch(generation Generation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	head := generation.Prompt[:min(len(generation.Prompt), engineapi.PrefixBytes)]
	prefix := cachedPrefix{model: generation.Model, hash: xxhash.Sum64String(head)}
	if _, ok := c.prefixes.Get(prefix); ok {
		return
	}
	c.prefixes.Add(prefix, struct{}{})
	c.publish(prefix, false)
}

// publish numbers an event and, unless it falls into a gap, keeps it.
func (c *cache) publish(prefix cachedPrefix, removed bool) {
	c.sequence++
	if c.gapEvery > 0 && c.sequence%c.gapEvery == 0 {
		return
	}
	event := engineapi.CacheEvent{Sequence: c.sequence, Model: prefix.model, PrefixHash: prefix.hash, Removed: removed}
	c.events = append(c.events, timedEvent{at: time.Now(), event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

func (s *Server) cacheEvents(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "after is not a number")
	}
	return c.JSON(http.StatusOK, s.cache.after(after))
}

func (c *cache) after(sequence int64) engineapi.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := engineapi.CacheEvents{Incarnation: c.incarnation, Events: []engineapi.CacheEvent{}}
	for _, timed := range c.events {
		if timed.event.Sequence > sequence && time.Since(timed.at) >= c.lag {
			batch.Events = append(batch.Events, timed.event)
		}
	}
	return batch
}
