package engineserver

import (
	"sync"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// MemoryUsage is the engine's memory accounting, in bytes.
type MemoryUsage struct {
	MemoryBytes  int64 `json:"memoryBytes"`
	UsedBytes    int64 `json:"usedBytes"`
	MaxUsedBytes int64 `json:"maxUsedBytes"`
	// Overcommits is the number of loads that exceeded MemoryBytes.
	Overcommits int `json:"overcommits"`
}

type modelKey struct{ model, version string }

type model struct {
	state   engineapi.ItemState
	bytes   int64
	running int
	// readyOrder is the position of the model in the order in which models became
	// ready.
	readyOrder int
	idle       chan struct{}
}

type adapter struct {
	model   string
	state   engineapi.ItemState
	bytes   int64
	running int
	idle    chan struct{}
}

// memory tracks the models and adapters that the engine holds and their memory.
type memory struct {
	mu         sync.Mutex
	total      MemoryUsage
	models     map[modelKey]*model
	adapters   map[string]*adapter
	readyCount int
}

func newMemory(options Options) *memory {
	m := &memory{
		total:    MemoryUsage{MemoryBytes: options.MemoryBytes},
		models:   make(map[modelKey]*model),
		adapters: make(map[string]*adapter),
	}
	for _, held := range options.Preloaded {
		m.readyCount++
		m.models[modelKey{held.Model, held.Version}] = &model{state: engineapi.ItemReady, bytes: held.Bytes, readyOrder: m.readyCount}
		m.reserve(held.Bytes)
	}
	for _, held := range options.PreloadedAdapters {
		m.adapters[held.Adapter] = &adapter{model: held.Model, state: engineapi.ItemReady, bytes: held.Bytes}
		m.reserve(held.Bytes)
	}
	return m
}

func (m *memory) usage() MemoryUsage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}

// reserve adds to the used memory, without a limit, and counts the overcommits.
// m.mu must be held.
func (m *memory) reserve(bytes int64) {
	m.total.UsedBytes += bytes
	m.total.MaxUsedBytes = max(m.total.MaxUsedBytes, m.total.UsedBytes)
	if m.total.UsedBytes > m.total.MemoryBytes {
		m.total.Overcommits++
	}
}

// fits reports whether as many bytes are free. m.mu must be held.
func (m *memory) fits(bytes int64) bool {
	return m.total.UsedBytes+bytes <= m.total.MemoryBytes
}

// acquire counts a request that runs on the model or adapter with the name, and
// returns the function to call at its end. Without a version it selects the
// version that became ready last. ok is false if no such item is ready.
func (m *memory) acquire(name, version string) (release func(), generation Generation, ok bool) {
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
		if latest == nil || held.readyOrder > latest.readyOrder {
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

// snapshot returns the models, the adapters and the used bytes for a report.
func (m *memory) snapshot() ([]engineapi.HeldModel, []engineapi.HeldAdapter, int64) {
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
