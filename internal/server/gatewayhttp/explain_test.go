package gatewayhttp

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// fakeExplainer records the query and gives a fixed answer.
type fakeExplainer struct {
	query   api.GatewayExplainQuery
	problem *fault.Error
}

func (f *fakeExplainer) Explain(query api.GatewayExplainQuery) (api.GatewayExplanation, *fault.Error) {
	f.query = query
	return api.GatewayExplanation{Server: "s", Candidates: []api.GatewayCandidate{}}, f.problem
}

// Guards against queries that take memory without a bound, that overflow the computed delays, or whose API key returns in an error.
func TestExplainRefusesMalformedQueries(t *testing.T) {
	handler := PeerHandler(&fakeSource{}, nil, telemetry.NewMetrics(), ExplainRoute(&fakeExplainer{}))
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

// Guards against a query that changes on its way, and against an instance that is not ready and is taken for one that answers.
func TestExplainRoundTrip(t *testing.T) {
	explainer := &fakeExplainer{}
	server := httptest.NewServer(PeerHandler(&fakeSource{}, nil, telemetry.NewMetrics(), ExplainRoute(explainer)))
	defer server.Close()
	client, address := NewClient(), server.Listener.Addr().String()
	query := api.GatewayExplainQuery{Host: "h", Path: "/x?y", Key: "k", Prompt: []api.GatewayPromptPart{{Id: "a", Tokens: 3}}, TimeoutMillis: 5}
	answer, err := client.Explain(t.Context(), address, query)
	if diff := cmp.Diff(query, explainer.query); diff != "" || err != nil || answer.Server != "s" {
		t.Errorf("answer %+v, error %v: %s", answer, err, diff)
	}
	explainer.problem = fault.NotRun(fault.StepConfigure, fault.CodeConfigurationStale, "not ready")
	if _, err := client.Explain(t.Context(), address, query); fmt.Sprint(err) != "configuration_stale: not ready" {
		t.Errorf("not ready: %v", err)
	}
	client.pool.CloseIdle(address)
}
