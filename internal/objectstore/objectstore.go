// Package objectstore is the client side of the platform's object API, which
// keeps configuration, status and the system's own objects. Store is the
// interface that the rest of the program uses.
package objectstore

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Kind names a collection of objects.
type Kind string

// The kinds of object that the system keeps in the platform.
const (
	// KindConfigChange holds the configuration log, one object per revision.
	KindConfigChange Kind = "config-changes"
	// KindConfigSnapshot holds chunks of configuration snapshots.
	KindConfigSnapshot Kind = "config-snapshots"
	// KindShareLedger holds the division of rates among hosts.
	KindShareLedger Kind = "share-ledgers"
	// KindClaim holds the claims of non-repeatable requests.
	KindClaim Kind = "claims"
	// KindLease holds leases, such as that of a placement owner.
	KindLease Kind = "leases"
	// KindEndpointIntent holds the orders that may yet take effect.
	KindEndpointIntent Kind = "endpoint-intents"
	// KindDecisionSegment holds batches of decision records.
	KindDecisionSegment Kind = "decision-segments"
)

// Version orders all writes to the platform. A later write has a higher one.
type Version int64

// Object is one stored value.
type Object struct {
	Kind    Kind    `json:"kind"`
	Name    string  `json:"name"`
	Version Version `json:"version"`
	// WriteID identifies the write that stored this value, so that a writer
	// whose answer was lost can tell whether its write took effect.
	WriteID string          `json:"writeId"`
	Value   json.RawMessage `json:"value"`
}

// Listing is the objects of a kind at one version of the store.
type Listing struct {
	Version Version  `json:"version"`
	Items   []Object `json:"items"`
}

// EventType tells what an Event reports.
type EventType string

// The types of watch event.
const (
	// EventPut reports an object that was created or updated.
	EventPut EventType = "PUT"
	// EventDelete reports an object that was deleted; its Version is that of
	// the deletion.
	EventDelete EventType = "DELETE"
	// EventBookmark reports only that the watch has seen everything up to
	// its version. It also serves as heartbeat.
	EventBookmark EventType = "BOOKMARK"
)

// Event is one message of a watch. Version is that of the event.
type Event struct {
	Type    EventType `json:"type"`
	Version Version   `json:"version"`
	Object  Object    `json:"object"`
}

// Watch is a running watch. Events is closed when the watch ends; Err then
// tells why. Stop ends it.
type Watch interface {
	Events() <-chan Event
	Err() error
	Stop()
}

// Store is the platform's object API. Every method may return
// *UnavailableError.
type Store interface {
	// Get returns *NotFoundError where there is no such object.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns the objects whose names begin with prefix, by name.
	List(ctx context.Context, kind Kind, prefix string) (Listing, error)
	// Create returns *ConflictError where the object exists.
	Create(ctx context.Context, kind Kind, name, writeID string, value json.RawMessage) (Object, error)
	// Update replaces the value if the object still has the version given,
	// and otherwise returns *ConflictError or *NotFoundError.
	Update(ctx context.Context, kind Kind, name string, version Version, writeID string, value json.RawMessage) (Object, error)
	// Delete removes the object if it still has the version given, and
	// otherwise returns *ConflictError or *NotFoundError.
	Delete(ctx context.Context, kind Kind, name string, version Version) error
	// Watch reports the events of a kind after a version. It returns
	// *GoneError where the store no longer has them.
	Watch(ctx context.Context, kind Kind, after Version) (Watch, error)
}

// HostState is the state of a host in the platform's list.
type HostState string

// The states of a host in the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// ListedHost is one entry of the platform's host list, which lags.
type ListedHost struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone"`
	PeerURL string    `json:"peerUrl"`
	State   HostState `json:"state"`
}

// HostLister reads the platform's lagging list of entry hosts.
type HostLister interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// WriteOutcome tells what is known of a write that got no answer.
type WriteOutcome string

// The outcomes of a call that failed.
const (
	// OutcomeNotSent means that no byte of the call left this process.
	OutcomeNotSent WriteOutcome = "not sent"
	// OutcomeUnknown means that the call may have taken effect.
	OutcomeUnknown WriteOutcome = "unknown"
)

// UnavailableError reports a call that the platform did not answer.
type UnavailableError struct {
	Outcome WriteOutcome
	// RetryAfter is the platform's advice; zero where it gave none.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable (outcome %s): %v; check the platform's addresses and health, then retry", e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Kind Kind
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q does not exist; create it first", e.Kind, e.Name)
}

// ConflictError reports a conditional write that lost to another.
type ConflictError struct {
	// Current is the object as it stands.
	Current Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %q is at version %d; read it again and repeat the change", e.Current.Kind, e.Current.Name, e.Current.Version)
}

// GoneError reports a watch from a version that the store has compacted.
type GoneError struct {
	Oldest Version
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("events before version %d are gone; list the kind and watch from the listing's version", e.Oldest)
}
