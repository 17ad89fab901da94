package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// RequestKey is what makes two requests the same, whatever their identifiers.
type RequestKey struct {
	// Organisation is the caller's organisation; empty on public routes.
	Organisation string
	Method, Host string
	// Target is the path and query as the caller sent them.
	Target string
	Body   []byte
}

// Hash returns 64 bits of a SHA-256 hash, so that no organisation can compose a request
// with the hash of another one's.
func (k RequestKey) Hash() uint64 {
	hash := sha256.New()
	for _, field := range []string{k.Organisation, k.Method, k.Host, k.Target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:]) // never fails, as package hash documents
		_, _ = io.WriteString(hash, field)
	}
	_, _ = hash.Write(k.Body)
	return binary.BigEndian.Uint64(hash.Sum(nil))
}
