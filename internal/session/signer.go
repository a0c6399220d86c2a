package session

import (
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// HandlePrefix is the prefix of every signed session handle. A session identifier chosen by a caller must not start with it.
const HandlePrefix = "cws1."

// minSecretBytes is the output size of HMAC-SHA256; a shorter secret weakens it.
const minSecretBytes = 32

// Key is one signing key.
type Key struct {
	ID     string
	Secret []byte
}

// Handle is the content of a signed session handle.
type Handle struct {
	Session      string
	Organisation string
	Pin          Pin
	Expires      time.Time
}

// claims is the JSON Web Token payload that encodes a Handle. Versions holds pairs of model and version.
type claims struct {
	Organisation string   `json:"org"`
	Versions     []string `json:"ver"`
	jwt.RegisteredClaims
}

// Signer signs and verifies session handles. It signs with the first key and verifies with all keys, so that handles stay
// valid during a key rotation. It is safe for concurrent use.
type Signer struct {
	keys     []Key
	lifetime time.Duration
}

// NewSigner returns a signer whose handles expire after the lifetime. It returns an error for an empty key set, for a
// repeated or empty key id, and for a secret that is too short.
func NewSigner(keys []Key, lifetime time.Duration) (*Signer, error) {
	if len(keys) == 0 {
		return nil, errors.New("at least one session signing key is required")
	}
	seen := map[string]bool{}
	for _, key := range keys {
		if key.ID == "" || seen[key.ID] {
			return nil, errors.Errorf("session signing key id %q is empty or repeated", key.ID)
		}
		if len(key.Secret) < minSecretBytes {
			return nil, errors.Errorf("session signing key %q has %d bytes; at least %d are required", key.ID, len(key.Secret), minSecretBytes)
		}
		seen[key.ID] = true
	}
	return &Signer{keys: keys, lifetime: lifetime}, nil
}

// Sign returns a handle for a new session of the organisation.
func (s *Signer) Sign(session, organisation string, pin Pin, now time.Time) (string, error) {
	payload := claims{
		Organisation: organisation,
		RegisteredClaims: jwt.RegisteredClaims{
			ID:        session,
			IssuedAt:  jwt.NewNumericDate(now),
			ExpiresAt: jwt.NewNumericDate(now.Add(s.lifetime)),
		},
	}
	for _, id := range pin.versions {
		payload.Versions = append(payload.Versions, id.Model, id.Version)
	}
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, payload)
	token.Header["kid"] = s.keys[0].ID
	signed, err := token.SignedString(s.keys[0].Secret)
	if err != nil {
		return "", errors.Wrap(err, "sign session handle")
	}
	return HandlePrefix + signed, nil
}

// IsHandle reports whether the session identifier is a signed handle, as opposed to an identifier chosen by the caller.
func IsHandle(session string) bool { return strings.HasPrefix(session, HandlePrefix) }

// Verify checks a handle and returns its content. It refuses a handle that was not signed with one of the keys, has
// expired, or was issued to another organisation.
func (s *Signer) Verify(handle, organisation string, now time.Time) (Handle, *fault.Error) {
	var payload claims
	_, err := jwt.ParseWithClaims(strings.TrimPrefix(handle, HandlePrefix), &payload, s.secretByKeyID,
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithExpirationRequired(),
		jwt.WithTimeFunc(func() time.Time { return now }))
	if errors.Is(err, jwt.ErrTokenExpired) {
		return Handle{}, sessionInvalid("the session handle has expired")
	}
	if err != nil {
		return Handle{}, sessionInvalid("the session handle is not valid").WithCause(err)
	}
	if payload.Organisation != organisation {
		return Handle{}, sessionInvalid("the session handle was issued to another organisation")
	}
	if len(payload.Versions) == 0 || len(payload.Versions)%2 != 0 {
		return Handle{}, sessionInvalid("the session handle names no versions")
	}
	return Handle{
		Session:      payload.ID,
		Organisation: payload.Organisation,
		Pin:          decodePin(payload.Versions),
		Expires:      payload.ExpiresAt.Time,
	}, nil
}

// decodePin returns the pin encoded as a list of alternating models and versions.
func decodePin(pairs []string) Pin {
	var ids []declaration.VersionID
	for i := 0; i+1 < len(pairs); i += 2 {
		ids = append(ids, declaration.VersionID{Model: pairs[i], Version: pairs[i+1]})
	}
	return NewPin(ids...)
}

// secretByKeyID is the jwt.Keyfunc of Verify: it returns the secret of the key that the token names in its header.
func (s *Signer) secretByKeyID(token *jwt.Token) (any, error) {
	id, _ := token.Header["kid"].(string)
	for _, key := range s.keys {
		if key.ID == id {
			return key.Secret, nil
		}
	}
	return nil, errors.Errorf("unknown session signing key %q", id)
}

func sessionInvalid(message string) *fault.Error {
	return fault.NotRun(fault.StepSession, fault.CodeSessionInvalid, message).
		WithAdvice("start a new session: send no session handle")
}
