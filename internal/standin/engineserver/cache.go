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
	// cachePrefixes is the capacity of the cache, in prefixes.
	cachePrefixes = 64
	// maxCacheEvents is the number of most recent events that are retained.
	maxCacheEvents = 1024
)

type cachedPrefix struct {
	model string
	hash  uint64
}

type timedEvent struct {
	publishedAt time.Time
	event       engineapi.CacheEvent
}

// cache simulates the prefix cache of an engine. It holds the most recently used
// prompt prefixes and the events about additions and evictions. Events become
// visible after lag, and each event whose sequence number is a multiple of
// gapEvery is dropped.
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

// touch marks the prompt prefix of a generation as used, and adds it to the cache
// if it is missing.
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

// publish assigns the next sequence number to an event and retains the event
// unless it falls into a gap. c.mu must be held.
func (c *cache) publish(prefix cachedPrefix, removed bool) {
	c.sequence++
	if c.gapEvery > 0 && c.sequence%c.gapEvery == 0 {
		return
	}
	event := engineapi.CacheEvent{Sequence: c.sequence, Model: prefix.model, PrefixHash: prefix.hash, Removed: removed}
	c.events = append(c.events, timedEvent{publishedAt: time.Now(), event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

func (s *Server) cacheEvents(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "after is not a number")
	}
	return c.JSON(http.StatusOK, s.cache.eventsAfter(after))
}

func (c *cache) eventsAfter(sequence int64) engineapi.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := engineapi.CacheEvents{Incarnation: c.incarnation, Events: []engineapi.CacheEvent{}}
	for _, timed := range c.events {
		if timed.event.Sequence > sequence && time.Since(timed.publishedAt) >= c.lag {
			batch.Events = append(batch.Events, timed.event)
		}
	}
	return batch
}
