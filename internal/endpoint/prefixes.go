package endpoint

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// prefixesPerEndpoint is the maximum number of prompt prefixes kept per engine.
const prefixesPerEndpoint = 4096

type prefixKey struct {
	model string
	hash  uint64
}

// PrefixSet is an approximation of the prompt prefixes that an engine has
// cached, with LRU eviction. It is safe for concurrent use. IsCached may be
// called on a nil set, which is empty.
type PrefixSet struct {
	entries *lru.Cache[prefixKey, struct{}]
}

// NewPrefixSet returns an empty set.
func NewPrefixSet() *PrefixSet {
	entries, err := lru.New[prefixKey, struct{}](prefixesPerEndpoint)
	if err != nil {
		panic(err) // New fails only for a size below 1
	}
	return &PrefixSet{entries: entries}
}

// PrefixHash returns the hash that identifies a prompt's prefix in cache events.
func PrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), engineapi.PrefixBytes)])
}

// IsCached reports whether the prefix of the model is probably cached.
func (p *PrefixSet) IsCached(model string, hash uint64) bool {
	return p != nil && p.entries.Contains(prefixKey{model, hash})
}

// Add records that the prefix was sent to the engine or cached by it.
func (p *PrefixSet) Add(model string, hash uint64) {
	p.entries.Add(prefixKey{model, hash}, struct{}{})
}

// Remove records that the engine has evicted a prefix.
func (p *PrefixSet) Remove(model string, hash uint64) { p.entries.Remove(prefixKey{model, hash}) }

func (p *PrefixSet) apply(event engineapi.CacheEvent) {
	if event.Removed {
		p.Remove(event.Model, event.PrefixHash)
		return
	}
	p.Add(event.Model, event.PrefixHash)
}

func (p *PrefixSet) clear() { p.entries.Purge() }
