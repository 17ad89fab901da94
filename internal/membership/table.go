// Package membership knows the entry hosts: which exist, which are alive and
// which are leaving. Table is the decision part without clock or I/O; Service
// feeds it by gossip, the platform's lagging host list and settings.
package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
)

// MaxDigests is the most hosts that one gossip message describes.
const MaxDigests = 16

// extraTimeout is added to the failure timeout for each MaxDigests hosts.
const extraTimeout = time.Second

// Host is what is known of one entry host.
type Host struct {
	Name string
	// Incarnation identifies the process; it is new at each start.
	Incarnation string
	Zone        string
	// PeerURL is the base URL of the host's peer service.
	PeerURL string
	// Alive is set while the host's heartbeat advances.
	Alive bool
	// Leaving stays set for the rest of the incarnation.
	Leaving        bool
	ConfigRevision int64
	// LastHeard is when the host's heartbeat last advanced, on the local clock.
	LastHeard time.Time
}

// TableConfig sets up a Table.
type TableConfig struct {
	// Self describes this host: Name, Incarnation, Zone and PeerURL.
	Self Host
	// FailureTimeout is how long a heartbeat may stand still in a small fleet;
	// it grows with the number of hosts. Zero means 5 s.
	FailureTimeout time.Duration
	// Seeds are base URLs of peers whose names are not known yet.
	Seeds []string
}

// Table holds the state of all hosts. It is not safe for concurrent use.
type Table struct {
	config    TableConfig
	heartbeat uint64
	rows      map[process]*row
	// order lists the rows' keys in the order in which they were first seen.
	order  []process
	seeds  map[string]bool
	listed map[string]string
}

type process struct{ host, incarnation string }

type row struct {
	digest    *peerv1.HostDigest
	firstSeen time.Time
	lastHeard time.Time
}

// NewTable returns a table that knows only the host itself.
func NewTable(config TableConfig) *Table {
	if config.FailureTimeout == 0 {
		config.FailureTimeout = 5 * time.Second
	}
	t := &Table{config: config, rows: make(map[process]*row), seeds: make(map[string]bool)}
	for _, url := range config.Seeds {
		t.seeds[url] = true
	}
	return t
}

// Beat advances the host's own heartbeat and forgets hosts that have been
// dead for long.
func (t *Table) Beat(now time.Time) {
	t.heartbeat++
	t.order = slices.DeleteFunc(t.order, func(key process) bool {
		forget := now.Sub(t.rows[key].lastHeard) > 4*t.timeout()
		if forget {
			delete(t.rows, key)
		}
		return forget
	})
}

// timeout grows with the number of hosts, since a message describes only
// MaxDigests of them.
func (t *Table) timeout() time.Duration {
	return t.config.FailureTimeout + time.Duration(len(t.rows)/MaxDigests)*extraTimeout
}

// SetConfigRevision sets the revision that the host reports of itself.
func (t *Table) SetConfigRevision(revision int64) { t.config.Self.ConfigRevision = revision }

// SetLeaving makes the host report that it is leaving.
func (t *Table) SetLeaving() { t.config.Self.Leaving = true }

// SetListed takes the platform's lagging list: base URLs by host name. It
// yields candidates to contact and says nothing of who is alive.
func (t *Table) SetListed(urls map[string]string) { t.listed = urls }

// Learn merges what another host reported, of itself or of a third.
func (t *Table) Learn(now time.Time, digest *peerv1.HostDigest) {
	if digest.GetHost() == "" || digest.GetIncarnation() == "" {
		return
	}
	key := process{digest.GetHost(), digest.GetIncarnation()}
	if key == (process{t.config.Self.Name, t.config.Self.Incarnation}) {
		return
	}
	r := t.rows[key]
	if r == nil {
		t.rows[key] = &row{digest: digest, firstSeen: now, lastHeard: now}
		t.order = append(t.order, key)
		return
	}
	leaving := r.digest.GetLeaving() || digest.GetLeaving()
	if digest.GetHeartbeat() > r.digest.GetHeartbeat() {
		r.digest = digest
		r.lastHeard = now
	}
	if leaving && !r.digest.GetLeaving() {
		r.digest = withLeaving(r.digest)
	}
}

func withLeaving(d *peerv1.HostDigest) *peerv1.HostDigest {
	return &peerv1.HostDigest{
		Host: d.GetHost(), Incarnation: d.GetIncarnation(), Zone: d.GetZone(), PeerUrl: d.GetPeerUrl(),
		Heartbeat: d.GetHeartbeat(), ConfigRevision: d.GetConfigRevision(), Leaving: true,
	}
}

