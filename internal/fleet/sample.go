package fleet

// maxRedraws bounds the draws of a candidate that are repeated because it is slow.
const maxRedraws = 8

// sampler draws candidates at random. The numbers are pseudo-random and start from the
// host's name, so that hosts draw differently and a simulation can be repeated.
type sampler struct {
	state uint64
	// rated are the candidates of the current choice; cached, local and all are indices of
	// them. Their memory is reused, since a choice is among up to 160 candidates.
	rated              []ratedCandidate
	cached, local, all []int
}

// cheapestOfSample returns the candidate with the lowest cost of a few: the preferred
// endpoint, one of the host's zone and one of all, or instead of one of these an endpoint
// that has a part of the prompt cached. Hosts that know the same would otherwise all choose the same endpoint, whose
// advantage is used up long before the next reports say so. Slow endpoints are drawn the
// more seldom the slower they are.
func (r *Registry) cheapestOfSample(preferred *member) *member {
	s := &r.sampler
	s.cached, s.local, s.all = s.cached[:0], s.local[:0], s.all[:0]
	var best *ratedCandidate
	for i := range s.rated {
		c := &s.rated[i]
		s.all = append(s.all, i)
		if c.cached {
			s.cached = append(s.cached, i)
		}
		if c.member.Zone == r.config.Zone {
			s.local = append(s.local, i)
		}
		if c.member == preferred {
			best = c
		}
	}
	lists := [2][]int{s.local, s.all}
	if len(s.cached) > 0 {
		// With a third draw, the hosts of a large fleet choose the same endpoints more often.
		lists[s.next()%2] = s.cached
	}
	for _, list := range lists {
		if c := s.draw(list); c != nil && (best == nil || c.expected < best.expected) {
			best = c
		}
	}
	return best.member
}

// draw returns one of the candidates with the indices, or nil if there is none.
func (s *sampler) draw(indices []int) *ratedCandidate {
	if len(indices) == 0 {
		return nil
	}
	c := &s.rated[indices[s.next()%uint64(len(indices))]]
	for range maxRedraws {
		const precision = 1 << 16
		if float64(s.next()%precision)*c.baseline < precision {
			break
		}
		c = &s.rated[indices[s.next()%uint64(len(indices))]]
	}
	return c
}

// next returns the next pseudo-random number (SplitMix64).
func (s *sampler) next() uint64 {
	s.state += 0x9e3779b97f4a7c15
	x := s.state
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
