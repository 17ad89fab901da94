package engineserver

import (
	"sync"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// MemoryAccount is the engine's own account of its memory, in bytes.
type MemoryAccount struct {
	MemoryBytes  int64 `json:"memoryBytes"`
	UsedBytes    int64 `json:"usedBytes"`
	MaxUsedBytes int64 `json:"maxUsedBytes"`
	// Overcommits counts the loads that exceeded the memory.
	Overcommits int `json:"overcommits"`
}

type modelKey struct{ model, version string }

type model struct {
	state   engineapi.ItemState
	bytes   int64
	running int
	// loadedAt orders the models by when they became ready.
	loadedAt int
	idle     chan struct{}
}

type adapter struct {
	model   string
	state   engineapi.ItemState
	bytes   int64
	running int
	idle    chan struct{}
}

// memory holds the models and adapters.
type memory struct {
	mu       sync.Mutex
	total    MemoryAccount
	models   map[modelKey]*model
	adapters map[string]*adapter
	loads    int
}

func newMemory(options Options) *memory {
	m := &memory{
		total:    MemoryAccount{MemoryBytes: options.MemoryBytes},
		models:   make(map[modelKey]*model),
		adapters: make(map[string]*adapter),
	}
	for _, held := range options.Preloaded {
		m.loads++
		m.models[modelKey{held.Model, held.Version}] = &model{state: engineapi.ItemReady, bytes: held.Bytes, loadedAt: m.loads}
		m.reserve(held.Bytes)
	}
	for _, held := range options.PreloadedAdapters {
		m.adapters[held.Adapter] = &adapter{model: held.Model, state: engineapi.ItemReady, bytes: held.Bytes}
		m.reserve(held.Bytes)
	}
	return m
}

func (m *memory) account() MemoryAccount {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}

// reserve takes memory, also beyond what there is; m.mu is held.
func (m *memory) reserve(bytes int64) {
	m.total.UsedBytes += bytes
	m.total.MaxUsedBytes = max(m.total.MaxUsedBytes, m.total.UsedBytes)
	if m.total.UsedBytes > m.total.MemoryBytes {
		m.total.Overcommits++
	}
}

// fits reports whether there is room; m.mu is held.
func (m *memory) fits(bytes int64) bool {
	return m.total.UsedBytes+bytes <= m.total.MemoryBytes
}

// use marks the model or adapter with the name as running a request. Without
// a version, the one that became ready last is taken.
func (m *memory) use(name, version string) (release func(), generation Generation, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.adapters[name]
	base := name
	if held != nil {
		if held.state != engineapi.ItemReady {
			return nil, Generation{}, false
		}
		base = held.model
	}
	key, chosen := m.latest(base, version)
	if chosen == nil {
		return nil, Generation{}, false
	}
	generation = Generation{Model: key.model, Version: key.version}
	chosen.running++
	if held != nil {
		generation.Adapter = name
		held.running++
	}
	return func() { m.release(chosen, held) }, generation, true
}

func (m *memory) latest(name, version string) (modelKey, *model) {
	var latestKey modelKey
	var latest *model
	for key, held := range m.models {
		if key.model != name || version != "" && key.version != version || held.state != engineapi.ItemReady {
			continue
		}
		if latest == nil || held.loadedAt > latest.loadedAt {
			latestKey, latest = key, held
		}
	}
	return latestKey, latest
}

func (m *memory) release(usedModel *model, usedAdapter *adapter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	usedModel.running--
	if usedModel.running == 0 && usedModel.idle != nil {
		close(usedModel.idle)
		usedModel.idle = nil
	}
	if usedAdapter == nil {
		return
	}
	usedAdapter.running--
	if usedAdapter.running == 0 && usedAdapter.idle != nil {
		close(usedAdapter.idle)
		usedAdapter.idle = nil
	}
}

// held returns what a report shows.
func (m *memory) held() ([]engineapi.HeldModel, []engineapi.HeldAdapter, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	models := make([]engineapi.HeldModel, 0, len(m.models))
	for key, held := range m.models {
		models = append(models, engineapi.HeldModel{Model: key.model, Version: key.version, State: held.state, Bytes: held.bytes})
	}
	adapters := make([]engineapi.HeldAdapter, 0, len(m.adapters))
	for name, held := range m.adapters {
		adapters = append(adapters, engineapi.HeldAdapter{Adapter: name, Model: held.model, State: held.state, Bytes: held.bytes})
	}
	return models, adapters, m.total.UsedBytes
}
