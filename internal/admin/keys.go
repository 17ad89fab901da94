package admin

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
)

const (
	// secretPrefix is the prefix of every key's secret.
	secretPrefix = "bsk_"
	// secretBytes is the number of random bytes in a secret.
	secretBytes = 32
	// editAttempts is the maximum number of attempts at an edit that conflicts
	// with concurrent changes by other operators.
	editAttempts = 5
	// readRetryAfter is the retry delay suggested to the client after a failed
	// read.
	readRetryAfter = 2 * time.Second
)

// GrantKey implements apiv1.Admin. It returns the secret of the new key; only
// the secret's SHA-256 is stored.
func (s *Server) GrantKey(ctx context.Context, req *apiv1.GrantKeyRequest) (*apiv1.GrantKeyResponse, error) {
	if err := s.checkLoaded(); err != nil {
		return nil, err
	}
	secret, hash := newSecret()
	key := &apiv1.Key{Name: req.Name, Organisation: req.Organisation, SecretSha256: hash}
	mutations := []*apiv1.Mutation{{
		Kind: apiv1.Kind_KIND_KEY, Name: req.Name,
		Object: &apiv1.Object{Spec: &apiv1.Object_Key{Key: key}},
	}}
	applied, err := s.applyAndWait(ctx, mutations, uuid.NewString(), 0)
	if err != nil {
		return nil, explainLostSecret(err)
	}
	return &apiv1.GrantKeyResponse{Secret: secret, Applied: applied}, nil
}

// newSecret returns a random secret and its SHA-256 in hex.
func newSecret() (secret, hash string) {
	random := make([]byte, secretBytes)
	_, _ = rand.Read(random) // Never fails, see crypto/rand.
	secret = secretPrefix + base64.RawURLEncoding.EncodeToString(random)
	sum := sha256.Sum256([]byte(secret))
	return secret, hex.EncodeToString(sum[:])
}

// explainLostSecret replaces the message of an error with unknown outcome. The
// secret is not stored, so a retry of the same change could not return it.
func explainLostSecret(err error) error {
	var twerr twirp.Error
	if !errors.As(err, &twerr) || twerr.Code() != twirp.Unknown {
		return err
	}
	return twirp.Unknown.Error("it is unknown whether the key was granted, and its secret is lost; get the key, delete it if it exists, and grant it again").
		WithMeta(MetaChangeID, twerr.Meta(MetaChangeID))
}

// WithdrawKey implements apiv1.Admin. It is idempotent: for a key that is
// already withdrawn it writes nothing and reports which hosts have confirmed
// the current revision.
func (s *Server) WithdrawKey(ctx context.Context, req *apiv1.WithdrawKeyRequest) (*apiv1.ApplyResponse, error) {
	return s.edit(ctx, apiv1.Kind_KIND_KEY, req.Name, req.WaitMillis, func(obj *apiv1.Object) {
		obj.GetKey().Withdrawn = true
	})
}

// DrainEndpoint implements apiv1.Admin. It sets or, on resume, clears the
// endpoint's draining flag.
func (s *Server) DrainEndpoint(ctx context.Context, req *apiv1.DrainEndpointRequest) (*apiv1.ApplyResponse, error) {
	return s.edit(ctx, apiv1.Kind_KIND_ENDPOINT, req.Name, 0, func(obj *apiv1.Object) {
		obj.GetEndpoint().Draining = !req.Resume
	})
}

// edit applies change to the latest version of one object, and retries up to
// editAttempts times on a conflict.
func (s *Server) edit(ctx context.Context, kind apiv1.Kind, name string, waitMillis int32, change func(*apiv1.Object)) (*apiv1.ApplyResponse, error) {
	if err := s.checkLoaded(); err != nil {
		return nil, err
	}
	var err error
	for range editAttempts {
		var resp *apiv1.ApplyResponse
		resp, err = s.editOnce(ctx, kind, name, waitMillis, change)
		var twerr twirp.Error
		if !errors.As(err, &twerr) || twerr.Code() != twirp.Aborted {
			return resp, err
		}
	}
	return nil, err
}

// editOnce makes one attempt of edit. If change has no effect, it writes
// nothing and reports the confirmations of the current revision.
func (s *Server) editOnce(ctx context.Context, kind apiv1.Kind, name string, waitMillis int32, change func(*apiv1.Object)) (*apiv1.ApplyResponse, error) {
	snapshot, err := s.snapshotWith(ctx, kind, name)
	if err != nil {
		return nil, err
	}
	before := snapshot.Object(kind, name)
	edited := proto.CloneOf(before)
	change(edited)
	if proto.Equal(before, edited) {
		return s.awaitConfirmation(ctx, snapshot.Revision(), "", waitMillis), nil
	}
	edited.Version = 0
	mutations := []*apiv1.Mutation{{Kind: kind, Name: name, ExpectedVersion: before.Version, Object: edited}}
	return s.applyAndWait(ctx, mutations, uuid.NewString(), waitMillis)
}

// snapshotWith brings the snapshot up to date with the platform and returns it,
// or a not-found error if it lacks the object.
func (s *Server) snapshotWith(ctx context.Context, kind apiv1.Kind, name string) (*config.Snapshot, error) {
	if err := s.config.Log.Sync(ctx); err != nil {
		return nil, unavailable(err)
	}
	snapshot := s.config.Log.Current()
	if snapshot.Object(kind, name) == nil {
		return nil, notFound(kind, name)
	}
	return snapshot, nil
}
