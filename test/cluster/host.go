package cluster

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/internal/standin/relay"
)

// OperatorToken is the bearer token that every host accepts from operators.
const OperatorToken = "operator-token-of-the-tests"

// adminTimeout is the time limit for one call of the operators' API.
const adminTimeout = 15 * time.Second

// Host is a running daemon and the relays on its connections.
type Host struct {
	*Process
	Zone      string
	Addresses Addresses
	// ToPlatform carries the host's connections to the platform.
	ToPlatform *relay.Relay
	// FromPeers carries the other hosts' connections to this host.
	FromPeers *relay.Relay
}

// Addresses are the IP:PORT addresses that a daemon listens on, as it writes them
// to its address file.
type Addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	Debug     string `json:"debug"`
}

// StartHost starts a host, waits until it listens and adds it to the platform's
// host list.
func (c *Cluster) StartHost(name, zone string) *Host {
	ginkgo.GinkgoHelper()
	h := &Host{Zone: zone, ToPlatform: newRelay(strings.TrimPrefix(c.Platform.URL, "http://")), FromPeers: newRelay("")}
	file := c.path(name + ".settings.json")
	addresses := c.path(name + ".addresses.json")
	_ = os.Remove(addresses)
	data, err := json.Marshal(c.settings(name, h, addresses))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(os.WriteFile(file, data, 0o600)).To(gomega.Succeed())
	h.Process = StartProcess(c.dir, name, filepath.Join(string(c.programs), "bilberryslipd"), "--settings", file)
	gomega.Expect(json.Unmarshal([]byte(h.waitFile(addresses)), &h.Addresses)).To(gomega.Succeed())
	h.FromPeers.SetTarget(h.Addresses.Peers)
	c.Hosts = append(c.Hosts, h)
	c.addToHostList(objectstore.ListedHost{Name: name, Zone: zone, PeerURL: h.FromPeers.URL(), State: objectstore.HostLive})
	return h
}

// Replace kills a host, removes it from the platform's host list and starts a host
// with a new name in the same zone.
func (c *Cluster) Replace(h *Host, name string) *Host {
	ginkgo.GinkgoHelper()
	h.Kill()
	c.RemoveFromHostList(h)
	return c.StartHost(name, h.Zone)
}

// RemoveFromHostList removes a host from Hosts and from the platform's host list.
func (c *Cluster) RemoveFromHostList(h *Host) {
	ginkgo.GinkgoHelper()
	delete(c.listed, h.Name)
	for i, other := range c.Hosts {
		if other == h {
			c.Hosts = append(c.Hosts[:i:i], c.Hosts[i+1:]...)
		}
	}
	c.publishHostList()
}

func (c *Cluster) addToHostList(host objectstore.ListedHost) {
	ginkgo.GinkgoHelper()
	c.listed[host.Name] = host
	c.publishHostList()
}

func (c *Cluster) publishHostList() {
	ginkgo.GinkgoHelper()
	hosts := make([]objectstore.ListedHost, 0, len(c.listed))
	for _, host := range c.listed {
		hosts = append(hosts, host)
	}
	c.Platform.Control(Change{"hosts": hosts})
}

func newRelay(target string) *relay.Relay {
	ginkgo.GinkgoHelper()
	link, err := relay.New(target)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(link.Close)
	return link
}

func (c *Cluster) settings(name string, h *Host, addressFile string) settings.Settings {
	const anyPort = "127.0.0.1:0"
	hash := sha256.Sum256([]byte(OperatorToken))
	s := baseSettings()
	s.Host = settings.Host{Name: name, Zone: h.Zone, Region: "test"}
	s.Listen = settings.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort, Debug: anyPort, AddressFile: addressFile}
	s.Platform.Addresses = []string{h.ToPlatform.URL()}
	s.Peers.SecretFile = c.path("secret")
	s.Peers.URL = h.FromPeers.URL()
	for _, other := range c.Hosts {
		s.Peers.Static = append(s.Peers.Static, settings.StaticPeer{Name: other.Name, Zone: other.Zone, URL: other.FromPeers.URL()})
	}
	s.Operators = []settings.Operator{{Name: "test", TokenSHA256: hex.EncodeToString(hash[:])}}
	if c.options.Settings != nil {
		c.options.Settings(&s)
	}
	return s
}

// Admin returns a client of the host's operators' API and a context that carries
// the operator token.
func (h *Host) Admin() (context.Context, apiv1.Admin) {
	ginkgo.GinkgoHelper()
	header := http.Header{"Authorization": {"Bearer " + OperatorToken}}
	ctx, err := twirp.WithHTTPRequestHeaders(context.Background(), header)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return ctx, apiv1.NewAdminProtobufClient("http://"+h.Addresses.Operators, &http.Client{Timeout: adminTimeout})
}

// Revision returns the configuration revision in force on the host.
func (h *Host) Revision() (int64, error) {
	ctx, admin := h.Admin()
	listed, err := admin.List(ctx, &apiv1.ListRequest{Kind: apiv1.Kind_KIND_MODEL})
	return listed.GetRevision(), err
}

// UsableUnits returns how many units of the organisations' rates the host may use
// now. All hosts together share ratelimit.TotalUnits.
func (h *Host) UsableUnits() int64 {
	type state struct {
		Shares struct {
			UsableUnits int64 `json:"usableUnits"`
		} `json:"shares"`
	}
	return get[state]("http://" + h.Addresses.Debug + "/debug/state").Shares.UsableUnits
}
