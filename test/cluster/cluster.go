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

// Programs is the directory that contains the built programs.
type Programs string

// Build builds all commands of the module into a directory.
func Build(dir string) Programs {
	ginkgo.GinkgoHelper()
	build := exec.Command("go", "build", "-o", dir+"/", "bilberryslip.example/bilberryslip/cmd/...")
	output, err := build.CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
	return Programs(dir)
}

// Cluster is a set of running processes: the platform's stand-in, hosts, engines
// and plain services.
type Cluster struct {
	Platform *Platform
	Hosts    []*Host
	Engines  []*Engine
	Services []*PlainService

	options  Options
	programs Programs
	dir      string
	// listed is the platform's host list by host name.
	listed map[string]objectstore.ListedHost
}

// Start starts a cluster, applies the initial configuration and waits until it is
// in force on every host. The test's cleanup stops the processes.
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

func (c *Cluster) startStandin(name string, args ...string) (*Process, string) {
	ginkgo.GinkgoHelper()
	file := c.path(name + ".addr")
	_ = os.Remove(file)
	args = append(args, "--address-file", file)
	process := StartProcess(c.dir, name, filepath.Join(string(c.programs), "bilberryslip-standin"), args...)
	return process, "http://" + process.waitFile(file)
}

// reportLogs attaches the end of each host's log to the report of a failed test.
func (c *Cluster) reportLogs() {
	if !ginkgo.CurrentSpecReport().Failed() {
		return
	}
	const tail = 4000 // bytes
	for _, host := range c.Hosts {
		text := host.Log()
		ginkgo.AddReportEntry(host.Name, text[max(0, len(text)-tail):], ginkgo.ReportEntryVisibilityFailureOrVerbose)
	}
}

// Logs returns the logs of the hosts in Hosts. Replaced hosts are left out; see
// AllLogs.
func (c *Cluster) Logs() string {
	var logs strings.Builder
	for _, host := range c.Hosts {
		logs.WriteString(host.Log())
	}
	return logs.String()
}

// AllLogs returns the logs of all processes of the cluster, including those that
// have exited.
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

// Zone returns the hosts of an availability zone.
func (c *Cluster) Zone(index int) []*Host {
	var hosts []*Host
	for _, host := range c.Hosts {
		if host.Zone == zoneName(index) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Platform is the running stand-in for the platform.
type Platform struct {
	*Process
	URL string
}

func (c *Cluster) startPlatform() {
	ginkgo.GinkgoHelper()
	args := append([]string{"platform", "--loads-per-second", "20", "--load-time", "200ms"}, c.options.PlatformArgs...)
	process, url := c.startStandin("platform", args...)
	c.Platform = &Platform{Process: process, URL: url}
}

// Control sets switches of the stand-in.
func (p *Platform) Control(change Change) { post(p.URL, change) }

// State returns the stand-in's call counts and the number of waiting watches.
func (p *Platform) State() platformserver.State { return get[platformserver.State](p.URL + "/control") }

// Change maps names of a stand-in's control switches, most of which inject
// faults, to the values to set.
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
