package lease

import "time"

// A store that is restored from an older copy may lose a lease that a candidate
// holds, or show one that has since passed to another holder. The candidates handle
// that by the eras of the store:
//
//   - A lease is valid only in the era in which it was written. A holder that sees a
//     new era stops acting until it has written the lease again.
//   - The holder of the previous era may write it immediately. No other candidate
//     could acquire the lease in that era while it was valid, and the next rule
//     excludes it in the new one.
//   - Other candidates wait for a lease's duration after they first saw the new era. By then every lease of the previous era has expired.

// eraState is a candidate's view of the store's era.
type eraState struct {
	era   int64
	known bool
	// since is when the candidate first saw the era.
	since time.Time
	// carriedUntil is until when the candidate holds the lease of the previous
	// era; zero if it did not.
	carriedUntil time.Time
	// unrestored reports that the store was not restored since the system's first
	// start, so that a missing lease never existed.
	unrestored bool
}

// settled reports whether every lease of the previous era has expired.
func (s *eraState) settled(now time.Time, duration time.Duration) bool {
	return s.era == 0 || s.unrestored || now.Sub(s.since) >= duration
}

// carried reports whether the candidate holds the lease of the previous era.
func (s *eraState) carried(now time.Time) bool { return now.Before(s.carriedUntil) }

// enterEra records an era of the store. If it is higher than the one known, the
// candidate forgets the stored lease, but keeps its term. It must be called with the
// mutex held.
func (l *Lease) enterEra(era int64) {
	now := l.cfg.Now()
	switch {
	case !l.eras.known:
		l.eras = eraState{era: era, known: true, since: now, unrestored: l.cfg.FirstStart}
	case era > l.eras.era:
		next := eraState{era: era, known: true, since: now, carriedUntil: l.eras.carriedUntil}
		if l.view.mayAct(l.self, now, l.cfg.Duration) {
			next.carriedUntil = l.view.validFrom.Add(l.cfg.Duration)
		}
		l.eras = next
		l.view = view{value: Value{Term: l.view.value.Term}}
		l.peerReportedAt = time.Time{}
		l.notify()
	}
}

// enterCurrentEra records the era that Config.Era returns, if it is known. It must
// be called with the mutex held.
func (l *Lease) enterCurrentEra() {
	if l.cfg.Era == nil {
		return
	}
	if era, known := l.cfg.Era(); known {
		l.enterEra(era)
	}
}
