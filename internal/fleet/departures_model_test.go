package fleet

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

const (
	modelStep      = 100 * time.Millisecond
	modelHeartbeat = 1200 * time.Millisecond
	modelExpiry    = 3 * modelHeartbeat
	modelWorkers   = 3
	// modelCopies is the number of copies of the store that are kept, one for each step.
	modelCopies = 160
	// modelReturn is the time within which a live endpoint must be used again once its
	// entry is back. modelSilentReturn is that time if no outage was a reason for its
	// absence, in a store that shows no write of which only the sequence rises.
	modelReturn       = 2 * time.Second
	modelSilentReturn = settleTime + relistInterval + 500*time.Millisecond
)

// knowledge is what the host was shown of an incarnation, by the plain model.
type knowledge struct {
	// shown is set once the host has read its entry.
	shown          bool
	left, draining bool
	missingSince   time.Time
	// unexplained is set while its entry was missing, and no outage of the store was a
	// reason for it, until it is used again.
	unexplained bool
	// missingInEra is the last era in which its entry was missing.
	missingInEra int64
}

// departureModel is a store with endpoints and a host that reads it.
type departureModel struct {
	rng  *rand.Rand
	kind storeKind
	// expiresWhileDown is set if the store removes entries while it is down.
	expiresWhileDown bool
	now              time.Time
	log              []string

	modelCopy
	era      int64
	downTill time.Time
	// drillAt is when the store goes back, in a drill beside an outage.
	drillAt time.Time
	history []modelEvent
	copies  []modelCopy
	workers []*modelWorker

	registry *Registry
	// position is what the host has read; it lists if relist is set.
	position     int64
	readEra      int64
	relist       bool
	cutTill      time.Time
	stalledTill  time.Time
	noticeAt     time.Time
	unavailable  bool
	lastResponse time.Time
	// soundSince is since when the host has read the store without an outage or restore,
	// readSince without any interruption.
	soundSince, readSince time.Time
	known                 map[modelIncarnation]*knowledge
	// presentSince is since when the store has the entry of each live incarnation.
	presentSince map[modelIncarnation]time.Time
}

func newDepartureModel(seed uint64) *departureModel {
	m := &departureModel{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_700_000_000, 0), era: 1,
		modelCopy: modelCopy{revision: 1, entries: make(map[string]modelEntry)}, presentSince: make(map[modelIncarnation]time.Time),
	}
	m.kind, m.expiresWhileDown = storeKind(m.rng.IntN(int(storeKinds))), m.rng.IntN(2) == 0
	for i := range modelWorkers {
		w := &modelWorker{}
		w.ID = fmt.Sprint("e", i)
		m.workers = append(m.workers, w)
		m.start(w)
	}
	m.startHost()
	return m
}

