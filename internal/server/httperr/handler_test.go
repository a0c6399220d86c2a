package httperr

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Guards against errors of the echo framework or of a handler that reach callers without an error code and an outcome.
func TestHandleReturnsTypedErrors(t *testing.T) {
	e := echo.New()
	e.HTTPErrorHandler = Handle
	e.GET("/broken", func(echo.Context) error { return errors.New("broken") })
	cases := []struct {
		path    string
		status  int
		outcome api.Outcome
	}{
		{"/unknown", http.StatusNotFound, api.OutcomeNotRun},
		{"/broken", http.StatusInternalServerError, api.OutcomeUnknown},
	}
	for _, c := range cases {
		recorder := httptest.NewRecorder()
		e.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, c.path, nil))
		var body api.ErrorBody
		if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
			t.Fatal(err)
		}
		if recorder.Code != c.status || body.Error.Outcome != c.outcome || body.Error.Code == "" {
			t.Errorf("%s: status %d, body %+v", c.path, recorder.Code, body.Error)
		}
	}
}
