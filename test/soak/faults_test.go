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
	// faultPause is the longest pause between the starts of two faults.
	faultPause = 2 * time.Second
	// faultLength is the longest time of a fault that lasts.
	faultLength = 12 * time.Second
	// minRunningHosts is the number of hosts that no fault may touch.
	minRunningHosts = 2
)

// fault is a fault that has begun. Its target is left alone until it ends.
type fault struct {
	target string
	until  time.Time
	end    func()
}

// injector causes faults one after another; several may last at once.
type injector struct {
	soak     *soak
	random   *rand.Rand
	lasting  []fault
	replaced int
}

func newInjector(run *soak, random *rand.Rand) *injector {
	return &injector{soak: run, random: random}
}

func (i *injector) run(ctx context.Context) {
	kinds := []func(){
		i.hostFault, i.hostFault, i.linkFault, i.linkFault, i.platformFault, i.platformFault,
		i.engineFault, i.engineFault, i.engineFault, i.serviceFault, i.operatorFault, i.operatorFault,
	}
	for ctx.Err() == nil {
		i.endFaults(time.Now())
		kinds[i.random.IntN(len(kinds))]()
		pause := time.NewTimer(time.Duration(i.random.Int64N(int64(faultPause))))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
	i.endFaults(time.Now().Add(time.Hour))
}

func (i *injector) endFaults(now time.Time) {
	var lasting []fault
	for _, one := range i.lasting {
		if one.until.After(now) {
			lasting = append(lasting, one)
			continue
		}
		one.end()
	}
	i.lasting = lasting
}

func (i *injector) busy(target string) bool {
	for _, one := range i.lasting {
		if one.target == target {
			return true
		}
	}
	return false
}

func (i *injector) last(name, target string, end func()) {
	i.soak.report.fault(name)
	length := time.Duration(i.random.Int64N(int64(faultLength)))
	i.lasting = append(i.lasting, fault{target: target, until: time.Now().Add(length), end: end})
}

// freeHost returns a host that no fault lasts on, or nil where too few would
// be left.
func (i *injector) freeHost() *cluster.Host {
	var free []*cluster.Host
	for _, host := range i.soak.cluster.Hosts {
		if !i.busy(host.Name) {
			free = append(free, host)
		}
	}
	if len(free) <= minRunningHosts {
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
		i.last("host paused", host.Name, host.Continue)
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

func (i *injector) replace(old *cluster.Host) {
	i.replaced++
	fresh := i.soak.cluster.Replace(old, fmt.Sprintf("replacement-%d", i.replaced))
	i.soak.setHosts(func(hosts []*cluster.Host) []*cluster.Host {
		for n, host := range hosts {
			if host == old {
				hosts[n] = fresh
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
		link.Cut()
	case 1:
		i.soak.report.fault("silent " + name)
		link.Silence()
	case 2:
		target := host.Name
		if name == "hosts to engine" || name == "hosts to service" {
			target = link.Addr()
		}
		if i.busy(target) {
			return
		}
		link.Block()
		i.last("blocked "+name, target, link.Resume)
	}
}

func (i *injector) platformFault() {
	if i.busy("platform") {
		return
	}
	p := i.soak.cluster.Platform
	switch i.random.IntN(6) {
	case 0:
		p.Control(cluster.Change{"down": true})
		i.last("platform down", "platform", func() { p.Control(cluster.Change{"down": false}) })
	case 1:
		p.Control(cluster.Change{"slowMillis": 50 + i.random.IntN(1500)})
		i.last("platform slow", "platform", func() { p.Control(cluster.Change{"slowMillis": 0}) })
	case 2:
		p.Control(cluster.Change{"loseAnswers": 1 + i.random.IntN(6)})
		i.soak.report.fault("platform answers lost")
	case 3:
		p.Control(cluster.Change{"staleWatches": true})
		i.last("watches stale", "platform", func() { p.Control(cluster.Change{"staleWatches": false}) })
	case 4:
		p.Control(cluster.Change{"silentWatches": true})
		i.last("watches silent", "platform", func() { p.Control(cluster.Change{"silentWatches": false}) })
	case 5:
		p.Control(cluster.Change{"unavailable": true})
		i.last("platform unavailable", "platform", func() { p.Control(cluster.Change{"unavailable": false}) })
	}
}

func (i *injector) engineFault() {
	engine := i.soak.cluster.Engines[i.random.IntN(len(i.soak.cluster.Engines))]
	if i.busy(engine.Name) || i.busy(engine.Relay.Addr()) {
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
		i.soak.ended = append(i.soak.ended, engine.State().Journal...)
		engine.Restart()
	case len(changes) + 1:
		engine.Pause()
		i.last("engine paused", engine.Name, engine.Continue)
	case len(changes) + 2:
		engine.Control(cluster.Change{"leaving": true})
		i.last("engine leaving", engine.Name, func() { engine.Control(cluster.Change{"leaving": false}) })
	case len(changes) + 3:
		engine.Control(cluster.Change{"silentReports": true})
		i.last("engine reports silent", engine.Name, func() { engine.Control(cluster.Change{"silentReports": false}) })
	}
}

func (i *injector) serviceFault() {
	service := i.soak.cluster.Services[i.random.IntN(len(i.soak.cluster.Services))]
	if i.busy(service.Name) {
		return
	}
	faults := []string{"runThenClose", "closeBeforeRun", "late", "silent", "crossed", "errors"}
	choice := i.random.IntN(len(faults) + 1)
	if choice == len(faults) {
		service.Pause()
		i.last("service paused", service.Name, service.Continue)
		return
	}
	i.soak.report.fault("service: " + faults[choice])
	service.Control(cluster.Change{faults[choice]: 1 + i.random.IntN(3), "lateMillis": i.random.IntN(3000)})
}

// operatorFault lets two operators change the same model's version at once.
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
			i.serve(host, model, n+1)
		}()
	}
}

func (i *injector) serve(host *cluster.Host, model, version int) {
	ctx, admin := host.Admin()
	got, err := admin.Get(ctx, &apiv1.GetRequest{Kind: apiv1.Kind_KIND_MODEL, Name: modelName(model)})
	if err != nil {
		i.soak.report.outcome("operator: " + fmt.Sprintf("%.40s", err.Error()))
		return
	}
	changed := &apiv1.Model{Name: modelName(model), ServingVersion: versionName(model, version)}
	_, err = admin.Apply(ctx, &apiv1.ApplyRequest{WaitMillis: 1, Mutations: []*apiv1.Mutation{{
		Kind: apiv1.Kind_KIND_MODEL, Name: modelName(model), ExpectedVersion: got.Object.Version,
		Object: &apiv1.Object{Spec: &apiv1.Object_Model{Model: changed}},
	}}})
	if err != nil {
		i.soak.report.outcome("operator: " + fmt.Sprintf("%.40s", err.Error()))
		return
	}
	i.soak.report.outcome("operator: ok")
}