func (m *departureModel) note(format string, args ...any) {
	m.log = append(m.log, fmt.Sprintf("%.1f ", m.now.Sub(time.Unix(1_700_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

func (m *departureModel) down() bool { return m.now.Before(m.downTill) }

func (m *departureModel) startHost() {
	m.registry = NewRegistry(Config{Zone: "z1", Clock: func() time.Time { return m.now }})
	m.known, m.relist, m.readEra, m.unavailable = make(map[modelIncarnation]*knowledge), true, 0, false
	m.lastResponse, m.soundSince, m.readSince = time.Time{}, m.now.Add(-time.Hour), m.now
}

// modelIncarnation names an incarnation of an endpoint.
type modelIncarnation struct {
	id      string
	started int64
}

func incarnation(e *Endpoint) modelIncarnation { return modelIncarnation{e.ID, e.StartedMillis()} }

func (i modelIncarnation) String() string { return fmt.Sprint(i.id, "@", i.started) }

// disturb draws an event.
func (m *departureModel) disturb() {
	w := m.workers[m.rng.IntN(len(m.workers))]
	length := time.Duration(m.rng.IntN(70)) * modelStep
	switch m.rng.IntN(15) {
	case 0:
		m.note("%s leaves, alive %v", w.ID, w.alive)
		m.end(w, true)
	case 1:
		m.note("%s crashes, alive %v", w.ID, w.alive)
		m.end(w, false)
	case 2:
		if w.alive && !w.Leaving {
			m.note("%s drains", w.ID)
			w.Leaving, w.endsAt = true, m.now.Add(length)
			m.write(w)
		}
	case 3:
		m.note("%s starts again", w.ID)
		m.start(w)
	case 4:
		m.note("%s cannot write for %v", w.ID, length)
		w.nextWrite, w.writingSince = m.now.Add(length), time.Time{}
	case 5:
		if w.alive { // something else in the entry changes
			w.Slots++
			m.write(w)
		}
	case 6:
		m.note("the store is down for %v", length)
		m.goDown(length)
	case 7, 8:
		m.restore()
	case 9:
		m.note("the host is cut off for %v", length)
		m.cutTill = m.now.Add(length)
		m.noticeAt = m.now.Add(time.Duration(m.rng.IntN(15)) * modelStep)
	case 10:
		m.note("the host's watch misses events for %v", length)
		m.stalledTill = m.now.Add(length)
	case 11:
		m.note("the host starts again")
		m.startHost()
	case 12:
		if w.alive {
			m.note("%s announces its shutdown", w.ID)
			w.endsAt = m.now.Add(length)
			m.registry.RecordLeaving(w.ID, w.StartedMillis(), "h2")
			m.seen(&w.Endpoint).draining = m.seen(&w.Endpoint).draining || m.seen(&w.Endpoint).shown
		}
	case 13:
		length += 3 * time.Second // entries expire
		m.drillAt = m.now.Add(length + time.Duration(m.rng.IntN(30)-5)*modelStep)
		m.note("the store is down for %v and then goes back", length)
		m.goDown(length)
	case 14:
		m.restore()
		m.note("the store is down for %v", length)
		m.goDown(length)
	}
}

// read lets the host read the store.
func (m *departureModel) read() {
	if m.down() || m.now.Before(m.cutTill) {
		m.readSince = m.now
		if !m.unavailable && !m.now.Before(m.noticeAt) {
			m.unavailable = true
			m.registry.StoreUnavailable(m.lastResponse)
		}
		return
	}
	if m.now.Before(m.stalledTill) && m.readEra == m.era && !m.relist {
		m.readSince, m.relist = m.now, false
		if m.now.Add(modelStep).Before(m.stalledTill) {
			return
		}
		m.relist = true
	}
	if m.unavailable {
		if m.now.Sub(m.lastResponse) >= minOutage {
			m.soundSince = m.now
		}
		m.unavailable = false
		m.registry.StoreAvailable()
	}
	if m.readEra != m.era && m.readEra != 0 {
		m.soundSince, m.readSince = m.now, m.now
		if m.rng.IntN(2) == 0 {
			m.registry.StoreRestored(m.era) // a peer tells before this host reads
		}
	}
	m.lastResponse = m.now
	if m.relist || m.readEra != m.era || m.registry.NeedsListing() {
		m.list()
	} else {
		m.watch()
	}
	m.readEra, m.position, m.relist = m.era, m.revision, false
}

func (m *departureModel) list() {
	read := Read{Era: m.era, Whole: true}
	for _, entry := range m.entries {
		read.Endpoints = append(read.Endpoints, entry.Endpoint)
	}
	for i := range m.workers {
		m.showListed(m.workers[i].ID)
	}
	m.registry.Apply(read)
}

func (m *departureModel) watch() {
	for _, event := range m.history {
		if event.revision <= m.position {
			continue
		}
		if event.removed {
			m.showMissing(event.entry.ID, nil)
			removal := Removal{ID: event.entry.ID}
			if m.kind != sequenceIsStored || m.rng.IntN(2) == 0 {
				removal.Last = &event.entry
				m.showDraining(&event.entry)
			}
			m.registry.Apply(Read{Era: m.era, Removed: []Removal{removal}})
			continue
		}
		m.showEntry(&event.entry)
		m.registry.Apply(Read{Era: m.era, Endpoints: []Endpoint{event.entry}})
	}
}

func (m *departureModel) seen(e *Endpoint) *knowledge {
	name := incarnation(e)
	if m.known[name] == nil {
		m.known[name] = &knowledge{}
	}
	return m.known[name]
}

func (m *departureModel) showDraining(e *Endpoint) {
	k := m.seen(e)
	k.draining = k.draining || e.Leaving
}

func (m *departureModel) showListed(id string) {
	if entry, ok := m.entries[id]; ok {
		m.showEntry(&entry.Endpoint)
		return
	}
	m.showMissing(id, nil)
}

func (m *departureModel) showEntry(e *Endpoint) {
	m.showMissing(e.ID, e)
	m.showDraining(e)
	k := m.seen(e)
	k.missingSince, k.shown = time.Time{}, true
	// An entry that is there after it was missing in the same era was written in between:
	// the endpoint had not left then.
	k.left = k.left && k.missingInEra < m.era
}

// showMissing records that the host was shown that there is no entry of incarnations under
// an ID but the given one. Those that have ended are known to have left if the store had no
// outage, or if they stay missing after one.
func (m *departureModel) showMissing(id string, but *Endpoint) {
	for _, w := range m.workers {
		if w.ID != id {
			continue
		}
		for name, k := range m.known {
			ended := !w.alive || name != incarnation(&w.Endpoint)
			if name.id != id || but != nil && name == incarnation(but) {
				continue
			}
			k.missingInEra = m.era
			if k.shown && k.missingSince.IsZero() {
				k.missingSince = m.now
				sound := m.now.Sub(m.soundSince) >= relistGrace
				k.unexplained, k.left = k.unexplained || sound, k.left || ended && sound
			}
		}
	}
}

// settleKnown records those as left that have stayed missing for longer than settleTime.
func (m *departureModel) settleKnown() {
	for _, w := range m.workers {
		for name, k := range m.known {
			ended := !w.alive || name != incarnation(&w.Endpoint)
			missing := m.now.Sub(later(k.missingSince, m.soundSince))
			k.unexplained = k.unexplained || !k.missingSince.IsZero() && missing >= settleTime-modelStep
			since := later(later(k.missingSince, m.soundSince), m.readSince)
			if name.id == w.ID && ended && !k.missingSince.IsZero() && m.now.Sub(since) > settleTime+2*time.Second {
				k.left = true
			}
		}
	}
}

// check returns the first promise that is broken, or nothing.
func (m *departureModel) check() string {
	m.settleKnown()
	m.registry.sweep(m.now)
	for _, member := range m.registry.members {
		k := m.known[incarnation(&member.Endpoint)]
		if m.registry.usable(member, m.now) && k != nil && (k.left || k.draining) && m.gone(&member.Endpoint, k) {
			return incarnation(&member.Endpoint).String() + " has left and is used again"
		}
	}
	for _, w := range m.workers {
		name, bound := incarnation(&w.Endpoint), modelReturn
		if k := m.seen(&w.Endpoint); m.kind == entryIsKept && k.unexplained && k.missingInEra < m.era {
			bound = modelSilentReturn
		}
		if present := m.presentSince[name]; present.IsZero() || w.writingSince.IsZero() || w.Leaving || m.seen(&w.Endpoint).draining {
			continue
		}
		since := later(later(m.presentSince[name], m.readSince), w.writingSince)
		member := m.registry.members[w.ID]
		used := member != nil && member.sameIncarnation(&w.Endpoint) && m.registry.usable(member, m.now)
		m.seen(&w.Endpoint).unexplained = m.seen(&w.Endpoint).unexplained && !used
		if !used && m.now.Sub(since) > bound {
			return fmt.Sprintf("%s lives and isn't used %v after its entry is back", name, bound)
		}
	}
	return ""
}

// gone reports whether an incarnation is not to be used: it drains, or has ended.
func (m *departureModel) gone(e *Endpoint, k *knowledge) bool {
	for _, w := range m.workers {
		if w.ID == e.ID && w.alive && w.sameIncarnation(e) {
			return k.draining
		}
	}
	return true
}

// playDepartures plays a sequence and returns the promise that it breaks and what happened, or
// nothing.
func playDepartures(seed uint64) string {
	m := newDepartureModel(seed)
	every := 3 + m.rng.IntN(40)
	steps := 100 + m.rng.IntN(300)
	for range steps {
		if m.rng.IntN(every) == 0 {
			m.disturb()
		}
		m.advance()
		m.read()
		if broken := m.check(); broken != "" {
			m.note("%s", broken)
			return fmt.Sprintf("seed %d, store %d, expires while down %v:\n%s", seed, m.kind, m.expiresWhileDown, strings.Join(m.log, "\n"))
		}
	}
	return ""
}

// modelSetting returns the integer in an environment variable, or fallback.
func modelSetting(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

var _ = Describe("What the registry remembers of departures", func() {
	// Guards against live endpoints that stay unused after outages and restores of the
	// store, and against the use of endpoints that have left. DEPARTURE_SEQUENCES and
	// DEPARTURE_SEED set how many sequences are drawn, and from which seed on.
	It("keeps back what has left and uses what lives, whatever the store went through", func() {
		level := logrus.GetLevel()
		logrus.SetLevel(logrus.WarnLevel) // else most of the time is spent on log lines
		DeferCleanup(func() { logrus.SetLevel(level) })
		first := modelSetting("DEPARTURE_SEED", 1)
		for i := range modelSetting("DEPARTURE_SEQUENCES", 700) {
			Expect(playDepartures(uint64(first + i))).To(BeEmpty())
		}
	})
})
