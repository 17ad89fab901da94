package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/invariant"
)

// caller is the authenticated sender of a request. The zero value is an
// anonymous caller, accepted only on open routes.
type caller struct {
	organisation *apiv1.Organisation
	keyHash      string
	secret       string
}

func (c caller) anonymous() bool { return c.organisation == nil }

// HashKey returns the lower-case hexadecimal SHA-256 digest under which the
// configuration stores an API key.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// authenticate returns the caller of a request. It runs for every request:
// credentials are never carried over between requests on a connection.
func (g *Gateway) authenticate(snapshot *config.Snapshot, req *http.Request) (caller, *Error) {
	if snapshot.Revision() == 0 {
		return caller{}, errNotReady()
	}
	secret, err := bearerToken(req.Header)
	if err != nil {
		if secret == "" && keyInQuery(snapshot, req.URL) {
			return caller{}, errKeyMisplaced("query")
		}
		return caller{}, err
	}
	if keyInQuery(snapshot, req.URL) {
		return caller{}, errKeyMisplaced("query")
	}
	if strings.Contains(req.URL.Path, secret) {
		return caller{}, errKeyMisplaced("path")
	}
	principal := caller{keyHash: HashKey(secret), secret: secret}
	principal.organisation = organisationOf(snapshot, principal.keyHash)
	if principal.organisation == nil {
		return caller{}, errKeyInvalid()
	}
	return principal, g.checkKeyFreshness(principal.organisation)
}

// organisationOf returns the organisation that a key belongs to, or nil if the
// key is unknown or withdrawn.
func organisationOf(snapshot *config.Snapshot, keyHash string) *apiv1.Organisation {
	key := snapshot.KeyByHash(keyHash)
	if key == nil || key.GetWithdrawn() {
		return nil
	}
	return snapshot.Organisation(key.GetOrganisation())
}

func bearerToken(header http.Header) (string, *Error) {
	values := header.Values("Authorization")
	if len(values) == 0 {
		return "", errKeyMissing()
	}
	if len(values) > 1 {
		return "", errKeyAmbiguous()
	}
	scheme, secret, _ := strings.Cut(values[0], " ")
	secret = strings.TrimSpace(secret)
	if !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return "", errKeyMissing()
	}
	return secret, nil
}

// keyQueryParameters are query parameters in which other APIs accept keys. A
// request that has one of them is rejected.
var keyQueryParameters = []string{"api_key", "apikey", "access_token"}

func keyInQuery(snapshot *config.Snapshot, u *url.URL) bool {
	if u.RawQuery == "" {
		return false
	}
	query := u.Query()
	for _, name := range keyQueryParameters {
		if query.Has(name) {
			return true
		}
	}
	for _, values := range query {
		for _, value := range values {
			if snapshot.KeyByHash(HashKey(value)) != nil {
				return true
			}
		}
	}
	return false
}

// checkKeyFreshness returns an error if this host's configuration is staler
// than the organisation allows, so that a key withdrawal may have been missed.
func (g *Gateway) checkKeyFreshness(organisation *apiv1.Organisation) *Error {
	limit := time.Duration(organisation.GetKeyStalenessLimitSeconds()) * time.Second
	if limit <= 0 || g.config.ConfigProvenAt == nil {
		return nil
	}
	if g.config.Clock().Sub(g.config.ConfigProvenAt()) > limit {
		return errKeyStateStale(limit)
	}
	return nil
}

// checkNotWithdrawn returns an error if the key of a running request has been
// withdrawn since it was authenticated.
func (g *Gateway) checkNotWithdrawn(principal caller) *Error {
	if principal.anonymous() {
		return nil
	}
	if organisationOf(g.config.Source.Current(), principal.keyHash) == nil {
		return errKeyWithdrawn()
	}
	return nil
}

// assertCallPermitted asserts, immediately before a call is sent, that the
// caller's organisation is permitted to make it and that it doesn't contain
// the caller's key.
func (r *request) assertCallPermitted(call endpoint.Call, permitted bool) {
	fields := logrus.Fields{"request": r.id, "attempt": call.AttemptID, "organisation": r.caller.organisation.GetName()}
	invariant.Assert(permitted, invariant.OrganisationIsolated, fields)
	if r.caller.secret == "" {
		return
	}
	exposed := bytes.Contains(call.Body, []byte(r.caller.secret))
	for _, part := range []string{call.Path, call.RawQuery, call.ContentType, call.Accept} {
		exposed = exposed || strings.Contains(part, r.caller.secret)
	}
	invariant.Assert(!exposed, invariant.KeyHidden, fields)
}
