// Package objectstore is a client of the platform's object API, which stores
// configuration, status and the system's own objects. Store is the interface
// that the rest of the program uses.
package objectstore

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Kind is the name of a collection of objects.
type Kind string

// The kinds of object that the system stores in the platform.
const (
	// KindConfigChange holds the configuration log, one object per revision.
	KindConfigChange Kind = "config-changes"
	// KindConfigSnapshot holds chunks of configuration snapshots.
	KindConfigSnapshot Kind = "config-snapshots"
	// KindShareLedger holds the ledgers that divide rate limits among hosts.
	KindShareLedger Kind = "share-ledgers"
	// KindClaim holds the claims of non-repeatable requests.
	KindClaim Kind = "claims"
	// KindLease holds leases, such as that of a placement owner.
	KindLease Kind = "leases"
	// KindEndpointIntent holds the orders to endpoints that may still take
	// effect.
	KindEndpointIntent Kind = "endpoint-intents"
	// KindDecisionSegment holds batches of decision records.
	KindDecisionSegment Kind = "decision-segments"
)

// Object is one stored value.
type Object struct {
	Kind    Kind    `json:"kind"`
	Name    string  `json:"name"`
	Version Version `json:"version"`
	// WriteID identifies the write that stored this value, so that a writer
	// that got no response can determine whether its write took effect.
	WriteID string          `json:"writeId"`
	Value   json.RawMessage `json:"value"`
}

// Listing holds the objects of a kind at one version of the store.
type Listing struct {
	Version Version  `json:"version"`
	Items   []Object `json:"items"`
	// AsOf is when the call that the store responded to began, by clock.Boot: what the
	// store held then is in the listing or was removed since. Zero if that is unknown.
	AsOf time.Time `json:"-"`
}

// EventType is the type of an Event.
type EventType string

// The types of Event.
const (
	// EventPut reports an object that was created or updated.
	EventPut EventType = "PUT"
	// EventDelete reports an object that was deleted; its Version is that of
	// the deletion.
	EventDelete EventType = "DELETE"
	// EventBookmark reports only that the watch has delivered all events up
	// to its version. It also serves as a heartbeat.
	EventBookmark EventType = "BOOKMARK"
)

// Event is one message of a watch. Version is the version of the write that it
// reports; for a bookmark, the version up to which the watch is complete.
type Event struct {
	Type    EventType `json:"type"`
	Version Version   `json:"version"`
	Object  Object    `json:"object"`
	// AsOf is set in bookmarks if it is known when the call that the store responded to
	// began, by clock.Boot: all changes up to then have been delivered.
	AsOf time.Time `json:"-"`
}

// Watch is a stream of the events of a kind. Events is closed when the watch
// ends; Err then returns the cause. Stop ends the watch.
type Watch interface {
	Events() <-chan Event
	Err() error
	Stop()
}

// Store is the platform's object API. Every method may return
// *UnavailableError.
type Store interface {
	// Get returns *NotFoundError if the object does not exist.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns the objects whose names begin with prefix, ordered by name.
	List(ctx context.Context, kind Kind, prefix string) (Listing, error)
	// Create stores a new object. It returns *ConflictError if the object
	// exists.
	Create(ctx context.Context, kind Kind, name, writeID string, value json.RawMessage) (Object, error)
	// Update replaces the value if the object is at the given version, and
	// otherwise returns *ConflictError or *NotFoundError.
	Update(ctx context.Context, kind Kind, name string, version Version, writeID string, value json.RawMessage) (Object, error)
	// Delete removes the object if it is at the given version, and otherwise
	// returns *ConflictError or *NotFoundError.
	Delete(ctx context.Context, kind Kind, name string, version Version) error
	// Watch streams the events of a kind after a version. It returns
	// *CompactedError if the store has compacted some of them.
	Watch(ctx context.Context, kind Kind, after Version) (Watch, error)
}

// HostState is the state of a host in the platform's host list.
type HostState string

// The states of a host in the platform's host list.
const (
	HostLive HostState = "live"
	// HostDraining means that the host is draining before its removal.
	HostDraining HostState = "leaving"
)

// ListedHost is one entry of the platform's host list, which may be stale.
type ListedHost struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone"`
	PeerURL string    `json:"peerUrl"`
	State   HostState `json:"state"`
}

// HostLister reads the platform's list of entry hosts, which may be stale.
type HostLister interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// WriteOutcome is what is known about the effect of a call that failed with
// UnavailableError.
type WriteOutcome string

// The outcomes of a call that failed.
const (
	// OutcomeNotSent means that the call had no effect: no byte of it left this
	// process, or the platform refused it without applying it.
	OutcomeNotSent WriteOutcome = "not sent"
	// OutcomeUnknown means that the call may have taken effect.
	OutcomeUnknown WriteOutcome = "unknown"
)

// UnavailableError reports a call that got no response, an incomplete one, or one
// that asks to retry later.
type UnavailableError struct {
	Outcome WriteOutcome
	// RetryAfter is the wait that the platform asked for. Zero means none.
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

// ConflictError reports a conditional write whose condition does not hold.
type ConflictError struct {
	// Current is the object as stored.
	Current Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %q is at version %s; read it again and repeat the change", e.Current.Kind, e.Current.Name, e.Current.Version)
}

// CompactedError reports a watch from a version whose events the store has
// compacted.
type CompactedError struct {
	// Oldest is the lowest version from which a watch can start. Zero means
	// that the store did not report it.
	Oldest Version
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("events before version %s are gone; list the kind and watch from the listing's version", e.Oldest)
}
