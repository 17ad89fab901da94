package streamorigin

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

const (
	modelStep     = 100 * time.Millisecond
	modelInterval = 200 * time.Millisecond
	// modelPoll is the longest time between the beginning of a poll of the store that a host
	// has completed and now, while the store responds: two polls of a watcher and a pause.
	modelPoll = 2800 * time.Millisecond
	// modelRecovery is the time after which a host that is in touch again must resume
	// streams: a poll of the store, and a read of the record.
	modelRecovery = modelPoll + 500*time.Millisecond
)

// modelHost is a host of a modelFleet, over several processes.
type modelHost struct {
	name string
	*Origins
	startedAt time.Time
	// list is what the host has read of the store, listedAt as of when.
	list     []string
	listedAt time.Time
	// revision is that of the record that it has read or written; zero for none.
	revision    int
	pausedUntil time.Time
	storeCut    bool
	// queued are the reports that arrived while the host was paused.
	queued []modelReport
	// inTouchSince is since when the host has been running and in touch with the store or
	// with all running hosts, none of which is paused.
	inTouchSince time.Time
}

type modelReport struct {
	report    *fleetv1.Report
	createdAt time.Time
}

// modelFleet is a fleet of hosts, a store with a list and a record, and links that fail.
type modelFleet struct {
	rng   *rand.Rand
	now   time.Time
	hosts []*modelHost
	// listed are the versions that the store lists; soloSince is since when it, the record and
	// all hosts have listed the same one alone.
	listed    []string
	soloSince time.Time
	versions  int
	storeDown bool
	record    *Record
	revision  int
	// onWake is called with each host that was paused, before it learns anything.
	onWake func(h *modelHost)
	// cut are the links that fail, by the indices of their hosts, the lower one first.
	cut map[[2]int]bool
}

func newModelFleet(rng *rand.Rand, hosts int) *modelFleet {
	f := &modelFleet{rng: rng, now: time.Unix(1_000_000, 0), listed: []string{"v1"}, versions: 1, cut: make(map[[2]int]bool), onWake: func(*modelHost) {}}
	f.soloSince = f.now
	for i := range hosts {
		f.hosts = append(f.hosts, &modelHost{name: fmt.Sprint("h", i)})
		f.start(f.hosts[i])
		f.hosts[i].Restore(nil, 0, true, f.now)
		f.hosts[i].revision = -1
	}
	return f
}

// start starts a new process of a host.
func (f *modelFleet) start(h *modelHost) {
	*h = modelHost{name: h.name, startedAt: f.now, storeCut: h.storeCut, inTouchSince: f.now}
	h.Origins = New(Config{
		Recorded: true, Clock: func() time.Time { return f.now }, ListedAt: func() time.Time { return h.listedAt },
		Listed: func() map[string][]string { return map[string][]string{"s": h.list} },
	})
}

func (f *modelFleet) paused(h *modelHost) bool { return f.now.Before(h.pausedUntil) }

func (f *modelFleet) reachesStore(h *modelHost) bool { return !f.storeDown && !h.storeCut }

func (f *modelFleet) linked(i, j int) bool { return !f.cut[[2]int{min(i, j), max(i, j)}] }

// pause stops a host for a time.
func (f *modelFleet) pause(h *modelHost, d time.Duration) { h.pausedUntil = f.now.Add(d) }

// step lets modelStep pass: hosts read the store, keep the record and report.
func (f *modelFleet) step() {
	f.now = f.now.Add(modelStep)
	for _, h := range f.hosts {
		if wakes := f.now.Sub(h.pausedUntil); wakes >= 0 && wakes < modelStep {
			f.onWake(h)
		}
	}
	for _, i := range f.rng.Perm(len(f.hosts)) {
		h := f.hosts[i]
		if f.paused(h) {
			continue
		}
		if f.reachesStore(h) {
			f.read(h)
		}
		if f.now.Sub(h.startedAt)%modelInterval == 0 {
			f.report(i)
		}
	}
	f.updateTouch()
}

