package config

// Static is a Source with a fixed snapshot.
type Static struct {
	Snapshot *Snapshot
}

// Current implements Source.
func (s Static) Current() *Snapshot { return s.Snapshot }

// Changed implements Source. It returns a nil channel, which never becomes
// ready.
func (s Static) Changed() <-chan struct{} { return nil }
