// Package common holds what the stand-ins share: the echo set-up, a cancellable sleep and the registration in the platform
// stand-in's instance list.
package common

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// NewEcho returns an echo instance that prints no banner and discards its log.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Logger.SetOutput(io.Discard)
	return e
}

// Sleep waits for the duration, or until the context ends if that is earlier.
func Sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// CloseConnection aborts the current handler and closes its connection without sending anything more.
func CloseConnection() { panic(http.ErrAbortHandler) }
