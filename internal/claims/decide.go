// Package claims lets a request that must not be repeated run at most once.
// Before the first byte of such a request goes to an endpoint, a host claims
// its idempotency key in the platform by a conditional create; every repeat
// on any host meets that claim.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
)

// Request identifies a request that must not be repeated.
type Request struct {
	Organisation   string
	Route          string
	IdempotencyKey string
	// Fingerprint is a hash of what the request asks for. A repeat of the key
	// with another fingerprint is a mistake of the caller.
	Fingerprint string
}

// name returns the name of the request's claim: a hash, so that it has a
// bounded length and keeps callers' keys out of listings and logs.
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

// Answer is what the endpoint answered.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	// Body is nil where TooLarge is set.
	Body []byte `json:"body,omitempty"`
	// TooLarge is set where the body exceeded what is kept. The request ran,
	// and its answer can't be given again.
	TooLarge bool `json:"tooLarge,omitempty"`
}

// State is the state of a claim in the platform.
type State string

// The states of a claim.
const (
	// StateStarted means that the request may be running or may have run.
	StateStarted State = "started"
	// StateRan means that the endpoint answered; the record has the answer.
	StateRan State = "ran"
	// StateNotRun means that nothing was sent. The claim may be taken over.
	StateNotRun State = "notrun"
	// StateUnknown means that it was sent and will not be known to have run.
	StateUnknown State = "unknown"
)

// Owner is the process that made a claim.
type Owner struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// Record is a claim as kept in the platform.
type Record struct {
	State       State   `json:"state"`
	Owner       Owner   `json:"owner"`
	Fingerprint string  `json:"fingerprint"`
	Answer      *Answer `json:"answer,omitempty"`
	// UnixMillis is the owner's time of the last write, for people to read.
	UnixMillis int64 `json:"unixMillis"`
}

// Result is what becomes of a request that meets a claim.
type Result string

// The results of Begin.
const (
	// Claimed means that the caller of Begin owns the claim and may send the
	// request once.
	Claimed Result = "claimed"
	// Recorded means that the request ran and its answer is at hand.
	Recorded Result = "recorded"
	// StillRunning means that another attempt is under way.
	StillRunning Result = "still running"
	// Unknown means that the request may have run and nobody can tell.
	Unknown Result = "unknown"
	// Mismatch means that the key belongs to another request.
	Mismatch Result = "mismatch"
	// NotClaimed means that no attempt has run or may be running. Only Lookup
	// returns it.
	NotClaimed Result = "not claimed"
	// takeOver means that the claim is free: its request was never sent.
	takeOver Result = "take over"
)

// Decide tells what becomes of a request that meets an existing claim.
// Whether the owner is alive only decides between "still running" and
// "unknown"; it never makes a request run.
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
