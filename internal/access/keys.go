// Package access authenticates callers and operators by key, configures TLS for every port with certificates that are reloaded
// without a restart, and sets the time and size limits that protect the HTTP servers against hostile clients.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
)

const (
	bearerScheme = "bearer"
	// maxKeyBytes is the maximum length of a key; longer keys are refused before they are hashed.
	maxKeyBytes = 512
)

// BearerKey returns the bearer token of an Authorization header, or false if the header holds no valid one.
func BearerKey(header string) (string, bool) {
	scheme, key, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, bearerScheme) {
		return "", false
	}
	key = strings.Trim(key, " ")
	if key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return "", false
	}
	return key, true
}

// HashKey returns the SHA-256 hash of a key in lower-case hex, the form in which declarations and settings hold keys.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AuthenticateCaller returns the organisation to which the key in the Authorization header belongs. The look-up uses the hash
// of the key. Its timing depends only on hashes, so it reveals nothing about a stored key.
func AuthenticateCaller(snapshot *declaration.Snapshot, header string) (*api.Organisation, *fault.Error) {
	key, ok := BearerKey(header)
	if !ok {
		return nil, unauthenticated("the Authorization header holds no caller key")
	}
	organisation, ok := snapshot.OrganisationByKeyHash(HashKey(key))
	if !ok {
		return nil, unauthenticated("the caller key is unknown")
	}
	return organisation, nil
}

// OperatorKeys holds the hashes of the operators' keys. It is immutable; the zero value accepts no key.
type OperatorKeys struct {
	hashes [][sha256.Size]byte
}

// NewOperatorKeys parses SHA-256 hashes in hex, as HashKey returns them.
func NewOperatorKeys(hashes []string) (OperatorKeys, error) {
	var keys OperatorKeys
	for i, hexHash := range hashes {
		hash, err := hex.DecodeString(hexHash)
		if err != nil {
			return OperatorKeys{}, errors.Wrapf(err, "operator key hash %d", i)
		}
		if len(hash) != sha256.Size {
			return OperatorKeys{}, errors.Errorf("operator key hash %d has %d bytes instead of %d", i, len(hash), sha256.Size)
		}
		keys.hashes = append(keys.hashes, [sha256.Size]byte(hash))
	}
	return keys, nil
}

// Authenticate returns nil if the Authorization header holds an operator key. The key's hash is compared with every stored
// hash in constant time.
func (k OperatorKeys) Authenticate(header string) *fault.Error {
	key, ok := BearerKey(header)
	if !ok {
		return unauthenticated("the Authorization header holds no operator key")
	}
	sum := sha256.Sum256([]byte(key))
	matched := 0
	for i := range k.hashes {
		matched |= subtle.ConstantTimeCompare(sum[:], k.hashes[i][:])
	}
	if matched != 1 {
		return unauthenticated("the operator key is unknown")
	}
	return nil
}

func unauthenticated(message string) *fault.Error {
	return fault.NotRun(fault.StepAuthenticate, fault.CodeUnauthenticated, message).
		WithAdvice("send a valid key as \"Authorization: Bearer <key>\"")
}
