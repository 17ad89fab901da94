package repeat

// Outcome is the outcome of an attempt.
type Outcome int

const (
	// Final means that no retry is needed: the response was passed on to the
	// caller, or another endpoint would respond in the same way.
	Final Outcome = iota
	// NotReached means that no byte of the request reached the endpoint.
	NotReached
	// NotRun means that the endpoint reported that it did not run the request.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// CallerGone means that the caller disconnected or its time limit passed.
	CallerGone
)

// Policy is a retry policy: it specifies how often a request may be attempted.
type Policy struct {
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// MaxAttempts is the maximum number of attempts in which the request was
	// sent.
	MaxAttempts int
	// MaxDialFailures is the maximum number of attempts in which the endpoint
	// could not be reached. These are not charged to the retry budget. If it
	// is zero, callers must count them in Attempts.Sent instead.
	MaxDialFailures int
}

// Attempts counts the previous attempts of a request.
type Attempts struct {
	// Sent counts the attempts in which the request was sent, DialFailures
	// those in which the endpoint could not be reached.
	Sent, DialFailures int
}

// Decision states whether a request is retried, or why not.
type Decision int

const (
	// Forbidden means that a retry might run the request twice, or that its
	// response is not needed.
	Forbidden Decision = iota
	// Exhausted means that the request reached its maximum number of attempts.
	Exhausted
	// OverBudget means that the service's retry budget is empty.
	OverBudget
	// Allowed means that the request is retried without charging the budget,
	// since no endpoint has received it.
	Allowed
	// AllowedWithinBudget means that the request is retried and that the retry
	// is charged to the budget.
	AllowedWithinBudget
)

// IsRetry reports whether the request is retried.
func (d Decision) IsRetry() bool { return d >= Allowed }

// Decide decides whether to retry after an attempt with the given outcome, which
// is included in attempts. It does not take the retry budget into account.
func (p Policy) Decide(attempts Attempts, outcome Outcome) Decision {
	switch {
	case outcome == Final || outcome == CallerGone || outcome == Unknown && !p.Repeatable:
		return Forbidden
	case outcome == NotReached && p.MaxDialFailures > 0 && attempts.DialFailures < p.MaxDialFailures:
		return Allowed
	case outcome == NotReached && p.MaxDialFailures > 0 || attempts.Sent >= p.MaxAttempts:
		return Exhausted
	default:
		return AllowedWithinBudget
	}
}
