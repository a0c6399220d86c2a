package httperr

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/fault"
)

// Handle answers requests that end with an error instead of a response: unknown routes, wrong methods and faults of a
// handler. It implements echo.HTTPErrorHandler, whose default answers without a code and an outcome.
func Handle(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	problem := fault.From(err, fault.StepDecode)
	var routed *echo.HTTPError
	if errors.As(err, &routed) {
		status = routed.Code
		problem = fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest,
			fmt.Sprintf("%s %s: %s", c.Request().Method, c.Request().URL.Path, http.StatusText(routed.Code))).
			WithAdvice("see docs/api.md for the paths and methods of the API")
	}
	_ = c.JSON(status, Body(problem, ""))
}
