package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/mirror"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// simFleet is a fleet of hosts in a synctest bubble: coordinators, mirrors, leases and
// hold keepers over one store, with reports that are passed on without a network.
type simFleet struct {
	store *memstore.Store
	hosts []*simHost

	mu    sync.Mutex
	calls map[string]int
	// written holds when each version was written.
	written map[objectstore.Version]time.Time
	down    bool
	// slowest is the longest time between a change and its arrival at a host, sum that of
	// all arrivals, whose number is arrivals.
	slowest, sum time.Duration
	arrivals     int
}

const (
	simConfig  objectstore.Kind = "config"
	simServers objectstore.Kind = "servers"
)

func newSimFleet(hosts, zones int) *simFleet {
	f := &simFleet{store: memstore.New(), calls: make(map[string]int), written: make(map[objectstore.Version]time.Time)}
	for i := range hosts {
		f.hosts = append(f.hosts, &simHost{fleet: f, name: fmt.Sprintf("h%03d", i), zone: fmt.Sprint("z", i%zones)})
	}
	for i := range 120 {
		f.write(simServers, fmt.Sprint("s", i))
	}
	f.write(simConfig, "main")
	for _, h := range f.hosts { // left by an earlier start
		f.write(exchange.KindHost, h.name)
	}
	return f
}

func (f *simFleet) write(kind objectstore.Kind, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	object, err := f.store.Get(context.Background(), kind, name)
	if err != nil {
		object, _ = f.store.Create(context.Background(), kind, name, "", json.RawMessage("{}"))
	} else {
		object, _ = f.store.Update(context.Background(), kind, name, object.Version, "", json.RawMessage("{}"))
	}
	f.written[object.Version] = time.Now()
}

// run lets workers write an entry each 200 ms on average, and operators the configuration
// each 20 s.
func (f *simFleet) run(duration time.Duration) {
	random, end, nextConfig := rand.New(rand.NewPCG(1, 2)), time.Now().Add(duration), time.Now().Add(10*time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		f.write(simServers, fmt.Sprint("s", random.IntN(120)))
		if time.Now().After(nextConfig) {
			nextConfig = nextConfig.Add(20 * time.Second)
			f.write(simConfig, "main")
		}
	}
}

// setDown starts or ends an outage of the store. Changes that have not arrived everywhere
// count from then on.
func (f *simFleet) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	for version := range f.written {
		f.written[version] = time.Now()
	}
	f.slowest, f.sum, f.arrivals = 0, 0, 0
}

// atMost fails the test if a change took longer to reach a host.
func (f *simFleet) atMost(t *testing.T, limit time.Duration) {
	t.Helper()
	t.Logf("changes reached hosts within %v, on average %v, arrivals %d", f.slowest, f.sum/time.Duration(max(f.arrivals, 1)), f.arrivals)
	if f.slowest > limit {
		t.Errorf("a change reached a host after %v", f.slowest)
	}
}

func (f *simFleet) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, n := range f.calls {
		sum += n
	}
	return sum
}

// startAll starts the hosts within a second and a half, in random order.
func (f *simFleet) startAll() {
	for _, i := range rand.New(rand.NewPCG(3, 4)).Perm(len(f.hosts)) {
		f.hosts[i].start()
		time.Sleep(1500 * time.Millisecond / time.Duration(len(f.hosts)))
	}
}

func (f *simFleet) stopAll() {
	for _, h := range f.hosts {
		h.stop()
	}
	synctest.Wait()
}

// simHost is a host, and its client of the store. It implements Adapter as far as the
// coordinator uses it, objectstore.RestorableStore and peerCalls.
type simHost struct {
	objectstore.RestorableStore
	fleet      *simFleet
	name, zone string
	cutOff     bool // from the store
	deaf       bool // its watches show changes only when they end

	mu      sync.Mutex
	running bool
	cancel  context.CancelFunc
	heard   map[string]time.Time
	// wait and endpointPause are those of SetWatchTiming.
	timing              sync.Mutex
	wait, endpointPause time.Duration
	mirrors             map[objectstore.Kind]*mirror.Mirror
	c                   *watchCoordinator
	lease               *lease.Lease
}

type simAdapter struct {
	Adapter
	*simHost
}

