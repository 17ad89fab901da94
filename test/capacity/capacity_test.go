//go:build measure

// Package capacity measures the CPU time, memory and network traffic that a host
// spends without any caller requests, with real daemons at several cluster sizes.
// Run it with
//
//	go test -tags measure -timeout 30m -v ./test/capacity
package capacity

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/test/cluster"
)

// Each measurement waits warmUp after the start and then measures over interval.
const (
	warmUp   = 15 * time.Second
	interval = 15 * time.Second
)

// zones is the number of availability zones of every cluster.
const zones = 3

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

// sample holds the resource counters of one host, or their mean over several hosts.
// Traffic is in bytes since the start of the process.
type sample struct {
	cpuSeconds, residentBytes, heapBytes    float64
	platformBytes, peerBytes, endpointBytes float64
}

var programs cluster.Programs

var _ = BeforeSuite(func() {
	programs = cluster.Build(GinkgoT().TempDir())
	fmt.Fprintf(os.Stderr, "hosts endpoints models | cpu%% of a core, RSS MB, heap MB | KB/s: platform, peers, endpoints | platform: reads/s, writes/s, waiting watches\n")
})

var _ = DescribeTable("control per host", Ordered,
	func(hostsPerZone, enginesPerZone, models int) {
		c := cluster.Start(programs, cluster.Options{
			Zones: zones, HostsPerZone: hostsPerZone, EnginesPerZone: enginesPerZone, Objects: extraModels(models),
			Settings: func(s *settings.Settings) { s.Log.Level = "info" },
		})
		time.Sleep(warmUp)
		callsBefore := c.Platform.State().Calls
		before := mean(c)
		time.Sleep(interval)
		after := mean(c)
		state := c.Platform.State()
		reads := float64(state.Calls.Reads()-callsBefore.Reads()) / interval.Seconds()
		writes := float64(state.Calls.Writes()-callsBefore.Writes()) / interval.Seconds()
		fmt.Fprintf(os.Stderr, "%5d %9d %6d | %6.2f %6.1f %6.1f | %7.2f %7.2f %7.2f | %6.1f %6.1f %4d\n",
			hostsPerZone*zones, enginesPerZone*zones, models,
			100*(after.cpuSeconds-before.cpuSeconds)/interval.Seconds(), after.residentBytes/1e6, after.heapBytes/1e6,
			perSecond(after.platformBytes, before.platformBytes), perSecond(after.peerBytes, before.peerBytes),
			perSecond(after.endpointBytes, before.endpointBytes), reads, writes, state.WaitingWatches)
	},
	Entry("hosts", 2, 4, 0), Entry("hosts", 5, 4, 0), Entry("hosts", 10, 4, 0), Entry("hosts", 16, 4, 0),
	Entry("endpoints", 2, 12, 0), Entry("endpoints", 2, 20, 0), Entry("endpoints", 2, 40, 0),
	Entry("models", 2, 4, 450), Entry("models", 2, 4, 900),
)

// perSecond returns the rate of a byte counter over the interval, in KB/s.
func perSecond(after, before float64) float64 { return (after - before) / interval.Seconds() / 1e3 }

// extraModels returns n models of 10 bytes each, which fit next to the cluster's own
// model.
func extraModels(n int) []*apiv1.Object {
	var objects []*apiv1.Object
	for i := range n {
		name := fmt.Sprintf("extra-%d", i)
		version := &apiv1.Version{Name: name + "-v1", Model: name, MemoryBytes: 10, Weights: name}
		objects = append(objects,
			&apiv1.Object{Spec: &apiv1.Object_ModelVersion{ModelVersion: version}},
			&apiv1.Object{Spec: &apiv1.Object_Model{Model: &apiv1.Model{Name: name, ServingVersion: version.Name}}})
	}
	return objects
}

// mean returns the mean sample over all hosts.
func mean(c *cluster.Cluster) sample {
	var sum sample
	for _, host := range c.Hosts {
		families := scrape(host)
		sum.cpuSeconds += total(families, "process_cpu_seconds_total", "")
		sum.residentBytes += total(families, "process_resident_memory_bytes", "")
		sum.heapBytes += total(families, "go_memstats_heap_inuse_bytes", "")
		sum.platformBytes += total(families, "bilberryslip_network_bytes_total", "platform")
		sum.peerBytes += total(families, "bilberryslip_network_bytes_total", "peers")
		sum.endpointBytes += total(families, "bilberryslip_network_bytes_total", "endpoints")
	}
	n := float64(len(c.Hosts))
	return sample{
		sum.cpuSeconds / n, sum.residentBytes / n, sum.heapBytes / n,
		sum.platformBytes / n, sum.peerBytes / n, sum.endpointBytes / n,
	}
}

// scrape returns the metrics of a host by family name.
func scrape(host *cluster.Host) map[string]*dto.MetricFamily {
	response, err := http.Get("http://" + host.Addresses.Debug + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return families
}

// total returns the sum of a family's counters or gauges. If link is not empty, it
// leaves out metrics with another value of the label "link".
func total(families map[string]*dto.MetricFamily, name, link string) float64 {
	sum := 0.0
	for _, metric := range families[name].GetMetric() {
		for _, label := range metric.Label {
			if link != "" && label.GetName() == "link" && label.GetValue() != link {
				metric = nil
				break
			}
		}
		sum += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return sum
}
