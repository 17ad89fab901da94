package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/platformserver"
)

// Programs is the directory of the built programs.
type Programs string

// Build builds the programs into a directory.
func Build(dir string) Programs {
	ginkgo.GinkgoHelper()
	build := exec.Command("go", "build", "-o", dir+"/", "bilberryslip.example/bilberryslip/cmd/...")
	output, err := build.CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
	return Programs(dir)
}

// Cluster is a running cluster.
type Cluster struct {
	Platform *Platform
	Hosts    []*Host
	Engines  []*Engine
	Services []*PlainService

	options  Options
	programs Programs
	dir      string
	listed   map[string]objectstore.ListedHost
}

// Start starts a cluster and its configuration, and waits until every host has
// that in force. The test's cleanup ends it.
func Start(programs Programs, options Options) *Cluster {
	ginkgo.GinkgoHelper()
	c := &Cluster{options: options, programs: programs, dir: ginkgo.GinkgoT().TempDir(), listed: make(map[string]objectstore.ListedHost)}
	ginkgo.DeferCleanup(c.reportLogs)
	gomega.Expect(os.WriteFile(c.path("secret"), []byte(strings.Repeat("peer-secret", 3)), 0o600)).To(gomega.Succeed())
	c.startPlatform()
	for zone := range options.zones() {
		c.startEndpoints(zoneName(zone))
	}
	for zone := range options.zones() {
		for i := range options.hostsPerZone() {
			c.StartHost(fmt.Sprintf("%s-host-%d", zoneName(zone), i), zoneName(zone))
		}
	}
	c.configure()
	return c
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index) }

func (c *Cluster) path(name string) string { return filepath.Join(c.dir, name) }

func (c *Cluster) standin(name string, args ...string) (*Process, string) {
	ginkgo.GinkgoHelper()
	file := c.path(name + ".addr")
	_ = os.Remove(file)
	args = append(args, "--address-file", file)
	process := StartProcess(c.dir, name, filepath.Join(string(c.programs), "bilberryslip-standin"), args...)
	return process, "http://" + process.waitFile(file)
}

// reportLogs shows the hosts' last log lines where the test failed.
func (c *Cluster) reportLogs() {
	if !ginkgo.CurrentSpecReport().Failed() {
		return
	}
	const tail = 4000
	for _, host := range c.Hosts {
		text := host.Log()
		ginkgo.AddReportEntry(host.Name, text[max(0, len(text)-tail):], ginkgo.ReportEntryVisibilityFailureOrVerbose)
	}
}

// Logs returns everything that the hosts have logged.
func (c *Cluster) Logs() string {
	var logs strings.Builder
	for _, host := range c.Hosts {
		logs.WriteString(host.Log())
	}
	return logs.String()
}

// AllLogs returns everything that any process of the cluster has logged,
// those included that have ended.
func (c *Cluster) AllLogs() (string, error) {
	files, err := filepath.Glob(c.path("*.log"))
	if err != nil {
		return "", err
	}
	var logs strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return "", err
		}
		logs.Write(data)
	}
	return logs.String(), nil
}

// Zone returns the running hosts of an availability zone.
func (c *Cluster) Zone(index int) []*Host {
	var hosts []*Host
	for _, host := range c.Hosts {
		if host.Zone == zoneName(index) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Platform is the platform's stand-in.
type Platform struct {
	*Process
	URL string
}

func (c *Cluster) startPlatform() {
	ginkgo.GinkgoHelper()
	args := append([]string{"platform", "--loads-per-second", "20", "--load-time", "200ms"}, c.options.PlatformArgs...)
	process, url := c.standin("platform", args...)
	c.Platform = &Platform{Process: process, URL: url}
}

// Control sets fault switches.
func (p *Platform) Control(change Change) { post(p.URL, change) }

// State returns the counts of calls.
func (p *Platform) State() platformserver.State { return get[platformserver.State](p.URL + "/control") }

// Change names the fault switches to set, and their values.
type Change map[string]any

var controlClient = &http.Client{Timeout: 10 * time.Second}

func post(url string, change Change) {
	ginkgo.GinkgoHelper()
	body, err := json.Marshal(change)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := controlClient.Post(url+"/control", "application/json", bytes.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK), string(text))
}

func get[T any](url string) T {
	ginkgo.GinkgoHelper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := controlClient.Do(req)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var decoded T
	gomega.Expect(json.NewDecoder(resp.Body).Decode(&decoded)).To(gomega.Succeed())
	return decoded
}