func (a simAdapter) Store() objectstore.RestorableStore { return a.simHost }
func (a simAdapter) SetWatchTiming(wait, endpointPause time.Duration) {
	a.timing.Lock()
	defer a.timing.Unlock()
	a.wait, a.endpointPause = wait, endpointPause
}

// seen records when changes of a kind arrive at a host.
type seen struct{ *simHost }

// Replace counts the objects that were written after the copy that they replace.
func (s seen) Replace(listing objectstore.Listing) {
	reached := s.mirrors[listing.Items[0].Kind].Reading().Covered
	for _, object := range listing.Items {
		if reached > 0 && object.Version > reached {
			s.Apply(objectstore.Event{Version: object.Version})
		}
	}
}

func (s seen) Apply(event objectstore.Event) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	at, ok := s.fleet.written[event.Version]
	if !ok || event.Type == objectstore.EventBookmark {
		return
	}
	s.fleet.slowest = max(s.fleet.slowest, time.Since(at))
	s.fleet.sum += time.Since(at)
	s.fleet.arrivals++
}

func (h *simHost) start() {
	ctx, cancel := context.WithCancel(context.Background())
	edgeHost := &host{settings: &settings.Edge{}, adapter: simAdapter{simHost: h}, endpoints: fleet.NewRegistry(fleet.Config{Host: h.name})}
	edgeHost.settings.Bounds.Lease = settings.Duration(3 * time.Second)
	edgeHost.settings.Host.Name, edgeHost.settings.Host.Zone = h.name, h.zone
	h.mu.Lock()
	h.cancel, h.running, h.heard = cancel, true, make(map[string]time.Time)
	h.mirrors = map[objectstore.Kind]*mirror.Mirror{}
	for _, kind := range []objectstore.Kind{simConfig, simServers, exchange.KindHost} {
		h.mirrors[kind] = mirror.New(h, kind, seen{h})
	}
	h.c = newWatchCoordinator(edgeHost, h, h.mirrors[exchange.KindHost],
		freshMirror{Mirror: h.mirrors[simConfig], tolerance: configurationTolerance},
		freshMirror{Mirror: h.mirrors[simServers], tolerance: endpointTolerance, endpoints: true})
	h.lease = h.newLease()
	h.mu.Unlock()
	for _, m := range h.mirrors {
		go func() { _ = m.Serve(ctx) }()
	}
	go func() { _ = h.lease.Serve(ctx) }()
	go h.restoreAndReport(ctx)
}

func (h *simHost) newLease() *lease.Lease {
	return lease.New(lease.Config{
		Store: h, Name: placementLease, Host: h.name, Incarnation: h.name, Duration: 3 * time.Second, RenewalInterval: 750 * time.Millisecond,
		Yield: func() time.Duration { return h.c.leaseYield() }, AwaitPeers: func(ctx context.Context) { h.c.awaitSize(ctx) },
	})
}

func (h *simHost) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = false
	h.cancel()
}

// restoreAndReport makes the other calls of a start, and reports to the peers.
func (h *simHost) restoreAndReport(ctx context.Context) {
	for _, op := range []string{"update", "get"} { // its entry, and the holds
		_, _ = h.call(op, "start")
	}
	for ; ctx.Err() == nil; time.Sleep(h.Interval()) {
		reachability := h.Reachability()
		if len(reachability.Reachable)+len(reachability.Unreachable) == 0 {
			continue
		}
		h.c.SetReachability(reachability)
		report := h.report()
		for _, peer := range h.fleet.hosts {
			if peer != h && peer.name > h.name && peer.isRunning() {
				peer.receive(report)
				h.receive(peer.report())
			}
		}
	}
}

func (h *simHost) isRunning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

func (h *simHost) report() *fleetv1.Report {
	report := &fleetv1.Report{Host: h.name, Address: h.name, Zone: h.zone}
	h.c.FillReport(report)
	if status := h.lease.Status(); status.Held {
		report.Lease = &fleetv1.Lease{Holder: status.Holder, Incarnation: status.Incarnation, Term: status.Term, Version: status.Version.Revision()}
	}
	return report
}

func (h *simHost) receive(report *fleetv1.Report) {
	h.mu.Lock()
	h.heard[report.GetHost()] = time.Now()
	h.mu.Unlock()
	h.c.HandleReport(report, false)
	if l := report.GetLease(); l != nil {
		h.lease.UpdateFromPeer(lease.Value{Holder: l.GetHolder(), Incarnation: l.GetIncarnation(), Term: l.GetTerm()}, objectstore.NewVersion(0, l.GetVersion()))
	} else if report.GetHost() == h.lease.Status().Holder {
		h.lease.ReadAgain()
	}
}

