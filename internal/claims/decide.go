// Package claims makes requests to non-repeatable routes run at most once.
// Before the first byte of such a request is sent to an endpoint, a host
// claims its idempotency key in the platform by a conditional create. Every
// retry with that key, on any host, finds the claim.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
)

// Request identifies a request that must run at most once.
type Request struct {
	Organisation   string
	Route          string
	IdempotencyKey string
	// Fingerprint is a hash of the request's contents. Reuse of the key with
	// another fingerprint is a caller error and yields Mismatch.
	Fingerprint string
}

// name returns the name of the request's claim object. It is a hash, which has
// a bounded length and keeps callers' keys out of listings and logs.
func (r Request) name() string {
	hash := sha256.New()
	for _, part := range []string{r.Organisation, r.Route, r.IdempotencyKey} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Response is the endpoint's response to a claimed request.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	// Body is nil if TooLarge is set.
	Body []byte `json:"body,omitempty"`
	// TooLarge is set if the body exceeded the size limit and was not stored.
	// The request ran, but its response can't be replayed.
	TooLarge bool `json:"tooLarge,omitempty"`
}

// State is the state of a claim as stored in the platform.
type State string

// The states of a claim.
const (
	// StateStarted means that the request may be running or may have run.
	StateStarted State = "started"
	// StateRan means that the endpoint responded; the record has the response.
	StateRan State = "ran"
	// StateNotRun means that nothing was sent. A retry may take the claim over.
	StateNotRun State = "notrun"
	// StateUnknown means that the request was sent and that whether it ran
	// can't be determined.
	StateUnknown State = "unknown"
)

// Owner identifies the process that made a claim.
type Owner struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// Record is the stored form of a claim.
type Record struct {
	State       State     `json:"state"`
	Owner       Owner     `json:"owner"`
	Fingerprint string    `json:"fingerprint"`
	Answer      *Response `json:"answer,omitempty"`
	// UnixMillis is the owner's clock at the last write. It is informational
	// and affects no decision.
	UnixMillis int64 `json:"unixMillis"`
}

// Result is the result of claiming or looking up a request.
type Result string

// The results of Begin and Lookup.
const (
	// Claimed means that the caller of Begin owns the claim and may send the
	// request once.
	Claimed Result = "claimed"
	// Recorded means that the request ran and its response is on record.
	Recorded Result = "recorded"
	// StillRunning means that another attempt is in flight.
	StillRunning Result = "still running"
	// Unknown means that the request may have run and that its outcome can't
	// be determined.
	Unknown Result = "unknown"
	// Mismatch means that the key was used for a different request.
	Mismatch Result = "mismatch"
	// NotClaimed means that no attempt has run or may be running. Only Lookup
	// returns it.
	NotClaimed Result = "not claimed"
	// takeOver means that the claim may be taken over: its request was never
	// sent.
	takeOver Result = "take over"
)

// Decide returns the result for a request whose claim already exists.
// ownerAlive only distinguishes StillRunning from Unknown; it never causes a
// request to run.
func Decide(existing Record, req Request, ownerAlive bool) Result {
	if existing.Fingerprint != req.Fingerprint {
		return Mismatch
	}
	switch existing.State {
	case StateRan:
		return Recorded
	case StateNotRun:
		return takeOver
	case StateStarted:
		if ownerAlive {
			return StillRunning
		}
		return Unknown
	default:
		return Unknown
	}
}
