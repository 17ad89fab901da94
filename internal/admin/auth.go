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

// maxRequestBytes is the maximum size of the body of an operator's request.
const maxRequestBytes = 4 << 20

// Operator is the credential of one operator.
type Operator struct {
	// Name is recorded as the author of the operator's changes.
	Name string
	// TokenSHA256 is the SHA-256 of the bearer token, lower-case hex.
	TokenSHA256 string
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// OperatorName returns the name of the operator who sent the request that ctx
// belongs to, or "" if ctx does not come from RequireOperator.
func OperatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// RequireOperator passes a request to next only if it carries the bearer token
// of one of the operators, and limits the size of its body. Without operators
// it rejects every request.
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

// authenticate returns the operator whose token is in the only Authorization
// header. It compares hashes in constant time.
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