// Interval implements peerCalls.
func (h *simHost) Interval() time.Duration {
	if h.mirrors[exchange.KindHost].Reading().LastResponse.IsZero() {
		return 200 * time.Millisecond
	}
	return max(200*time.Millisecond, 8*time.Millisecond*time.Duration(len(h.fleet.hosts)-1))
}

// Reachability returns the peers that reported lately, and the others whose entries were
// read.
func (h *simHost) Reachability() exchange.Reachability {
	r := exchange.Reachability{Interval: h.Interval()}
	listed := !h.mirrors[exchange.KindHost].Reading().LastResponse.IsZero()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, peer := range h.fleet.hosts {
		at, ok := h.heard[peer.name]
		switch {
		case peer == h:
		case ok && time.Since(at) < max(1200*time.Millisecond, 2*r.Interval):
			r.Reachable = append(r.Reachable, peer.name)
		case listed || ok:
			r.Unreachable = append(r.Unreachable, peer.name)
		}
	}
	return r
}

// FollowPeer implements peerCalls.
func (h *simHost) FollowPeer(ctx context.Context, address string, request *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error) {
	for _, peer := range h.fleet.hosts {
		if peer.name == address && peer.isRunning() {
			return peer.c.follow(ctx, request)
		}
	}
	time.Sleep(time.Duration(request.GetWaitMillis())*time.Millisecond + 600*time.Millisecond)
	return nil, twirp.InternalError("timeout")
}

// call counts a call to the store, and reports whether it fails.
func (h *simHost) call(op string, kind objectstore.Kind) (label string, err error) {
	time.Sleep(3 * time.Millisecond)
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	label = op + " " + string(kind)
	if h.fleet.down || h.cutOff {
		err = &objectstore.UnavailableError{Outcome: objectstore.OutcomeNotSent, Cause: errors.New("the store is down")}
		label += " failed"
	}
	h.fleet.calls[label]++
	return label, err
}

func (h *simHost) Era() (int64, bool)    { return 0, false }
func (h *simHost) ObserveEra(int64)      {}
func (h *simHost) OnRestore(func(int64)) {}

func (h *simHost) List(ctx context.Context, kind objectstore.Kind, prefix string) (objectstore.Listing, error) {
	if _, err := h.call("list", kind); err != nil {
		return objectstore.Listing{}, err
	}
	return h.fleet.store.List(ctx, kind, prefix)
}

func (h *simHost) Get(ctx context.Context, kind objectstore.Kind, name string) (objectstore.Object, error) {
	if _, err := h.call("get", kind); err != nil {
		return objectstore.Object{}, err
	}
	return h.fleet.store.Get(ctx, kind, name)
}

func (h *simHost) Create(ctx context.Context, kind objectstore.Kind, name, id string, value json.RawMessage) (objectstore.Object, error) {
	if _, err := h.call("create", kind); err != nil {
		return objectstore.Object{}, err
	}
	return h.fleet.store.Create(ctx, kind, name, id, value)
}

func (h *simHost) Update(ctx context.Context, kind objectstore.Kind, name string, version objectstore.Version, id string, value json.RawMessage) (objectstore.Object, error) {
	if _, err := h.call("update", kind); err != nil {
		return objectstore.Object{}, err
	}
	return h.fleet.store.Update(ctx, kind, name, version, id, value)
}

// Watch polls as the platform's store does.
func (h *simHost) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) (objectstore.Watch, error) {
	h.timing.Lock()
	pause := 60 * time.Millisecond
	if kind == simServers {
		pause = 350*time.Millisecond + h.endpointPause
	}
	h.timing.Unlock()
	return objectstore.NewPolledWatch(ctx, after, pause, func(ctx context.Context, after objectstore.Version) ([]objectstore.Event, error) {
		if _, err := h.call("watch", kind); err != nil {
			return nil, err
		}
		h.timing.Lock()
		wait := h.wait
		switch kind {
		case simServers:
			wait -= h.endpointPause
		case exchange.KindHost:
			wait = 15 * time.Second
		}
		h.timing.Unlock()
		return h.poll(ctx, kind, after, wait)
	}), nil
}

