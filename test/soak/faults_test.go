//go:build soak

package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/standin/relay"
	"bilberryslip.example/bilberryslip/test/cluster"
)

const (
	// maxFaultPause is the longest pause after a fault was injected.
	maxFaultPause = 2 * time.Second
	// maxFaultDuration is the longest time that a lasting fault stays active.
	maxFaultDuration = 12 * time.Second
	// minHealthyHosts is the number of hosts that must stay without a lasting fault.
	minHealthyHosts = 2
)

// fault is an active fault. No other fault hits its target until it ends.
type fault struct {
	target string
	until  time.Time
	end    func()
}

// injector injects random faults one after another. Several lasting faults may be
// active at the same time.
type injector struct {
	soak         *soak
	random       *rand.Rand
	active       []fault
	replacements int
}

func newInjector(run *soak, random *rand.Rand) *injector {
	return &injector{soak: run, random: random}
}

// run injects faults until ctx is done and then ends all active ones.
func (i *injector) run(ctx context.Context) {
	kinds := []func(){
		i.hostFault, i.hostFault, i.linkFault, i.linkFault, i.platformFault, i.platformFault,
		i.engineFault, i.engineFault, i.engineFault, i.serviceFault, i.operatorFault, i.operatorFault,
	}
	for ctx.Err() == nil {
		i.endExpired(time.Now())
		kinds[i.random.IntN(len(kinds))]()
		pause := time.NewTimer(time.Duration(i.random.Int64N(int64(maxFaultPause))))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
	i.endExpired(time.Now().Add(time.Hour))
}

// endExpired ends the active faults whose time is over.
func (i *injector) endExpired(now time.Time) {
	var active []fault
	for _, f := range i.active {
		if f.until.After(now) {
			active = append(active, f)
			continue
		}
		f.end()
	}
	i.active = active
}

// hasFault reports whether a fault is active on the target.
func (i *injector) hasFault(target string) bool {
	for _, f := range i.active {
		if f.target == target {
			return true
		}
	}
	return false
}

// addActive records a lasting fault that has begun. It ends after a random time.
func (i *injector) addActive(name, target string, end func()) {
	i.soak.report.fault(name)
	lifetime := time.Duration(i.random.Int64N(int64(maxFaultDuration)))
	i.active = append(i.active, fault{target: target, until: time.Now().Add(lifetime), end: end})
}

// freeHost returns a random host without an active fault, or nil if a fault on it
// would leave fewer than minHealthyHosts.
func (i *injector) freeHost() *cluster.Host {
	var free []*cluster.Host
	for _, host := range i.soak.cluster.Hosts {
		if !i.hasFault(host.Name) {
			free = append(free, host)
		}
	}
	if len(free) <= minHealthyHosts {
		return nil
	}
	return free[i.random.IntN(len(free))]
}

func (i *injector) hostFault() {
	host := i.freeHost()
	if host == nil {
		return
	}
	switch i.random.IntN(3) {
	case 0:
		i.soak.report.fault("host killed and replaced")
		host.Kill()
		i.replace(host)
	case 1:
		host.Pause()
		i.addActive("host paused", host.Name, host.Continue)
	case 2:
		i.soak.report.fault("host shut down and replaced")
		host.Terminate()
		select {
		case <-host.Exited():
			if host.ExitCode() != 0 {
				i.soak.report.violation("shutdown", "%s exited with %d", host.Name, host.ExitCode())
			}
		case <-time.After(40 * time.Second):
			i.soak.report.violation("shutdown", "%s did not exit", host.Name)
			host.Kill()
		}
		i.replace(host)
	}
}

// replace starts a host in place of one that has exited.
func (i *injector) replace(old *cluster.Host) {
	i.replacements++
	replacement := i.soak.cluster.Replace(old, fmt.Sprintf("replacement-%d", i.replacements))
	i.soak.setHosts(func(hosts []*cluster.Host) []*cluster.Host {
		for n, host := range hosts {
			if host == old {
				hosts[n] = replacement
			}
		}
		return hosts
	})
}

func (i *injector) linkFault() {
	host := i.freeHost()
	if host == nil {
		return
	}
	links := map[string]*relay.Relay{
		"host to platform": host.ToPlatform,
		"peers to host":    host.FromPeers,
		"hosts to engine":  i.soak.cluster.Engines[i.random.IntN(len(i.soak.cluster.Engines))].Relay,
		"hosts to service": i.soak.cluster.Services[i.random.IntN(len(i.soak.cluster.Services))].Relay,
	}
	names := []string{"host to platform", "peers to host", "hosts to engine", "hosts to service"}
	name := names[i.random.IntN(len(names))]
	link := links[name]
	switch i.random.IntN(3) {
	case 0:
		i.soak.report.fault("cut " + name)
		link.Reset()
	case 1:
		i.soak.report.fault("silent " + name)
		link.Blackhole()
	case 2:
		target := host.Name
		if name == "hosts to engine" || name == "hosts to service" {
			target = link.Addr()
		}
		if i.hasFault(target) {
			return
		}
		link.Block()
		i.addActive("blocked "+name, target, link.Unblock)
	}
}

func (i *injector) platformFault() {
	if i.hasFault("platform") {
		return
	}
	p := i.soak.cluster.Platform
	switch i.random.IntN(6) {
	case 0:
		p.Control(cluster.Change{"down": true})
		i.addActive("platform down", "platform", func() { p.Control(cluster.Change{"down": false}) })
	case 1:
		p.Control(cluster.Change{"slowMillis": 50 + i.random.IntN(1500)})
		i.addActive("platform slow", "platform", func() { p.Control(cluster.Change{"slowMillis": 0}) })
	case 2:
		p.Control(cluster.Change{"loseAnswers": 1 + i.random.IntN(6)})
		i.soak.report.fault("platform answers lost")
	case 3:
		p.Control(cluster.Change{"staleWatches": true})
		i.addActive("watches stale", "platform", func() { p.Control(cluster.Change{"staleWatches": false}) })
	case 4:
		p.Control(cluster.Change{"silentWatches": true})
		i.addActive("watches silent", "platform", func() { p.Control(cluster.Change{"silentWatches": false}) })
	case 5:
		p.Control(cluster.Change{"unavailable": true})
		i.addActive("platform unavailable", "platform", func() { p.Control(cluster.Change{"unavailable": false}) })
	}
}

func (i *injector) engineFault() {
	engine := i.soak.cluster.Engines[i.random.IntN(len(i.soak.cluster.Engines))]
	if i.hasFault(engine.Name) || i.hasFault(engine.Relay.Addr()) {
		return
	}
	n := 1 + i.random.IntN(10)
	changes := []cluster.Change{
		{"late": n, "lateMillis": i.random.IntN(2000)},
		{"crossed": n},
		{"cut": n, "cutAfter": i.random.IntN(30)},
		{"silent": n, "silentAfter": i.random.IntN(30)},
		{"doubled": n},
		{"errors": n},
		{"closeBeforeRun": n},
		{"loseOrders": n},
		{"loseOrderAnswers": n},
		{"delayOrders": n, "delayOrdersMillis": i.random.IntN(15000)},
		{"duplicateOrders": n, "delayOrdersMillis": i.random.IntN(15000)},
	}
	names := []string{"late", "crossed", "cut", "silent", "doubled", "errors", "closed before run", "orders lost", "order answers lost", "orders delayed", "orders doubled"}
	switch choice := i.random.IntN(len(changes) + 4); choice {
	default:
		i.soak.report.fault("engine: " + names[choice])
		engine.Control(changes[choice])
	case len(changes):
		i.soak.report.fault("engine restarted")
		i.soak.checkEngine(engine)
		i.soak.stoppedJournals = append(i.soak.stoppedJournals, engine.State().Journal...)
		engine.Restart()
	case len(changes) + 1:
		engine.Pause()
		i.addActive("engine paused", engine.Name, engine.Continue)
	case len(changes) + 2:
		engine.Control(cluster.Change{"leaving": true})
		i.addActive("engine leaving", engine.Name, func() { engine.Control(cluster.Change{"leaving": false}) })
	case len(changes) + 3:
		engine.Control(cluster.Change{"silentReports": true})
		i.addActive("engine reports silent", engine.Name, func() { engine.Control(cluster.Change{"silentReports": false}) })
	}
}

func (i *injector) serviceFault() {
	service := i.soak.cluster.Services[i.random.IntN(len(i.soak.cluster.Services))]
	if i.hasFault(service.Name) {
		return
	}
	faults := []string{"runThenClose", "closeBeforeRun", "late", "silent", "crossed", "errors"}
	choice := i.random.IntN(len(faults) + 1)
	if choice == len(faults) {
		service.Pause()
		i.addActive("service paused", service.Name, service.Continue)
		return
	}
	i.soak.report.fault("service: " + faults[choice])
	service.Control(cluster.Change{faults[choice]: 1 + i.random.IntN(3), "lateMillis": i.random.IntN(3000)})
}

// operatorFault makes two operators change the serving version of the same model
// concurrently.
func (i *injector) operatorFault() {
	first, second := i.freeHost(), i.freeHost()
	if first == nil || second == nil {
		return
	}
	i.soak.report.fault("operators race")
	model := i.random.IntN(extraModels)
	for n, host := range []*cluster.Host{first, second} {
		go func() {
			defer GinkgoRecover()
			i.setServingVersion(host, model, n+1)
		}()
	}
}

// setServingVersion changes the serving version of a model as an operator would.
func (i *injector) setServingVersion(host *cluster.Host, model, version int) {
	ctx, admin := host.Admin()
	got, err := admin.Get(ctx, &apiv1.GetRequest{Kind: apiv1.Kind_KIND_MODEL, Name: modelName(model)})
	if err != nil {
		i.soak.report.outcome("operator: " + fmt.Sprintf("%.40s", err.Error()))
		return
	}
	updated := &apiv1.Model{Name: modelName(model), ServingVersion: versionName(model, version)}
	_, err = admin.Apply(ctx, &apiv1.ApplyRequest{WaitMillis: 1, Mutations: []*apiv1.Mutation{{
		Kind: apiv1.Kind_KIND_MODEL, Name: modelName(model), ExpectedVersion: got.Object.Version,
		Object: &apiv1.Object{Spec: &apiv1.Object_Model{Model: updated}},
	}}})
	if err != nil {
		i.soak.report.outcome("operator: " + fmt.Sprintf("%.40s", err.Error()))
		return
	}
	i.soak.report.outcome("operator: ok")
}
