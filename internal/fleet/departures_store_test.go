package fleet

import (
	"fmt"
	"maps"
	"time"
)

// storeKind is what a write of an entry does of which only the sequence changes.
type storeKind int

const (
	everyWriteChanges storeKind = iota // it is an event with a new version
	sequenceIsStored                   // a listing shows the sequence, without an event
	entryIsKept                        // it has no effect that can be read
	storeKinds
)

type modelEntry struct {
	Endpoint
	beatAt time.Time
}

type modelEvent struct {
	revision int64
	entry    Endpoint
	removed  bool
}

// modelCopy is the state of the store at one time.
type modelCopy struct {
	revision int64
	entries  map[string]modelEntry
}

// modelWorker is an endpoint: its current incarnation and when it writes next.
type modelWorker struct {
	Endpoint
	alive     bool
	nextWrite time.Time
	// writingSince is since when it writes without a gap.
	writingSince time.Time
	endsAt       time.Time
}

func (m *departureModel) start(w *modelWorker) {
	w.Endpoint = Endpoint{
		ID: w.ID, Service: "s", Address: fmt.Sprint(w.ID, ":", m.rng.IntN(2)), Zone: "z1", Slots: 1, Started: m.now,
	}
	w.alive, w.endsAt = true, time.Time{}
	m.write(w)
}

// write writes a worker's entry, as a heartbeat does.
func (m *departureModel) write(w *modelWorker) {
	w.nextWrite = m.now.Add(modelHeartbeat)
	if m.down() {
		w.nextWrite, w.writingSince = m.downTill.Add(time.Duration(m.rng.IntN(20))*modelStep), time.Time{}
		return
	}
	if w.writingSince.IsZero() {
		w.writingSince = m.now
	}
	w.Sequence++
	stored, ok := m.entries[w.ID]
	entry := modelEntry{Endpoint: w.Endpoint, beatAt: m.now}
	same := ok && stored.sameIncarnation(&w.Endpoint) && stored.Leaving == w.Leaving && stored.Slots == w.Slots
	if same && m.kind != everyWriteChanges {
		entry.EntryVersion = stored.EntryVersion
		if m.kind == entryIsKept {
			entry.Sequence = stored.Sequence
		}
		m.entries[w.ID] = entry
		return
	}
	m.revision++
	entry.EntryVersion = m.era<<40 | m.revision
	m.entries[w.ID] = entry
	m.history = append(m.history, modelEvent{m.revision, entry.Endpoint, false})
}

func (m *departureModel) removeEntry(id string) {
	entry, ok := m.entries[id]
	if !ok {
		return
	}
	m.revision++
	delete(m.entries, id)
	m.history = append(m.history, modelEvent{m.revision, entry.Endpoint, true})
}

// end ends a worker; its entry is removed if it says so and the store answers.
func (m *departureModel) end(w *modelWorker, removes bool) {
	w.alive, w.endsAt = false, time.Time{}
	if entry, ok := m.entries[w.ID]; removes && ok && !m.down() && entry.sameIncarnation(&w.Endpoint) {
		m.removeEntry(w.ID)
	}
}

func (m *departureModel) goDown(length time.Duration) {
	m.downTill = m.now.Add(length)
	m.noticeAt = m.now.Add(time.Duration(m.rng.IntN(15)) * modelStep)
	if m.rng.IntN(5) == 0 {
		m.noticeAt = m.downTill // its watch goes on as if nothing had happened
	}
}

// restore takes the store back to a copy that is up to 16 s old, at times while it is down.
func (m *departureModel) restore() {
	if len(m.copies) == 0 {
		return
	}
	age := min(len(m.copies)-1, m.rng.IntN(modelCopies))
	older := m.copies[len(m.copies)-1-age]
	m.note("the store goes back by %v", time.Duration(age)*modelStep)
	m.era++
	m.modelCopy = modelCopy{older.revision, maps.Clone(older.entries)}
	for id, entry := range m.entries {
		entry.beatAt, entry.EntryVersion = m.now, m.era<<40|entry.EntryVersion&(1<<40-1)
		m.entries[id] = entry
	}
	m.history, m.copies = nil, nil
	clear(m.presentSince)
	m.downTill = m.now
	if m.rng.IntN(2) == 0 {
		m.goDown(time.Duration(m.rng.IntN(20)) * modelStep)
	}
}

// advance lets a step of time pass in the store and at the endpoints.
func (m *departureModel) advance() {
	m.now = m.now.Add(modelStep)
	if !m.drillAt.IsZero() && !m.now.Before(m.drillAt) {
		m.drillAt = time.Time{}
		m.restore()
	}
	for _, w := range m.workers {
		if w.alive && !w.endsAt.IsZero() && !m.now.Before(w.endsAt) {
			m.end(w, true)
		}
		if w.alive && !m.now.Before(w.nextWrite) {
			m.write(w)
		}
	}
	for id, entry := range m.entries {
		if m.now.Sub(entry.beatAt) > modelExpiry && (!m.down() || m.expiresWhileDown) {
			m.removeEntry(id)
		}
	}
	m.copies = append(m.copies, modelCopy{m.revision, maps.Clone(m.entries)})
	m.copies = m.copies[max(0, len(m.copies)-modelCopies):]
	for _, w := range m.workers {
		entry, ok := m.entries[w.ID]
		name := incarnation(&w.Endpoint)
		if !ok || !w.alive || !entry.sameIncarnation(&w.Endpoint) || m.down() {
			delete(m.presentSince, name)
		} else if m.presentSince[name].IsZero() {
			m.presentSince[name] = m.now
		}
	}
}