func (h *simHost) poll(ctx context.Context, kind objectstore.Kind, after objectstore.Version, wait time.Duration) ([]objectstore.Event, error) {
	if h.deaf {
		time.Sleep(wait)
	}
	watch, err := h.fleet.store.Watch(ctx, kind, after)
	if err != nil {
		return nil, err
	}
	defer watch.Stop()
	var events []objectstore.Event
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for held := timeout.C; ; {
		select {
		case event, open := <-watch.Events():
			if !open {
				return nil, ctx.Err()
			}
			events, after = append(events, event), max(after, event.Version)
			continue
		default:
		}
		if len(events) > 0 {
			return append(events, objectstore.Event{Type: objectstore.EventBookmark, Version: after}), nil
		}
		select {
		case event, open := <-watch.Events():
			if !open {
				return nil, ctx.Err()
			}
			events, after = append(events, event), max(after, event.Version)
		case <-held:
			return []objectstore.Event{{Type: objectstore.EventBookmark, Version: after}}, nil
		}
	}
}

func simulate(t *testing.T, hosts int, spec func(f *simFleet)) {
	t.Helper()
	logrus.SetLevel(logrus.ErrorLevel)
	defer logrus.SetLevel(logrus.InfoLevel)
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(hosts, 4)
		spec(f)
		f.stopAll()
		time.Sleep(time.Minute)
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, label := range slices.Sorted(maps.Keys(f.calls)) {
			t.Logf("%5d %s", f.calls[label], label)
		}
	})
}

// Guards against calls to the store that grow with the number of hosts: at their start,
// and while all is calm.
func TestACalmMinuteOf86HostsMakesFewCallsToTheStore(t *testing.T) {
	simulate(t, 86, func(f *simFleet) {
		f.startAll()
		f.run(6 * time.Second)
		first := f.total()
		f.run(54 * time.Second)
		t.Logf("%d calls, of them %d in the first 6 s", f.total(), first)
		if got := f.total(); got > 1800 {
			t.Errorf("%d calls, want at most 1800", got)
		}
		f.atMost(t, joinGrace+300*time.Millisecond)
	})
}

// Guards against hosts that all turn to the store at once, because it is down or because
// all of them have restarted, and against hosts that learn late that it is back.
func TestAnOutageAndARestartOf86HostsMakeFewCallsToTheStore(t *testing.T) {
	// Before hosts were ranked the calls were 4,598 and 11,615.
	for outage, limit := range map[time.Duration]int{2 * time.Second: 2700, 10 * time.Second: 3700} {
		simulate(t, 86, func(f *simFleet) {
			f.startAll()
			f.run(20 * time.Second)
			f.setDown(true)
			time.Sleep(outage)
			f.setDown(false)
			f.run(18*time.Second - outage)
			f.atMost(t, 2*time.Second)
			f.stopAll()
			f.startAll()
			f.run(20 * time.Second)
			if got := f.total(); got > limit {
				t.Errorf("%d calls with an outage of %v, want at most %d", got, outage, limit)
			}
		})
	}
}

// Guards against hosts that learn of changes late while one fault lasts.
func TestChangesReach86HostsInTimeDespiteAFault(t *testing.T) {
	for name, inject := range map[string]func(f *simFleet){
		"the first watcher's watches are stalled": func(f *simFleet) { f.hosts[0].deaf = true },
		"both watchers' watches are stalled":      func(f *simFleet) { f.hosts[0].deaf, f.hosts[4].deaf = true, true },
		"a zone is cut off from the store": func(f *simFleet) {
			for i := 0; i < len(f.hosts); i += 4 {
				f.hosts[i].cutOff = true
			}
		},
		"the first watcher is cut off from the store": func(f *simFleet) { f.hosts[0].cutOff = true },
		"the first watcher has died":                  func(f *simFleet) { f.hosts[0].stop() },
		"both watchers have died":                     func(f *simFleet) { f.hosts[0].stop(); f.hosts[4].stop() },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 86, func(f *simFleet) {
				f.startAll()
				f.run(10 * time.Second)
				f.mu.Lock()
				f.slowest, f.sum, f.arrivals = 0, 0, 0
				f.mu.Unlock()
				inject(f)
				f.run(10 * time.Second)
				f.atMost(t, 2*time.Second)
			})
		})
	}
}
