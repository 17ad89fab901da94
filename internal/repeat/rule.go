package repeat

// End is the outcome of an attempt.
type End int

const (
	// Over means that no retry is needed: the response was passed on to the
	// caller, or another endpoint would respond in the same way.
	Over End = iota
	// NotReached means that no byte of the request reached the endpoint.
	NotReached
	// NotRun means that the endpoint reported that it did not run the request.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// CallerGone means that the caller disconnected or its time limit passed.
	CallerGone
)

// Rule specifies how often a request may be attempted.
type Rule struct {
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// MaxSends is the maximum number of attempts in which the request was
	// sent.
	MaxSends int
	// MaxDials is the maximum number of attempts in which the endpoint could
	// not be reached. These are not charged to the retry budget. If MaxDials
	// is zero, callers must count them in Sent.Sends instead.
	MaxDials int
}

// Sent counts the previous attempts of a request.
type Sent struct {
	// Sends counts the attempts in which the request was sent, Dials those in
	// which the endpoint could not be reached.
	Sends, Dials int
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

// Yes reports whether the request is retried.
func (d Decision) Yes() bool { return d >= Allowed }

// Again decides whether to retry after an attempt that ended with end, without
// regard to the budget. The counts in sent include that attempt.
func (r Rule) Again(sent Sent, end End) Decision {
	switch {
	case end == Over || end == CallerGone || end == Unknown && !r.Repeatable:
		return Forbidden
	case end == NotReached && r.MaxDials > 0 && sent.Dials < r.MaxDials:
		return Allowed
	case end == NotReached && r.MaxDials > 0 || sent.Sends >= r.MaxSends:
		return Exhausted
	default:
		return AllowedWithinBudget
	}
}
