package httperr

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/fault"
)

// Handle answers requests for which echo or a handler returned an error: unknown routes, wrong methods and handler failures. It
// implements echo.HTTPErrorHandler; echo's default handler would answer without an error code and an outcome.
func Handle(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	problem := fault.From(err, fault.StepDecode)
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
		problem = fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest,
			fmt.Sprintf("%s %s: %s", c.Request().Method, c.Request().URL.Path, http.StatusText(httpError.Code))).
			WithAdvice("see docs/api.md for the paths and methods of the API")
	}
	_ = c.JSON(status, Body(problem, ""))
}
