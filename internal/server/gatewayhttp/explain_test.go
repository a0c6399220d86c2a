package gatewayhttp

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// fakeExplainer explains nothing.
type fakeExplainer struct{}

func (fakeExplainer) Explain(api.GatewayExplainQuery) (api.GatewayExplanation, *fault.Error) {
	return api.GatewayExplanation{}, nil
}

// Guards against queries that take memory without a bound, that overflow the computed delays, or whose API key returns in an error.
func TestExplainRefusesMalformedQueries(t *testing.T) {
	handler := PeerHandler(&fakeSource{}, nil, telemetry.NewMetrics(), ExplainRoute(fakeExplainer{}))
	query := func(fields string) string { return `{"key":"secret","host":"h","path":"/x"` + fields + `}` }
	for name, c := range map[string]struct {
		body   string
		status int
	}{
		"valid":                {query(`,"prompt":[{"id":"a","tokens":1}]`), http.StatusOK},
		"empty":                {"", http.StatusBadRequest},
		"truncated":            {query("")[:20], http.StatusBadRequest},
		"two values":           {query("") + query(""), http.StatusBadRequest},
		"wrong type":           {query(`,"outputTokens":"secret"`), http.StatusBadRequest},
		"no host":              {`{"key":"secret","path":"/x"}`, http.StatusBadRequest},
		"relative path":        {`{"key":"secret","host":"h","path":"x"}`, http.StatusBadRequest},
		"negative tokens":      {query(`,"prompt":[{"id":"a","tokens":-1}]`), http.StatusBadRequest},
		"too many tokens":      {query(`,"prompt":[{"id":"a","tokens":9223372036854775807}]`), http.StatusBadRequest},
		"part without id":      {query(`,"prompt":[{"tokens":1}]`), http.StatusBadRequest},
		"negative timeout":     {query(`,"timeoutMillis":-5`), http.StatusBadRequest},
		"negative output":      {query(`,"outputTokens":-5`), http.StatusBadRequest},
		"at the size limit":    {query("") + strings.Repeat(" ", maxExplainBytes-len(query(""))), http.StatusOK},
		"above the size limit": {query("") + strings.Repeat(" ", maxExplainBytes), http.StatusRequestEntityTooLarge},
	} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, ExplainPath, strings.NewReader(c.body)))
		if recorder.Code != c.status || strings.Contains(recorder.Body.String(), "secret") {
			t.Errorf("%s: status %d, body %s", name, recorder.Code, recorder.Body)
		}
	}
}
