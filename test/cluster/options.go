package cluster

import (
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/settings"
)

// Names of the configuration that every cluster starts with.
const (
	// Every engine starts with Model in version Version loaded.
	Model   = "draft"
	Version = "draft-v1"
	// Every engine starts with Adapter loaded. Only OrganisationA may use it.
	Adapter = "draft-sapphire"
	// OrganisationA and OrganisationB have rates that are too high to limit a test.
	OrganisationA = "org-a"
	OrganisationB = "org-b"
	// Service is the name of the plain service.
	Service = "registry"
	// Calls to Certificates may not be repeated; calls to Lookups and Open may.
	// Open needs no key.
	Certificates = "/services/registry/certificates"
	Lookups      = "/services/registry/lookups"
	Open         = "/services/registry/open"
)

const (
	engineMemoryBytes = 1_000_000
	modelBytes        = 100_000
	adapterBytes      = 1_000
	nonLimitingTokens = 1_000_000
)

// Options configures a cluster. The zero value is one availability zone with one
// host and no endpoints.
type Options struct {
	// Zones is the number of availability zones. Zero means 1.
	Zones int
	// HostsPerZone is the number of hosts in each zone. Zero means 1.
	HostsPerZone    int
	EnginesPerZone  int
	ServicesPerZone int
	EngineArgs      []string
	ServiceArgs     []string
	PlatformArgs    []string
	// Objects are applied together with the initial configuration.
	Objects []*apiv1.Object
	// Settings, if set, modifies the settings of each host before it starts.
	Settings func(*settings.Settings)
}

func (o *Options) zones() int        { return max(o.Zones, 1) }
func (o *Options) hostsPerZone() int { return max(o.HostsPerZone, 1) }

// baseSettings returns the default settings with shorter timeouts, debug logs and
// fatal invariants.
func baseSettings() settings.Settings {
	base := settings.Default()
	base.FatalInvariants = true
	base.Log.Level = "debug"
	base.Shutdown.BalancerDelay = settings.Duration(500 * time.Millisecond)
	base.Shutdown.Limit = settings.Duration(30 * time.Second)
	base.Endpoints.FirstByteTimeout = settings.Duration(3 * time.Second)
	base.Endpoints.ProgressTimeout = settings.Duration(time.Second)
	return base
}
