// Package membership tracks the entry hosts: which exist, which are alive and
// which are draining. Table decides, without clock or I/O; Service feeds it from
// gossip, the platform's host list, which may lag, and settings.
package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
)

// MaxDigests is the maximum number of hosts that one gossip message describes.
const MaxDigests = 16

// extraTimeout is added to the failure timeout for each MaxDigests hosts.
const extraTimeout = time.Second

// Host is the known state of one entry host.
type Host struct {
	Name string
	// Incarnation identifies the process; it differs after each restart.
	Incarnation string
	Zone        string
	// PeerURL is the base URL of the host's peer service.
	PeerURL string
	// Alive is set while the host's heartbeat advances.
	Alive bool
	// Leaving is set once the host is draining, for the rest of the incarnation.
	Leaving        bool
	ConfigRevision int64
	// LastHeard is when the host's heartbeat was last seen to advance, by the
	// local clock.
	LastHeard time.Time
}

// TableConfig configures a Table.
type TableConfig struct {
	// Self describes this host: Name, Incarnation, Zone and PeerURL.
	Self Host
	// FailureTimeout is how long a heartbeat may fail to advance before the host
	// counts as dead. It applies to small fleets and grows with the number of
	// hosts. Zero means 5 s.
	FailureTimeout time.Duration
	// Seeds are the base URLs of peers to contact first, whose names are not
	// known yet.
	Seeds []string
}

// Table holds the state of all hosts. It is not safe for concurrent use.
type Table struct {
	config    TableConfig
	heartbeat uint64
	rows      map[rowKey]*row
	// keys holds the rows' keys in the order in which they were first seen.
	keys   []rowKey
	seeds  map[string]bool
	listed map[string]string
}

type rowKey struct{ host, incarnation string }

type row struct {
	digest      *peerv1.HostDigest
	firstSeen   time.Time
	lastAdvance time.Time
}

// NewTable returns a table without other hosts.
func NewTable(config TableConfig) *Table {
	if config.FailureTimeout == 0 {
		config.FailureTimeout = 5 * time.Second
	}
	t := &Table{config: config, rows: make(map[rowKey]*row), seeds: make(map[string]bool)}
	for _, url := range config.Seeds {
		t.seeds[url] = true
	}
	return t
}

// AdvanceHeartbeat advances the host's own heartbeat and removes hosts whose
// heartbeat has not advanced for four times the failure timeout.
func (t *Table) AdvanceHeartbeat(now time.Time) {
	t.heartbeat++
	t.keys = slices.DeleteFunc(t.keys, func(key rowKey) bool {
		expired := now.Sub(t.rows[key].lastAdvance) > 4*t.timeout()
		if expired {
			delete(t.rows, key)
		}
		return expired
	})
}

// timeout returns the failure timeout. It grows with the number of hosts, since a
// message describes only MaxDigests of them.
func (t *Table) timeout() time.Duration {
	return t.config.FailureTimeout + time.Duration(len(t.rows)/MaxDigests)*extraTimeout
}

// SetConfigRevision sets the configuration revision that this host reports.
func (t *Table) SetConfigRevision(revision int64) { t.config.Self.ConfigRevision = revision }

// SetDraining makes this host report that it is draining.
func (t *Table) SetDraining() { t.config.Self.Leaving = true }

// SetHostList replaces the platform's host list: base URLs by host name. The list
// may lag, so it only provides candidates to contact and does not affect which
// hosts count as alive.
func (t *Table) SetHostList(urls map[string]string) { t.listed = urls }

// Merge merges a host's digest, received from that host or from another.
func (t *Table) Merge(now time.Time, digest *peerv1.HostDigest) {
	if digest.GetHost() == "" || digest.GetIncarnation() == "" {
		return
	}
	key := rowKey{digest.GetHost(), digest.GetIncarnation()}
	if key == (rowKey{t.config.Self.Name, t.config.Self.Incarnation}) {
		return
	}
	r := t.rows[key]
	if r == nil {
		t.rows[key] = &row{digest: digest, firstSeen: now, lastAdvance: now}
		t.keys = append(t.keys, key)
		return
	}
	leaving := r.digest.GetLeaving() || digest.GetLeaving()
	if digest.GetHeartbeat() > r.digest.GetHeartbeat() {
		r.digest = digest
		r.lastAdvance = now
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

// SelfDigest returns this host's own digest.
func (t *Table) SelfDigest() *peerv1.HostDigest {
	s := t.config.Self
	return &peerv1.HostDigest{
		Host: s.Name, Incarnation: s.Incarnation, Zone: s.Zone, PeerUrl: s.PeerURL,
		Heartbeat: t.heartbeat, ConfigRevision: s.ConfigRevision, Leaving: s.Leaving,
	}
}

// Hosts returns the latest incarnation of each other host, sorted by name.
func (t *Table) Hosts(now time.Time) []Host {
	latest := make(map[string]*row, len(t.rows))
	for _, r := range t.rows {
		name := r.digest.GetHost()
		if current := latest[name]; name != t.config.Self.Name && (current == nil || t.supersedes(now, r, current)) {
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

// supersedes reports whether a counts as a later incarnation than b. A live one
// supersedes a dead one; otherwise the one that was first seen later does.
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
	return now.Sub(r.lastAdvance) <= t.timeout()
}

func (t *Table) host(now time.Time, r *row) Host {
	d := r.digest
	return Host{
		Name: d.GetHost(), Incarnation: d.GetIncarnation(), Zone: d.GetZone(), PeerURL: d.GetPeerUrl(),
		Alive: t.alive(now, r), Leaving: d.GetLeaving(),
		ConfigRevision: d.GetConfigRevision(), LastHeard: r.lastAdvance,
	}
}

// Digests returns the digests of up to MaxDigests hosts that are alive, chosen at
// random, for gossip. Dead hosts are left out, so that other hosts don't add them
// again.
func (t *Table) Digests(now time.Time, random *rand.Rand) []*peerv1.HostDigest {
	var digests []*peerv1.HostDigest
	for _, key := range t.keys {
		if r := t.rows[key]; t.alive(now, r) {
			digests = append(digests, r.digest)
		}
	}
	return sample(digests, MaxDigests, random)
}

// Targets returns the base URLs of up to n hosts to gossip with: one candidate
// that is not known to be alive, hosts whose heartbeat has not advanced for half
// the failure timeout, and other live hosts at random.
func (t *Table) Targets(now time.Time, n int, random *rand.Rand) []string {
	excluded := map[string]bool{t.config.Self.PeerURL: true}
	var stale, recent []string
	for _, key := range t.keys {
		r := t.rows[key]
		url := r.digest.GetPeerUrl()
		if !t.alive(now, r) || excluded[url] {
			continue
		}
		excluded[url] = true
		if now.Sub(r.lastAdvance) > t.timeout()/2 {
			stale = append(stale, url)
		} else {
			recent = append(recent, url)
		}
	}
	targets := sample(t.unreachedCandidates(excluded), 1, random)
	targets = append(targets, sample(stale, max(0, n-1-len(targets)), random)...)
	return append(targets, sample(recent, max(0, n-len(targets)), random)...)
}

// sample returns up to n items, chosen at random. It reorders items.
func sample[T any](items []T, n int, random *rand.Rand) []T {
	n = min(n, len(items))
	for i := range n {
		j := i + random.IntN(len(items)-i)
		items[i], items[j] = items[j], items[i]
	}
	return items[:n]
}

func (t *Table) unreachedCandidates(excluded map[string]bool) []string {
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
		if url != "" && !excluded[url] {
			urls = append(urls, url)
		}
	}
	sort.Strings(urls)
	return urls
}
