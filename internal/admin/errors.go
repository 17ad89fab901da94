package admin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
)

// The metadata that errors of the operators' service carry.
const (
	// MetaCurrentVersion is the object's version in a conflict.
	MetaCurrentVersion = "current_version"
	// MetaExpectedVersion is the version that the change expected.
	MetaExpectedVersion = "expected_version"
	// MetaKind is the kind of the object concerned.
	MetaKind = "kind"
	// MetaName is the name of the object concerned.
	MetaName = "name"
	// MetaFaults is a JSON array of FaultMeta.
	MetaFaults = "faults"
	// MetaRetryAfter is the time to wait before a retry, in seconds.
	MetaRetryAfter = "retry_after"
	// MetaChangeID identifies the change, for a safe retry.
	MetaChangeID = "change_id"
)

// FaultMeta is one fault of a change as error metadata.
type FaultMeta struct {
	Field   string `json:"field"`
	Message string `json:"message"`
}

// toTwirp turns an error of the configuration log into one of the service:
// a conflict is aborted, faults are invalid_argument, no platform is
// unavailable, and an unknown outcome is unknown.
func toTwirp(err error) twirp.Error {
	var (
		conflict   *config.ConflictError
		validation *config.ValidationError
		down       *config.UnavailableError
		unknown    *config.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &conflict):
		return twirp.Aborted.Error(err.Error()).
			WithMeta(MetaKind, config.KindName(conflict.Key.Kind)).
			WithMeta(MetaName, conflict.Key.Name).
			WithMeta(MetaExpectedVersion, strconv.FormatInt(conflict.Expected, 10)).
			WithMeta(MetaCurrentVersion, strconv.FormatInt(conflict.Current, 10))
	case errors.As(err, &validation):
		return twirp.InvalidArgument.Error(err.Error()).WithMeta(MetaFaults, faultsJSON(validation.Faults))
	case errors.As(err, &unknown):
		return twirp.Unknown.Error(err.Error()).WithMeta(MetaChangeID, unknown.ChangeID)
	case errors.As(err, &down):
		return twirp.Unavailable.Error(err.Error()).WithMeta(MetaRetryAfter, seconds(down.RetryAfter))
	default:
		return twirp.Internal.Error(err.Error())
	}
}

func faultsJSON(faults []config.Fault) string {
	list := make([]FaultMeta, len(faults))
	for i, fault := range faults {
		list[i] = FaultMeta(fault)
	}
	text, err := json.Marshal(list)
	if err != nil {
		return "[]"
	}
	return string(text)
}

func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'g', 3, 64)
}

// unavailable reports a read that the platform did not answer.
func unavailable(err error) twirp.Error {
	return toTwirp(&config.UnavailableError{RetryAfter: readRetryAfter, Cause: err})
}

func notFound(kind apiv1.Kind, name string) twirp.Error {
	text := fmt.Sprintf("%s %q does not exist; list the kind to see the names", config.KindName(kind), name)
	return twirp.NotFound.Error(text).WithMeta(MetaKind, config.KindName(kind)).WithMeta(MetaName, name)
}
