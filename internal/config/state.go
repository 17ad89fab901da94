package config

// LogState is a Log's part of the state dump.
type LogState struct {
	Revision int64 `json:"revision"`
	Loaded   bool  `json:"loaded"`
	// ProofAgeMillis is the time since the revision was last proved to be the
	// latest. Negative means never.
	ProofAgeMillis int64 `json:"proofAgeMillis"`
	// Pending is the number of changes that wait for an earlier one.
	Pending int `json:"pending"`
	// History is the number of changes kept for peers.
	History int `json:"history"`
	Objects int `json:"objects"`
}

// DumpState returns the log's part of the state dump.
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

// proofAgeMillis returns the age of the last proof, rounded up, or -1. The
// caller holds the mutex.
func (l *Log) proofAgeMillis() int64 {
	if l.proof.IsZero() {
		return -1
	}
	return ceilMillis(l.config.Clock().Sub(l.proof))
}
