package fleet

import "bilberryslip.example/bilberryslip/internal/reach"

// Targets returns the endpoints of a service that may get requests of this host now, to
// check the path to them.
func (r *Registry) Targets(service string) []reach.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	var targets []reach.Target
	for _, m := range r.members {
		if m.Service == service && r.usable(m, now) && !now.Before(m.backoffUntil) {
			targets = append(targets, reach.Target{ID: m.ID, Address: m.Address, Zone: m.Zone})
		}
	}
	return targets
}
