package fleet

import (
	"bilberryslip.example/bilberryslip/internal/endpoint"
)

// Attempt is one send of a request in the accounts of its endpoint.
type Attempt struct {
	// Endpoint is the description at the time of the choice.
	Endpoint Endpoint

	registry *Registry
	member   *member
	unread   int
	begun    bool
	finished bool
}

// Begun notes that the answer has begun: the prompt was read.
func (a *Attempt) Begun() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.begin()
}

func (a *Attempt) begin() {
	if !a.begun {
		a.begun = true
		a.member.unreadTokens -= a.unread
	}
}

// Reported takes the load that the endpoint told with its answer.
func (a *Attempt) Reported(load Load) {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.member.load = load
	a.member.loadAt = a.registry.config.Clock()
	a.member.runningAtLoad = a.member.running
}

// Finish takes the attempt out of the accounts, the first time it is called.
func (a *Attempt) Finish(outcome endpoint.Outcome) {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	a.begin()
	a.member.running--
	a.registry.ejector.Observe(a.registry.config.Clock(), a.member.ID, outcome)
}