// read lets a host complete a poll of the list, which began some time ago, and keep the
// record.
func (f *modelFleet) read(h *modelHost) {
	if f.rng.IntN(4) == 0 || f.now.Sub(h.listedAt) > modelPoll-modelStep {
		h.list = f.listed
		if began := f.now.Add(-time.Duration(f.rng.Int64N(int64(modelPoll / 2)))); began.After(h.listedAt) && began.After(h.pausedUntil) {
			h.listedAt = began
		}
	}
	leads := h == f.hosts[0] || h == f.hosts[1] && (f.paused(f.hosts[0]) || !f.reachesStore(f.hosts[0]))
	switch {
	case h.revision == 0 && len(h.list) > 0 || h.NeedsRecord() || leads && h.revision >= 0 && h.revision != f.revision:
		if f.record != nil {
			h.Restore(f.record, 0, false, f.now)
			h.revision = f.revision
		}
	case leads || h.UnrecordedFor() > 4*time.Second && h.revision != f.revision:
		if record := h.Record(0); f.record == nil || !slices.Equal(record.Services["s"], f.record.Services["s"]) {
			if f.record != nil && h.revision != f.revision {
				h.Restore(f.record, 0, false, f.now)
				h.revision = f.revision
				return
			}
			f.revision++
			f.record, h.revision = &record, f.revision
			h.Written(record)
		}
	}
}

// report sends a host's report to all others.
func (f *modelFleet) report(i int) {
	from := f.hosts[i]
	var names []string
	for j, h := range f.hosts {
		if i != j {
			names = append(names, h.name)
		}
	}
	from.SetReachability(exchange.Reachability{Interval: modelInterval, Reachable: names})
	r := modelReport{&fleetv1.Report{Host: from.name, AgeMillis: f.now.Sub(from.startedAt).Milliseconds()}, f.now}
	from.FillReport(r.report)
	for j, to := range f.hosts {
		switch {
		case i == j || !f.linked(i, j):
		case f.paused(to):
			to.queued = append(to.queued, r)
		default:
			f.deliverQueued(to)
			to.handle(r)
		}
	}
}

func (h *modelHost) handle(r modelReport) {
	h.HandleReport(r.report, false)
	h.ObserveAge(r.report, r.createdAt)
}

// deliverQueued lets a host handle the reports that arrived while it was paused.
func (f *modelFleet) deliverQueued(h *modelHost) {
	f.rng.Shuffle(len(h.queued), func(i, j int) { h.queued[i], h.queued[j] = h.queued[j], h.queued[i] })
	for _, r := range h.queued {
		if f.rng.IntN(3) == 0 {
			r.createdAt = time.Time{} // of a process that the host did not know
		}
		h.handle(r)
	}
	h.queued = nil
}

func (f *modelFleet) updateTouch() {
	for i, h := range f.hosts {
		allHeard := true
		for j, other := range f.hosts {
			allHeard = allHeard && (i == j || f.linked(i, j) && !f.paused(other) && f.now.Sub(other.startedAt) > time.Second)
		}
		if f.paused(h) || !f.reachesStore(h) && !allHeard {
			h.inTouchSince = f.now
		}
		if len(f.listed) > 1 || len(h.list) > 0 && !slices.Equal(h.list, f.listed) || f.record != nil && !slices.Equal(f.record.Services["s"], f.listed) {
			f.soloSince = f.now
		}
	}
}

// mustFind reports whether a host must find the version of any stream: there has been one
// alone for long, and the host is in touch.
func (f *modelFleet) mustFind(h *modelHost) bool {
	return f.now.Sub(f.soloSince) > retention+5*time.Second && f.now.Sub(h.inTouchSince) > modelRecovery && f.now.Sub(h.startedAt) > memory+modelRecovery
}

// describe returns what the currency of a host's knowledge rests on.
func (f *modelFleet) describe(h *modelHost) string {
	text := fmt.Sprintf("known %v ago, listed %v, record read %v, in touch for %v, reaches the store: %t", f.now.Sub(h.currency.knownAt),
		f.now.Sub(h.listedAt), f.now.Sub(h.currency.recordAt), f.now.Sub(h.inTouchSince), f.reachesStore(h))
	for name, p := range h.currency.peers {
		text += fmt.Sprintf("; %s heard %v ago, included %v", name, f.now.Sub(p.heardAt), f.now.Sub(p.includedAt))
	}
	return text
}

