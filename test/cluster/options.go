package cluster

import (
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/settings"
)

// Names of the configuration that every cluster starts with.
const (
	// Model and Version are held by every engine from its start.
	Model   = "draft"
	Version = "draft-v1"
	// Adapter is held by every engine from its start.
	Adapter = "draft-sapphire"
	// OrganisationA and OrganisationB have rates that no test reaches.
	OrganisationA = "org-a"
	OrganisationB = "org-b"
	// Service is the name of the plain services.
	Service = "registry"
	// Certificates may not be repeated, Lookups may, and Open needs no key.
	Certificates = "/services/registry/certificates"
	Lookups      = "/services/registry/lookups"
	Open         = "/services/registry/open"
)

const (
	engineMemoryBytes = 1_000_000
	modelBytes        = 100_000
	adapterBytes      = 1_000
	ampleTokens       = 1_000_000
)

// Options describes a cluster. The zero value is one availability zone with
// one host and nothing else.
type Options struct {
	// Zones is the number of availability zones. Zero means 1.
	Zones int
	// HostsPerZone is the number of hosts in each. Zero means 1.
	HostsPerZone    int
	EnginesPerZone  int
	ServicesPerZone int
	EngineArgs      []string
	ServiceArgs     []string
	PlatformArgs    []string
	// Objects are applied in addition to the configuration that every cluster
	// starts with.
	Objects []*apiv1.Object
	// Settings changes the settings of every host.
	Settings func(*settings.Settings)
}

func (o *Options) zones() int        { return max(o.Zones, 1) }
func (o *Options) hostsPerZone() int { return max(o.HostsPerZone, 1) }

// baseSettings are the defaults but for what would make tests long.
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
