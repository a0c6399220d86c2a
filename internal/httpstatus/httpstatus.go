// Package httpstatus says which HTTP statuses end an exchange.
package httpstatus

import (
	"net/http"

	"github.com/pkg/errors"
)

// maxStatus is the largest status that HTTP defines a class for.
const maxStatus = 599

// CheckFinal returns an error if a response with the status is not the final answer to a request. An interim response announces another one, and
// no request of this project asks to switch protocols. A caller that got such a status would wait for an answer that never comes.
func CheckFinal(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Errorf("status %d is not a final answer", status)
	}
	return nil
}

// IsInterim reports whether another response to the same request follows a response with the status.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
