package daemon

import (
	"net/http"
	"time"

	"bilberryslip.example/bilberryslip/internal/config"
)

// maxProofAge is the age of the last proof of the configuration from which a
// request first waits for another, for a short time. It is above the interval
// of proofs, so that it is reached only after a pause of the process or in an
// outage.
const maxProofAge = 4 * time.Second

// proveFirst makes a process that was paused read on before it authenticates
// a request by what it knew before the pause.
func proveFirst(log *config.Log, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		log.EnsureFresh(r.Context(), maxProofAge)
		next.ServeHTTP(w, r)
	})
}
