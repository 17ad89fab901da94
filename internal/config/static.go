package config

// Static is a Source whose snapshot never changes.
type Static struct {
	Snapshot *Snapshot
}

// Current implements Source.
func (s Static) Current() *Snapshot { return s.Snapshot }

// Changed implements Source; the channel is never closed.
func (s Static) Changed() <-chan struct{} { return nil }
