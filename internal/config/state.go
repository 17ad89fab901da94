package config

// LogState describes a Log in the host's state dump.
type LogState struct {
	Revision int64 `json:"revision"`
	Loaded   bool  `json:"loaded"`
	// ProofAgeMillis is the time since the revision was last proved to be the
	// latest. Negative means never.
	ProofAgeMillis int64 `json:"proofAgeMillis"`
	// Pending is the number of changes that cannot be applied because an
	// earlier one is missing.
	Pending int `json:"pending"`
	// History is the number of applied changes kept in memory.
	History int `json:"history"`
	Objects int `json:"objects"`
}

// DumpState returns a LogState for the host's state dump.
func (l *Log) DumpState() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogState{
		Revision:       l.replica.revision(),
		Loaded:         l.loaded,
		ProofAgeMillis: l.proofAgeMillis(),
		Pending:        len(l.replica.pending),
		History:        len(l.replica.history),
		Objects:        len(l.replica.snapshot.objects),
	}
}

// proofAgeMillis returns the age of the last proof in milliseconds, rounded up,
// or -1 if there is none. It must be called with the mutex held.
func (l *Log) proofAgeMillis() int64 {
	if l.provenAt.IsZero() {
		return -1
	}
	return ceilMillis(l.config.Clock().Sub(l.provenAt))
}
