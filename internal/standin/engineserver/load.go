package engineserver

import "bilberryslip.example/bilberryslip/internal/engineapi"

// Reasons why an order is refused or has no effect.
const (
	reasonHeld         = "already held"
	reasonNotHeld      = "not held"
	reasonBusy         = "loading or unloading"
	reasonNoMemory     = "no memory"
	reasonModelMissing = "model not ready"
	reasonAdapters     = "adapters of the model are held"
)

// begin is the result of the start of a load or unload.
type begin struct {
	reason string
	// settled means that there is nothing to do, and done that the aim is
	// already reached.
	settled bool
	done    bool
	// idle is closed when no request uses the item; nil means at once.
	idle <-chan struct{}
}

func refusedBegin(reason string) begin { return begin{reason: reason, settled: true} }

func (m *memory) beginLoadModel(key modelKey, bytes int64, refuseOvercommit bool) begin {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held, ok := m.models[key]; ok {
		return begin{reason: reasonHeld, settled: true, done: held.state == engineapi.ItemReady}
	}
	if refuseOvercommit && !m.fits(bytes) {
		return refusedBegin(reasonNoMemory)
	}
	m.reserve(bytes)
	m.models[key] = &model{state: engineapi.ItemLoading, bytes: bytes}
	return begin{}
}

func (m *memory) endLoadModel(key modelKey, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.models[key]
	if !ok {
		m.total.UsedBytes -= held.bytes
		delete(m.models, key)
		return
	}
	m.loads++
	held.state, held.loadedAt = engineapi.ItemReady, m.loads
}

func (m *memory) beginUnloadModel(key modelKey) begin {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, ok := m.models[key]
	switch {
	case !ok:
		return begin{reason: reasonNotHeld, settled: true, done: true}
	case held.state != engineapi.ItemReady:
		return refusedBegin(reasonBusy)
	case m.lastOfAdapters(key):
		return refusedBegin(reasonAdapters)
	}
	held.state = engineapi.ItemUnloading
	if held.running == 0 {
		return begin{}
	}
	held.idle = make(chan struct{})
	return begin{idle: held.idle}
}

// lastOfAdapters reports whether adapters would be left without their model.
func (m *memory) lastOfAdapters(key modelKey) bool {
	for other := range m.models {
		if other.model == key.model && other != key {
			return false
		}
	}
	for _, held := range m.adapters {
		if held.model == key.model {
			return true
		}
	}
	return false
}

func (m *memory) endUnloadModel(key modelKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total.UsedBytes -= m.models[key].bytes
	delete(m.models, key)
}

func (m *memory) beginLoadAdapter(name, base string, bytes int64, refuseOvercommit bool) begin {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held, ok := m.adapters[name]; ok {
		return begin{reason: reasonHeld, settled: true, done: held.state == engineapi.ItemReady}
	}
	if _, loaded := m.latest(base, ""); loaded == nil {
		return refusedBegin(reasonModelMissing)
	}
	if refuseOvercommit && !m.fits(bytes) {
		return refusedBegin(reasonNoMemory)
	}
	m.reserve(bytes)
	m.adapters[name] = &adapter{model: base, state: engineapi.ItemLoading, bytes: bytes}
	return begin{}
}

func (m *memory) endLoadAdapter(name string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.adapters[name]
	if ok {
		held.state = engineapi.ItemReady
		return
	}
	m.total.UsedBytes -= held.bytes
	delete(m.adapters, name)
}

func (m *memory) beginUnloadAdapter(name string) begin {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, ok := m.adapters[name]
	if !ok {
		return begin{reason: reasonNotHeld, settled: true, done: true}
	}
	if held.state != engineapi.ItemReady {
		return refusedBegin(reasonBusy)
	}
	held.state = engineapi.ItemUnloading
	if held.running == 0 {
		return begin{}
	}
	held.idle = make(chan struct{})
	return begin{idle: held.idle}
}

func (m *memory) endUnloadAdapter(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total.UsedBytes -= m.adapters[name].bytes
	delete(m.adapters, name)
}
