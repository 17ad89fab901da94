package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// zoneCapacity sums up the endpoints of one availability zone.
type zoneCapacity struct {
	name string
	// alive is set if an endpoint of the zone serves.
	alive bool
	pools []poolCapacity
}

// poolCapacity is the model memory of a zone's endpoints of one pool, in bytes.
type poolCapacity struct {
	pool string
	// limit is the largest model memory limit of an endpoint, alive or not.
	limit int64
	// free is the largest free model memory of an endpoint that serves.
	free int64
}

// addCapacity adds an endpoint to the capacity of its zone.
func addCapacity(zones []zoneCapacity, endpoint *Endpoint) []zoneCapacity {
	i := slices.IndexFunc(zones, func(z zoneCapacity) bool { return z.name == endpoint.Zone })
	if i < 0 {
		i = len(zones)
		zones = append(zones, zoneCapacity{name: endpoint.Zone})
	}
	zone := &zones[i]
	zone.alive = zone.alive || endpoint.Serves()
	j := slices.IndexFunc(zone.pools, func(r poolCapacity) bool { return r.pool == endpoint.Pool })
	if j < 0 {
		j = len(zone.pools)
		zone.pools = append(zone.pools, poolCapacity{pool: endpoint.Pool})
	}
	capacity := &zone.pools[j]
	capacity.limit = max(capacity.limit, endpoint.Account.Limits.ModelBytes)
	if endpoint.Serves() {
		capacity.free = max(capacity.free, endpoint.Account.Limits.ModelBytes-endpoint.Account.CountedModelBytes)
	}
	return zones
}

// rendezvousZone returns the zone that rendezvous hashing selects for the model
// among those that satisfy the condition, or an empty name. Every host selects
// the same zone.
func rendezvousZone(model string, zones []zoneCapacity, satisfies func(*zoneCapacity) bool) string {
	name := ""
	best := uint64(0)
	for i := range zones {
		if !satisfies(&zones[i]) {
			continue
		}
		rank := xxhash.Sum64String(model + "\x00" + zones[i].name)
		if name == "" || rank > best || (rank == best && zones[i].name < name) {
			name, best = zones[i].name, rank
		}
	}
	return name
}

// homeZoneOf returns the model's home zone, whose owner never removes its last
// replica of the model, so that the owners of other zones may rely on it. It does
// not depend on which endpoints are alive.
func homeZoneOf(m *Model, zones []zoneCapacity) string {
	return rendezvousZone(m.Name, zones, func(z *zoneCapacity) bool {
		return z.hasCapacity(m, func(r *poolCapacity) int64 { return r.limit })
	})
}

// recoveryZoneOf returns the zone that loads a model that is ready in no zone: the
// first in rendezvous order that is alive and has free memory for it, else the
// first that is alive and whose memory limit it fits.
func recoveryZoneOf(m *Model, zones []zoneCapacity) string {
	name := rendezvousZone(m.Name, zones, func(z *zoneCapacity) bool {
		return z.alive && z.hasCapacity(m, func(r *poolCapacity) int64 { return r.free })
	})
	if name != "" {
		return name
	}
	return rendezvousZone(m.Name, zones, func(z *zoneCapacity) bool {
		return z.alive && z.hasCapacity(m, func(r *poolCapacity) int64 { return r.limit })
	})
}

// hasCapacity reports whether a pool that the model allows has at least the
// model's memory by the given measure.
func (z *zoneCapacity) hasCapacity(m *Model, bytes func(*poolCapacity) int64) bool {
	return slices.ContainsFunc(z.pools, func(r poolCapacity) bool {
		return (len(m.Pools) == 0 || slices.Contains(m.Pools, r.pool)) && bytes(&r) >= m.Bytes
	})
}
