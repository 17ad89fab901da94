package cluster

import (
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/standin/control"
	"bilberryslip.example/bilberryslip/internal/standin/engineserver"
	"bilberryslip.example/bilberryslip/internal/standin/relay"
	"bilberryslip.example/bilberryslip/internal/standin/serviceserver"
)

// Endpoint is what engines and services have in common.
type Endpoint struct {
	*Process
	Zone string
	// URL is the stand-in's own; hosts reach it through Relay.
	URL   string
	Relay *relay.Relay

	cluster *Cluster
	args    []string
}

// Restart kills the stand-in and starts it anew, as a new incarnation behind
// the same relay.
func (e *Endpoint) Restart() {
	ginkgo.GinkgoHelper()
	e.Kill()
	e.Process, e.URL = e.cluster.standin(e.Name, e.args...)
	e.Relay.SetTarget(strings.TrimPrefix(e.URL, "http://"))
	e.Relay.Reset()
}

// Control sets fault switches.
func (e *Endpoint) Control(change Change) { post(e.URL, change) }

// Engine is a model engine's stand-in.
type Engine struct{ Endpoint }

// State returns the engine's journal and accounts.
func (e *Engine) State() engineserver.State { return get[engineserver.State](e.URL + "/control") }

// PlainService is a plain service's stand-in.
type PlainService struct{ Endpoint }

// State returns the service's journal and counts.
func (s *PlainService) State() serviceserver.State {
	return get[serviceserver.State](s.URL + "/control")
}

func (c *Cluster) startEndpoints(zone string) {
	ginkgo.GinkgoHelper()
	for i := range c.options.EnginesPerZone {
		c.Engines = append(c.Engines, &Engine{c.startEngine(fmt.Sprintf("%s-engine-%d", zone, i), zone)})
	}
	for i := range c.options.ServicesPerZone {
		c.Services = append(c.Services, &PlainService{c.startService(fmt.Sprintf("%s-service-%d", zone, i), zone)})
	}
}

func (c *Cluster) startEngine(name, zone string) Endpoint {
	ginkgo.GinkgoHelper()
	args := []string{
		"engine", "--memory", fmt.Sprint(engineMemoryBytes), "--weights", c.Platform.URL,
		"--model", fmt.Sprintf("%s/%s/%d", Model, Version, modelBytes),
		"--adapter", fmt.Sprintf("%s/%s/%d", Adapter, Model, adapterBytes),
	}
	return c.endpoint(name, zone, append(args, c.options.EngineArgs...))
}

func (c *Cluster) startService(name, zone string) Endpoint {
	ginkgo.GinkgoHelper()
	return c.endpoint(name, zone, append([]string{"service", "--name", name}, c.options.ServiceArgs...))
}

func (c *Cluster) endpoint(name, zone string, args []string) Endpoint {
	ginkgo.GinkgoHelper()
	process, url := c.standin(name, args...)
	between, err := relay.New(strings.TrimPrefix(url, "http://"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(between.Close)
	return Endpoint{Process: process, Zone: zone, URL: url, Relay: between, cluster: c, args: args}
}

// Journal returns all requests that all engines and services received.
func (c *Cluster) Journal() []control.Entry {
	ginkgo.GinkgoHelper()
	var entries []control.Entry
	for _, engine := range c.Engines {
		entries = append(entries, engine.State().Journal...)
	}
	for _, service := range c.Services {
		entries = append(entries, service.State().Journal...)
	}
	return entries
}

// Runs counts the runs over all endpoints whose body contains the text.
func (c *Cluster) Runs(text string) int {
	ginkgo.GinkgoHelper()
	runs := 0
	for _, entry := range c.Journal() {
		if entry.Ran() && strings.Contains(entry.Body, text) {
			runs++
		}
	}
	return runs
}
