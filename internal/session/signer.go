package session

import (
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// HandlePrefix starts every signed handle. Identifiers that callers choose must not start with it.
const HandlePrefix = "cws1."

// minSecretBytes is the shortest secret that HMAC-SHA256 does not weaken.
const minSecretBytes = 32

// Key is one signing key.
type Key struct {
	ID     string
	Secret []byte
}

// Handle is the content of a signed handle.
type Handle struct {
	Session      string
	Organisation string
	Pin          Pin
	Expires      time.Time
}

// claims is the encoding of a Handle.
type claims struct {
	Organisation string   `json:"org"`
	Versions     []string `json:"ver"`
	jwt.RegisteredClaims
}

// Signer signs and verifies handles. The first key signs and all verify, so that a rotation can overlap. It is safe for
// concurrent use.
type Signer struct {
	keys     []Key
	lifetime time.Duration
}

// NewSigner returns a signer whose handles live for the lifetime. It refuses an empty key set, a repeated or empty key id
// and a secret that is too short.
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
	content := claims{
		Organisation: organisation,
		RegisteredClaims: jwt.RegisteredClaims{
			ID:        session,
			IssuedAt:  jwt.NewNumericDate(now),
			ExpiresAt: jwt.NewNumericDate(now.Add(s.lifetime)),
		},
	}
	for _, id := range pin.versions {
		content.Versions = append(content.Versions, id.Model, id.Version)
	}
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, content)
	token.Header["kid"] = s.keys[0].ID
	signed, err := token.SignedString(s.keys[0].Secret)
	if err != nil {
		return "", errors.Wrap(err, "sign session handle")
	}
	return HandlePrefix + signed, nil
}

// IsHandle reports whether the session identifier is a signed handle and not one that the caller chose.
func IsHandle(session string) bool { return strings.HasPrefix(session, HandlePrefix) }

// Verify checks a handle and returns its content. It refuses a handle that was not signed with one of the keys, has
// expired, or was issued to another organisation.
func (s *Signer) Verify(handle, organisation string, now time.Time) (Handle, *fault.Error) {
	var content claims
	_, err := jwt.ParseWithClaims(strings.TrimPrefix(handle, HandlePrefix), &content, s.secret,
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithExpirationRequired(),
		jwt.WithTimeFunc(func() time.Time { return now }))
	if errors.Is(err, jwt.ErrTokenExpired) {
		return Handle{}, invalid("the session handle has expired")
	}
	if err != nil {
		return Handle{}, invalid("the session handle is not valid").WithCause(err)
	}
	if content.Organisation != organisation {
		return Handle{}, invalid("the session handle was issued to another organisation")
	}
	if len(content.Versions) == 0 || len(content.Versions)%2 != 0 {
		return Handle{}, invalid("the session handle names no versions")
	}
	return Handle{
		Session:      content.ID,
		Organisation: content.Organisation,
		Pin:          decodePin(content.Versions),
		Expires:      content.ExpiresAt.Time,
	}, nil
}

// decodePin reads pairs of model and version.
func decodePin(pairs []string) Pin {
	var ids []declaration.VersionID
	for i := 0; i+1 < len(pairs); i += 2 {
		ids = append(ids, declaration.VersionID{Model: pairs[i], Version: pairs[i+1]})
	}
	return NewPin(ids...)
}

func (s *Signer) secret(token *jwt.Token) (any, error) {
	id, _ := token.Header["kid"].(string)
	for _, key := range s.keys {
		if key.ID == id {
			return key.Secret, nil
		}
	}
	return nil, errors.Errorf("unknown session signing key %q", id)
}

func invalid(message string) *fault.Error {
	return fault.NotRun(fault.StepSession, fault.CodeSessionInvalid, message).
		WithAdvice("start a new session: send no session handle")
}