// Self returns this host.
func (t *Table) Self() Host {
	self := t.config.Self
	self.Alive = true
	return self
}

// SelfDigest returns what this host reports of itself.
func (t *Table) SelfDigest() *peerv1.HostDigest {
	s := t.config.Self
	return &peerv1.HostDigest{
		Host: s.Name, Incarnation: s.Incarnation, Zone: s.Zone, PeerUrl: s.PeerURL,
		Heartbeat: t.heartbeat, ConfigRevision: s.ConfigRevision, Leaving: s.Leaving,
	}
}

// Hosts returns the other hosts by name, the latest incarnation of each.
func (t *Table) Hosts(now time.Time) []Host {
	latest := make(map[string]*row, len(t.rows))
	for _, r := range t.rows {
		name := r.digest.GetHost()
		if best := latest[name]; name != t.config.Self.Name && (best == nil || t.supersedes(now, r, best)) {
			latest[name] = r
		}
	}
	hosts := make([]Host, 0, len(latest))
	for _, r := range latest {
		hosts = append(hosts, t.host(now, r))
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// supersedes prefers the living process, then the one seen first most lately.
func (t *Table) supersedes(now time.Time, a, b *row) bool {
	if alive := t.alive(now, a); alive != t.alive(now, b) {
		return alive
	}
	if !a.firstSeen.Equal(b.firstSeen) {
		return a.firstSeen.After(b.firstSeen)
	}
	return a.digest.GetIncarnation() > b.digest.GetIncarnation()
}

func (t *Table) alive(now time.Time, r *row) bool {
	return now.Sub(r.lastHeard) <= t.timeout()
}

func (t *Table) host(now time.Time, r *row) Host {
	d := r.digest
	return Host{
		Name: d.GetHost(), Incarnation: d.GetIncarnation(), Zone: d.GetZone(), PeerURL: d.GetPeerUrl(),
		Alive: t.alive(now, r), Leaving: d.GetLeaving(),
		ConfigRevision: d.GetConfigRevision(), LastHeard: r.lastHeard,
	}
}

// Digests returns up to MaxDigests living hosts, drawn at random, for gossip.
// Dead hosts are not passed on, so that nobody revives them.
func (t *Table) Digests(now time.Time, random *rand.Rand) []*peerv1.HostDigest {
	var digests []*peerv1.HostDigest
	for _, key := range t.order {
		if r := t.rows[key]; t.alive(now, r) {
			digests = append(digests, r.digest)
		}
	}
	return pick(digests, MaxDigests, random)
}

// Targets returns the base URLs of up to n hosts to gossip with: one
// candidate of which nothing is heard, living hosts that were not heard of for
// half the failure timeout, and others at random.
func (t *Table) Targets(now time.Time, n int, random *rand.Rand) []string {
	known := map[string]bool{t.config.Self.PeerURL: true}
	var quiet, fresh []string
	for _, key := range t.order {
		r := t.rows[key]
		url := r.digest.GetPeerUrl()
		if !t.alive(now, r) || known[url] {
			continue
		}
		known[url] = true
		if now.Sub(r.lastHeard) > t.timeout()/2 {
			quiet = append(quiet, url)
		} else {
			fresh = append(fresh, url)
		}
	}
	targets := pick(t.silentCandidates(known), 1, random)
	targets = append(targets, pick(quiet, max(0, n-1-len(targets)), random)...)
	return append(targets, pick(fresh, max(0, n-len(targets)), random)...)
}

// pick returns up to n items, drawn at random; it reorders items.
func pick[T any](items []T, n int, random *rand.Rand) []T {
	n = min(n, len(items))
	for i := range n {
		j := i + random.IntN(len(items)-i)
		items[i], items[j] = items[j], items[i]
	}
	return items[:n]
}

func (t *Table) silentCandidates(known map[string]bool) []string {
	unique := make(map[string]bool)
	for url := range t.seeds {
		unique[url] = true
	}
	for _, url := range t.listed {
		unique[url] = true
	}
	for _, r := range t.rows {
		unique[r.digest.GetPeerUrl()] = true
	}
	var urls []string
	for url := range unique {
		if url != "" && !known[url] {
			urls = append(urls, url)
		}
	}
	sort.Strings(urls)
	return urls
}
