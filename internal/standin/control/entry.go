package control

import (
	"net/http"
	"time"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// NewEntry returns the journal entry of a request that has just been received.
// Its outcome is OutcomeRefused until the caller records that the request runs.
func NewEntry(r *http.Request, body []byte) Entry {
	return Entry{
		Attempt:    r.Header.Get(engineapi.HeaderAttempt),
		Method:     r.Method,
		Path:       r.URL.Path,
		Query:      r.URL.RawQuery,
		Host:       r.Host,
		Header:     r.Header.Clone(),
		Body:       string(body),
		Outcome:    OutcomeRefused,
		UnixMillis: time.Now().UnixMilli(),
	}
}
