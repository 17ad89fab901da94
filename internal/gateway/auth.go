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

// caller is who sent a request. The zero value is an anonymous caller, on
// routes that are open to all.
type caller struct {
	organisation *apiv1.Organisation
	keyHash      string
	secret       string
}

func (c caller) anonymous() bool { return c.organisation == nil }

// HashKey returns the form in which a key is configured.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// authenticate finds the caller of one request. It is called for each
// request, whatever its connection carried before.
func (g *Gateway) authenticate(snapshot *config.Snapshot, req *http.Request) (caller, *Error) {
	if snapshot.Revision() == 0 {
		return caller{}, errNotReady()
	}
	secret, err := bearer(req.Header)
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
	who := caller{keyHash: HashKey(secret), secret: secret}
	who.organisation = organisationOf(snapshot, who.keyHash)
	if who.organisation == nil {
		return caller{}, errKeyInvalid()
	}
	return who, g.checkFresh(who.organisation)
}

// organisationOf returns the organisation of a key in force, or nil.
func organisationOf(snapshot *config.Snapshot, keyHash string) *apiv1.Organisation {
	key := snapshot.KeyByHash(keyHash)
	if key == nil || key.GetWithdrawn() {
		return nil
	}
	return snapshot.Organisation(key.GetOrganisation())
}

func bearer(header http.Header) (string, *Error) {
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

// keyParameters are query parameters by which callers of other systems send
// their keys.
var keyParameters = []string{"api_key", "apikey", "access_token"}

func keyInQuery(snapshot *config.Snapshot, u *url.URL) bool {
	if u.RawQuery == "" {
		return false
	}
	query := u.Query()
	for _, name := range keyParameters {
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

// checkFresh refuses where this host may have missed a withdrawal for longer
// than the organisation allows.
func (g *Gateway) checkFresh(organisation *apiv1.Organisation) *Error {
	limit := time.Duration(organisation.GetKeyStalenessLimitSeconds()) * time.Second
	if limit <= 0 || g.config.Freshness == nil {
		return nil
	}
	if g.config.Clock().Sub(g.config.Freshness()) > limit {
		return errKeyStateStale(limit)
	}
	return nil
}

// stillGranted checks a running request's key again.
func (g *Gateway) stillGranted(who caller) *Error {
	if who.anonymous() {
		return nil
	}
	if organisationOf(g.config.Source.Current(), who.keyHash) == nil {
		return errKeyWithdrawn()
	}
	return nil
}

// assertMayRun asserts, as the last thing before a call is sent, that its
// caller's organisation may have it run and that it doesn't show the key.
func (r *request) assertMayRun(call endpoint.Call, permitted bool) {
	fields := logrus.Fields{"request": r.id, "attempt": call.AttemptID, "organisation": r.caller.organisation.GetName()}
	invariant.Assert(permitted, invariant.OrganisationIsolated, fields)
	if r.caller.secret == "" {
		return
	}
	shown := bytes.Contains(call.Body, []byte(r.caller.secret))
	for _, part := range []string{call.Path, call.RawQuery, call.ContentType, call.Accept} {
		shown = shown || strings.Contains(part, r.caller.secret)
	}
	invariant.Assert(!shown, invariant.KeyHidden, fields)
}
