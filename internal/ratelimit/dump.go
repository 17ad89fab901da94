package ratelimit

import (
	"sort"
	"time"
)

// AccountDump is the state of one organisation's token bucket on this host, as
// shown to operators.
type AccountDump struct {
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"tokensPerSecond"`
	Burst        float64 `json:"burstTokens"`
	Level        float64 `json:"levelTokens"`
	Refundable   float64 `json:"refundableTokens"`
}

// Dump returns the state of every organisation's bucket, sorted by name.
func (l *Limiter) Dump(now time.Time) []AccountDump {
	l.advance(now)
	dumps := make([]AccountDump, 0, len(l.accounts))
	for organisation, a := range l.accounts {
		a.bucket.Advance(now)
		dumps = append(dumps, AccountDump{
			Organisation: organisation, Rate: a.bucket.rate, Burst: a.bucket.burst,
			Level: a.bucket.level, Refundable: a.bucket.refundable,
		})
	}
	sort.Slice(dumps, func(i, j int) bool { return dumps[i].Organisation < dumps[j].Organisation })
	return dumps
}
