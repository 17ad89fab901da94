package engineserver

import "bilberryslip.example/bilberryslip/internal/engineapi"

// Reasons for orders that are refused or have no effect because of the models,
// adapters and free memory of the engine.
const (
	reasonHeld         = "already held"
	reasonNotHeld      = "not held"
	reasonBusy         = "loading or unloading"
	reasonNoMemory     = "no memory"
	reasonModelMissing = "model not ready"
	reasonAdapters     = "adapters of the model are held"
)

// beginResult is the result of beginning a load or unload.
type beginResult struct {
	reason string
	// settled is set if the order ended without a load or unload; done is then
	// set if it succeeded, for example because the item is already loaded.
	settled bool
	done    bool
	// idle is closed when no request uses the item any more. It is nil if none
	// uses it now.
	idle <-chan struct{}
}

func refusedResult(reason string) beginResult { return beginResult{reason: reason, settled: true} }

func (m *memory) beginLoadModel(key modelKey, bytes int64, refuseOvercommit bool) beginResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held, ok := m.models[key]; ok {
		return beginResult{reason: reasonHeld, settled: true, done: held.state == engineapi.ItemReady}
	}
	if refuseOvercommit && !m.fits(bytes) {
		return refusedResult(reasonNoMemory)
	}
	m.reserve(bytes)
	m.models[key] = &model{state: engineapi.ItemLoading, bytes: bytes}
	return beginResult{}
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
	m.readyCount++
	held.state, held.readyOrder = engineapi.ItemReady, m.readyCount
}

func (m *memory) beginUnloadModel(key modelKey) beginResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, ok := m.models[key]
	switch {
	case !ok:
		return beginResult{reason: reasonNotHeld, settled: true, done: true}
	case held.state != engineapi.ItemReady:
		return refusedResult(reasonBusy)
	case m.requiredByAdapters(key):
		return refusedResult(reasonAdapters)
	}
	held.state = engineapi.ItemUnloading
	if held.running == 0 {
		return beginResult{}
	}
	held.idle = make(chan struct{})
	return beginResult{idle: held.idle}
}

// requiredByAdapters reports whether the engine holds adapters of the model and no
// version of it but the one with the key. m.mu must be held.
func (m *memory) requiredByAdapters(key modelKey) bool {
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

func (m *memory) beginLoadAdapter(name, base string, bytes int64, refuseOvercommit bool) beginResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held, ok := m.adapters[name]; ok {
		return beginResult{reason: reasonHeld, settled: true, done: held.state == engineapi.ItemReady}
	}
	if _, loaded := m.latest(base, ""); loaded == nil {
		return refusedResult(reasonModelMissing)
	}
	if refuseOvercommit && !m.fits(bytes) {
		return refusedResult(reasonNoMemory)
	}
	m.reserve(bytes)
	m.adapters[name] = &adapter{model: base, state: engineapi.ItemLoading, bytes: bytes}
	return beginResult{}
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

func (m *memory) beginUnloadAdapter(name string) beginResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, ok := m.adapters[name]
	if !ok {
		return beginResult{reason: reasonNotHeld, settled: true, done: true}
	}
	if held.state != engineapi.ItemReady {
		return refusedResult(reasonBusy)
	}
	held.state = engineapi.ItemUnloading
	if held.running == 0 {
		return beginResult{}
	}
	held.idle = make(chan struct{})
	return beginResult{idle: held.idle}
}

func (m *memory) endUnloadAdapter(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total.UsedBytes -= m.adapters[name].bytes
	delete(m.adapters, name)
}
