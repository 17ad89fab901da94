package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// zoneRoom is what is known of one availability zone's endpoints.
type zoneRoom struct {
	name  string
	alive bool
	pools []poolRoom
}

// poolRoom is the room of a zone's endpoints of one pool.
type poolRoom struct {
	pool string
	// limit is the largest model memory of an endpoint, alive or not.
	limit int64
	// free is the largest free memory of an endpoint that serves.
	free int64
}

func addRoom(zones []zoneRoom, endpoint *Endpoint) []zoneRoom {
	i := slices.IndexFunc(zones, func(z zoneRoom) bool { return z.name == endpoint.Zone })
	if i < 0 {
		i = len(zones)
		zones = append(zones, zoneRoom{name: endpoint.Zone})
	}
	zone := &zones[i]
	zone.alive = zone.alive || endpoint.Serves()
	j := slices.IndexFunc(zone.pools, func(r poolRoom) bool { return r.pool == endpoint.Pool })
	if j < 0 {
		j = len(zone.pools)
		zone.pools = append(zone.pools, poolRoom{pool: endpoint.Pool})
	}
	room := &zone.pools[j]
	room.limit = max(room.limit, endpoint.Account.Limits.ModelBytes)
	if endpoint.Serves() {
		room.free = max(room.free, endpoint.Account.Limits.ModelBytes-endpoint.Account.Models)
	}
	return zones
}

// first returns the first zone in the model's own order of the zones that
// satisfy the condition, or an empty name. The order is the same on every
// host.
func first(model string, zones []zoneRoom, satisfies func(*zoneRoom) bool) string {
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

// keeperZone returns the zone whose owner never removes its last replica of
// the model, so that the owners of other zones may rely on it. It does not
// depend on what is alive.
func keeperZone(m *Model, zones []zoneRoom) string {
	return first(m.Name, zones, func(z *zoneRoom) bool {
		return z.has(m, func(r *poolRoom) int64 { return r.limit })
	})
}

// rescueZone returns the zone that loads a model which is ready nowhere: the
// first that is alive and has free memory, or else the first that is alive.
func rescueZone(m *Model, zones []zoneRoom) string {
	name := first(m.Name, zones, func(z *zoneRoom) bool {
		return z.alive && z.has(m, func(r *poolRoom) int64 { return r.free })
	})
	if name != "" {
		return name
	}
	return first(m.Name, zones, func(z *zoneRoom) bool {
		return z.alive && z.has(m, func(r *poolRoom) int64 { return r.limit })
	})
}

func (z *zoneRoom) has(m *Model, bytes func(*poolRoom) int64) bool {
	return slices.ContainsFunc(z.pools, func(r poolRoom) bool {
		return (len(m.Pools) == 0 || slices.Contains(m.Pools, r.pool)) && bytes(&r) >= m.Bytes
	})
}
