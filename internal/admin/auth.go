package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"
)

// maxRequestBytes bounds one request of an operator.
const maxRequestBytes = 4 << 20

// Operator is one operator's credential.
type Operator struct {
	Name string
	// TokenSHA256 is the SHA-256 of the bearer token, lower-case hex.
	TokenSHA256 string
}

type operatorKey struct{}

// OperatorName returns the name of the operator who sent the request, or ""
// outside of one.
func OperatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// RequireOperator lets through only requests with the bearer token of one of
// the operators, and bounds their bodies. No operators means that none is let
// through.
func RequireOperator(operators []Operator, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := authenticate(operators, r.Header.Values("Authorization"))
		if !ok {
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("the request has no valid operator token; send one header 'Authorization: Bearer TOKEN' with a token whose SHA-256 is in the host's settings"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

func authenticate(operators []Operator, headers []string) (name string, ok bool) {
	if len(headers) != 1 {
		return "", false
	}
	token, isBearer := strings.CutPrefix(headers[0], "Bearer ")
	if !isBearer || token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	for _, operator := range operators {
		if subtle.ConstantTimeCompare(hash, []byte(operator.TokenSHA256)) == 1 {
			return operator.Name, true
		}
	}
	return "", false
}
