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

// Metadata keys of the errors of the operators' service.
const (
	// MetaCurrentVersion is the object's current version, in a conflict.
	MetaCurrentVersion = "current_version"
	// MetaExpectedVersion is the object's version expected by the change, in a
	// conflict.
	MetaExpectedVersion = "expected_version"
	// MetaKind is the kind of the object concerned.
	MetaKind = "kind"
	// MetaName is the name of the object concerned.
	MetaName = "name"
	// MetaFaults lists the faults of an invalid change, as a JSON array of
	// FaultMeta.
	MetaFaults = "faults"
	// MetaRetryAfter is the time to wait before a retry, in seconds.
	MetaRetryAfter = "retry_after"
	// MetaChangeID identifies the change. A retry with the same identifier
	// takes effect at most once.
	MetaChangeID = "change_id"
)

// FaultMeta is the JSON form of one validation fault of a change, as listed
// under MetaFaults.
type FaultMeta struct {
	Field   string `json:"field"`
	Message string `json:"message"`
}

// toTwirp converts an error of the configuration log: a version conflict to
// aborted, validation faults to invalid_argument, an unavailable platform to
// unavailable, an unknown outcome to unknown, and any other to internal.
func toTwirp(err error) twirp.Error {
	var (
		conflict            *config.ConflictError
		validation          *config.ValidationError
		unavailablePlatform *config.UnavailableError
		unknown             *config.UnknownOutcomeError
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
	case errors.As(err, &unavailablePlatform):
		return twirp.Unavailable.Error(err.Error()).WithMeta(MetaRetryAfter, seconds(unavailablePlatform.RetryAfter))
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

// seconds formats a duration for MetaRetryAfter.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'g', 3, 64)
}

// unavailable returns the error for a failed read from the platform.
func unavailable(err error) twirp.Error {
	return toTwirp(&config.UnavailableError{RetryAfter: readRetryAfter, Cause: err})
}

func notFound(kind apiv1.Kind, name string) twirp.Error {
	text := fmt.Sprintf("%s %q does not exist; list the kind to see the names", config.KindName(kind), name)
	return twirp.NotFound.Error(text).WithMeta(MetaKind, config.KindName(kind)).WithMeta(MetaName, name)
}
