// Package common holds what the stand-ins share: the echo set-up, waits and the registration in the platform stand-in.
package common

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// NewEcho returns an echo instance without banner and output of its own.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Logger.SetOutput(io.Discard)
	return e
}

// Wait returns after the duration, or earlier if the context ends.
func Wait(ctx context.Context, duration time.Duration) {
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

// CloseConnection ends the current handler and closes its connection without a further byte.
func CloseConnection() { panic(http.ErrAbortHandler) }
