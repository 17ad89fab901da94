package fleet

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/endpoint"
)

// Attempt is one attempt of a request at an endpoint. The Registry counts it as
// running there from Registry.Start until Finish is called. It is safe for
// concurrent use.
type Attempt struct {
	// Endpoint is the endpoint's description when it was chosen.
	Endpoint Endpoint

	registry *Registry
	member   *member
	// unread is the number of prompt tokens that the endpoint has to process.
	unread int
	// promptRead is set once these tokens no longer count as pending.
	promptRead bool
	finished   bool
	pace       pace
}

// ResponseStarted must be called when the response has started, which shows that
// the endpoint has processed the prompt.
func (a *Attempt) ResponseStarted() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.markPromptRead()
	a.pace.respondedAt = a.registry.config.Clock()
}

func (a *Attempt) markPromptRead() {
	if !a.promptRead {
		a.promptRead = true
		a.member.unreadTokens -= a.unread
	}
}

// RecordLoad records the load that the endpoint reported with its response.
func (a *Attempt) RecordLoad(load Load) {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.member.load = load
	a.member.loadAt = a.registry.config.Clock()
	a.member.runningAtLoad = a.member.running
	a.pace.load = &load
}

// RecordLeaving must be called when the endpoint's response announces that it shuts
// down. It excludes the endpoint from later choices, here and in the peers.
func (a *Attempt) RecordLeaving() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.member.announcedLeaving = true
	a.registry.markLeaving(a.member, "")
}

// RecordBackoff must be called when the endpoint rejects the request and asks this
// host to send none for a time.
func (a *Attempt) RecordBackoff(wait time.Duration) { a.registry.BackOff(a.Endpoint, wait) }

// Finish ends the attempt and records its outcome for outlier ejection. Only the
// first call has an effect.
func (a *Attempt) Finish(outcome endpoint.Outcome) {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	a.markPromptRead()
	a.member.running--
	a.recordServiceTime(outcome)
	a.registry.ejector.Observe(a.registry.config.Clock(), a.member.ID, outcome)
}
