package daemon

import (
	"net/http"
	"time"

	"bilberryslip.example/bilberryslip/internal/config"
)

// maxConfigAge is the time since the configuration was last verified to be the
// latest after which a request first waits, for a short time, for another
// verification. It is longer than the interval of the periodic verification, so
// it is exceeded only after a pause of the process or in an outage.
const maxConfigAge = 4 * time.Second

// ensureFreshConfig brings the configuration up to date before a request is
// authenticated, so that a process that was paused does not authenticate it by
// the configuration from before the pause. The request proceeds also if the
// configuration could not be verified.
func ensureFreshConfig(log *config.Log, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		log.EnsureFresh(r.Context(), maxConfigAge)
		next.ServeHTTP(w, r)
	})
}
