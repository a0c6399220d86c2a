// Package access decides who may call: keys of callers and operators, TLS on every port with certificates that are reloaded
// without a restart, and the bounds of the HTTP servers against hostile input.
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
	// maxKeyLength is the longest key in bytes; longer ones are refused before they are hashed.
	maxKeyLength = 512
)

// BearerKey returns the key in an Authorization header, or false if the header holds none.
func BearerKey(header string) (string, bool) {
	scheme, key, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, bearerScheme) {
		return "", false
	}
	key = strings.Trim(key, " ")
	if key == "" || len(key) > maxKeyLength || strings.ContainsAny(key, " \t\r\n") {
		return "", false
	}
	return key, true
}

// HashKey returns the SHA-256 hash of a key in lower-case hex, as declarations and settings hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Caller returns the organisation of the key in the Authorization header. The look-up compares hashes; its timing depends
// on the hash of what was sent, from which nothing follows about a stored key.
func Caller(snapshot *declaration.Snapshot, header string) (*api.Organisation, *fault.Error) {
	key, ok := BearerKey(header)
	if !ok {
		return nil, unauthenticated("the request has no caller key")
	}
	organisation, ok := snapshot.OrganisationByKeyHash(HashKey(key))
	if !ok {
		return nil, unauthenticated("the caller key is not known")
	}
	return organisation, nil
}

// OperatorKeys holds the hashes of the operators' keys. It is immutable.
type OperatorKeys struct {
	hashes [][sha256.Size]byte
}

// NewOperatorKeys parses hashes in hex.
func NewOperatorKeys(hashes []string) (OperatorKeys, error) {
	var keys OperatorKeys
	for i, text := range hashes {
		raw, err := hex.DecodeString(text)
		if err != nil {
			return OperatorKeys{}, errors.Wrapf(err, "operator key hash %d", i)
		}
		if len(raw) != sha256.Size {
			return OperatorKeys{}, errors.Errorf("operator key hash %d has %d bytes instead of %d", i, len(raw), sha256.Size)
		}
		keys.hashes = append(keys.hashes, [sha256.Size]byte(raw))
	}
	return keys, nil
}

// Check returns nil if the Authorization header holds an operator key. All hashes are compared in constant time.
func (k OperatorKeys) Check(header string) *fault.Error {
	key, ok := BearerKey(header)
	if !ok {
		return unauthenticated("the request has no operator key")
	}
	sum := sha256.Sum256([]byte(key))
	match := 0
	for i := range k.hashes {
		match |= subtle.ConstantTimeCompare(sum[:], k.hashes[i][:])
	}
	if match != 1 {
		return unauthenticated("the operator key is not known")
	}
	return nil
}

func unauthenticated(message string) *fault.Error {
	return fault.NotRun(fault.StepAuthenticate, fault.CodeUnauthenticated, message).
		WithAdvice("send a valid key as \"Authorization: Bearer <key>\"")
}
