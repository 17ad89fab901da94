package repeat

// End is how a send of a request ended.
type End int

const (
	// Over means that nothing is left to send: the answer was passed on, or
	// another endpoint would answer the same.
	Over End = iota
	// NotReached means that no byte of the request got to the endpoint.
	NotReached
	// NotRun is the endpoint's word that it did not run the request.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// CallerGone means that the caller went away or its time is over.
	CallerGone
)

// Rule says how often a request may be sent.
type Rule struct {
	// Repeatable tells that the request may run more than once.
	Repeatable bool
	// MaxSends bounds the endpoints that it is sent to.
	MaxSends int
	// MaxDials bounds the endpoints that could not be reached; they cost
	// nothing else. Where it is zero they count as sends.
	MaxDials int
}

// Sent counts what was tried for a request.
type Sent struct {
	// Sends counts the endpoints that the request was sent to, Dials those that
	// could not be reached.
	Sends, Dials int
}

// Decision tells whether a request is sent once more, or why not.
type Decision int

const (
	// Forbidden means that another run may do harm or helps nobody.
	Forbidden Decision = iota
	// Exhausted means that the request was tried often enough.
	Exhausted
	// OverBudget means that the service has no retry left.
	OverBudget
	// Allowed costs no retry, since no endpoint had work with the request.
	Allowed
	// AllowedWithinBudget costs one retry.
	AllowedWithinBudget
)

// Yes reports whether the request is sent once more.
func (d Decision) Yes() bool { return d >= Allowed }

// Again decides on a further send, but for the budget.
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
