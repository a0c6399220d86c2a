// Package httpanswer checks what the parser of net/http lets through although it is no answer in HTTP. Both packages that read answers, httpconn and
// httpsend, use it.
package httpanswer

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxStatus is the largest status that HTTP defines a class for.
	maxStatus = 599
	// maxReasonBytes bounds the text of a MalformedError. The errors of net/http quote a line of up to the length of a head.
	maxReasonBytes = 200
)

// MalformedError reports that a peer's bytes are no answer in HTTP.
type MalformedError struct{ cause error }

// NewMalformedError returns the error for an answer that could not be parsed. The text of the cause must be free of control characters.
func NewMalformedError(cause error) *MalformedError { return &MalformedError{cause: cause} }

// Error implements error. The text is bounded.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed answer: %.*s", maxReasonBytes, e.cause.Error())
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.cause }

// CheckFinal returns an error if a response with the status is not the final answer to a request. An interim response announces another one, and
// no request of this project asks to switch protocols. A caller that got such a status would wait for an answer that never comes.
func CheckFinal(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return NewMalformedError(errors.Errorf("status %d is not a final answer", status))
	}
	return nil
}

// IsInterim reports whether another response to the same request follows a response with the status.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckFields returns an error if the name of a field of a head or trailer is not a token. The parser of net/http accepts names with blanks and keeps
// them apart from the names without: an answer whose length, coding or identifier is written so has another body or belongs to another request than
// its other fields say.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return NewMalformedError(errors.Errorf("field name %q is not a token", name))
		}
	}
	return nil
}
