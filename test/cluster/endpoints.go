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

// Endpoint is a running stand-in for an engine or a plain service.
type Endpoint struct {
	*Process
	Zone string
	// URL is the stand-in's own base URL, for control calls. Hosts connect
	// through Relay.
	URL   string
	Relay *relay.Relay

	cluster *Cluster
	args    []string
}

// Restart kills the stand-in and starts a new incarnation behind the same relay.
func (e *Endpoint) Restart() {
	ginkgo.GinkgoHelper()
	e.Kill()
	e.Process, e.URL = e.cluster.startStandin(e.Name, e.args...)
	e.Relay.SetTarget(strings.TrimPrefix(e.URL, "http://"))
	e.Relay.Reset()
}

// Control sets switches of the stand-in.
func (e *Endpoint) Control(change Change) { post(e.URL, change) }

// Engine is a running stand-in for a model engine.
type Engine struct{ Endpoint }

// State returns the engine's request journal, memory usage, orders and report.
func (e *Engine) State() engineserver.State { return get[engineserver.State](e.URL + "/control") }

// PlainService is a running stand-in for a plain service.
type PlainService struct{ Endpoint }

// State returns the service's request journal and counts.
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
	return c.startEndpoint(name, zone, append(args, c.options.EngineArgs...))
}

func (c *Cluster) startService(name, zone string) Endpoint {
	ginkgo.GinkgoHelper()
	return c.startEndpoint(name, zone, append([]string{"service", "--name", name}, c.options.ServiceArgs...))
}

func (c *Cluster) startEndpoint(name, zone string, args []string) Endpoint {
	ginkgo.GinkgoHelper()
	process, url := c.startStandin(name, args...)
	link, err := relay.New(strings.TrimPrefix(url, "http://"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(link.Close)
	return Endpoint{Process: process, Zone: zone, URL: url, Relay: link, cluster: c, args: args}
}

// Journal returns the requests that the running engines and services received.
// The journal of a stand-in is lost when it restarts.
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

// Runs returns how many requests whose body contains the text were run, over all
// endpoints.
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