// disturb draws a change of the versions, or a fault or its end.
func (f *modelFleet) disturb(quiet bool) {
	h := f.hosts[f.rng.IntN(len(f.hosts))]
	i, j := f.rng.IntN(len(f.hosts)), f.rng.IntN(len(f.hosts))
	seconds := func(n int) time.Duration { return time.Duration(f.rng.IntN(10*n)) * modelStep }
	switch f.rng.IntN(10) {
	case 0, 1:
		if quiet {
			return
		}
		if len(f.listed) > 1 && f.rng.IntN(2) == 0 {
			f.listed = f.listed[1:]
		} else if f.versions++; f.rng.IntN(2) == 0 {
			f.listed = append(slices.Clone(f.listed), fmt.Sprint("v", f.versions))
		} else {
			f.listed = []string{fmt.Sprint("v", f.versions)}
		}
	case 2, 3:
		f.pause(h, seconds(3))
	case 4:
		f.pause(h, seconds(20+80*f.rng.IntN(2)))
	case 5:
		h.storeCut = !h.storeCut
	case 6:
		f.storeDown = !f.storeDown && f.rng.IntN(2) == 0
	case 7:
		if i != j {
			f.cut[[2]int{min(i, j), max(i, j)}] = !f.cut[[2]int{min(i, j), max(i, j)}]
		}
	case 8:
		for j := range f.hosts {
			if i != j {
				f.cut[[2]int{min(i, j), max(i, j)}] = true
			}
		}
	case 9:
		clear(f.cut)
		f.storeDown = false
		for _, h := range f.hosts {
			h.storeCut = false
		}
		if f.rng.IntN(3) == 0 && !f.paused(h) {
			f.start(h)
		}
	}
}

// modelResult counts how the streams of a sequence went on.
type modelResult struct{ taken, found, mustFind int }

// play draws a sequence of changes and faults in which streams begin and are taken up. In a
// quiet one the version never changes.
func play(seed uint64, quiet bool) (r modelResult) {
	rng := rand.New(rand.NewPCG(seed, 3))
	f := newModelFleet(rng, 2+rng.IntN(4))
	type began struct {
		id, version string
		at          time.Time
	}
	var streams []began
	takeUp := func(h *modelHost) {
		if f.paused(h) || len(streams) == 0 {
			return
		}
		s := streams[max(0, len(streams)-1-rng.IntN(60))]
		if f.now.Sub(s.at) > memory/2 {
			return
		}
		software, result, _ := h.find("s", s.id)
		r.taken++
		if result.found() {
			r.found++
			Expect(software).To(Equal(s.version), "seed %d: stream %s, which began %v before, at %s", seed, s.id, f.now.Sub(s.at), h.name)
		}
		if f.mustFind(h) {
			r.mustFind++
			Expect(result.found()).To(BeTrue(), "seed %d: stream %s at %s: %s; %s", seed, s.id, h.name, result, f.describe(h))
		}
	}
	begin := func(h *modelHost, id string) {
		if f.paused(h) || len(h.list) == 0 {
			return
		}
		version := h.list[rng.IntN(len(h.list))]
		if allowed := h.MayBegin("s"); allowed == nil || slices.Contains(allowed, version) {
			h.Begin("s", id, version)()
			streams = append(streams, began{id, version, f.now})
		}
	}
	f.onWake = func(h *modelHost) {
		takeUp(h)
		begin(h, fmt.Sprint("wake-", len(streams)))
	}
	for n := range 1800 {
		if rng.IntN(25) == 0 {
			f.disturb(quiet)
		}
		f.step()
		begin(f.hosts[rng.IntN(len(f.hosts))], fmt.Sprint(n))
		takeUp(f.hosts[rng.IntN(len(f.hosts))])
	}
	return r
}

var _ = Describe("Streams on sequences of joins, departures, pauses, cuts and outages", func() {
	sequences := 30
	if text, ok := os.LookupEnv("ORIGIN_SEQUENCES"); ok {
		if n, err := strconv.Atoi(text); err == nil {
			sequences = n
		}
	}

	// Guards against joining a stream from two versions by knowledge that is not recent, and
	// against refusing streams of a service with one version at a host that is in touch.
	DescribeTable("are never joined from two versions, and go on where knowledge is recent",
		func(quiet bool) {
			var sum modelResult
			for seed := range uint64(sequences) {
				r := play(seed, quiet)
				sum.taken, sum.found, sum.mustFind = sum.taken+r.taken, sum.found+r.found, sum.mustFind+r.mustFind
			}
			GinkgoWriter.Printf("%d sequences: %d of %d streams found, %d of them with recent knowledge of one version\n", sequences, sum.found, sum.taken, sum.mustFind)
			Expect(sum.found).To(BeNumerically(">", sum.taken/2))
			if quiet {
				Expect(sum.mustFind).To(BeNumerically(">", sum.taken/10))
			}
		},
		Entry("with releases", false),
		Entry("without a release", true),
	)
})
