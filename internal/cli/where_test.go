package cli

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/server/gatewayhttp"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// fakeExplainer answers by the path of the query and records it.
type fakeExplainer struct{ query api.GatewayExplainQuery }

func (f *fakeExplainer) Explain(query api.GatewayExplainQuery) (api.GatewayExplanation, *fault.Error) {
	f.query = query
	switch query.Path {
	case "/unready":
		return api.GatewayExplanation{}, fault.NotRun(fault.StepConfigure, fault.CodeConfigurationStale, "the instance is not ready")
	case "/none":
		return api.GatewayExplanation{Refusal: &api.GatewayRefusal{
			Step: "decode", Code: "unknown_service", Message: "no route matches", Outcome: api.OutcomeNotRun, RetryAfterMillis: 1500,
		}}, nil
	}
	return api.GatewayExplanation{
		Route: "chat", Service: "models", Server: "m-1", Versions: api.GatewayVersionPreference{Use: "v2"},
		Queue: api.GatewayQueue{Waiting: 3, RequestWaits: true},
		Candidates: []api.GatewayCandidate{
			{Id: "m-1", Verdict: api.CandidateChosen, ScoreMillis: 3.5, Parts: []api.GatewayScorePart{{Scorer: "ResponseTime", Millis: 3.5}}},
			{Id: "m-2", Verdict: api.CandidateDropped, Reason: "leaving"},
		},
	}, nil
}

// Guards against an exit status of 0 for a request that would go nowhere, against flags that are lost or misread, and against a table
// without the reasons.
func TestWhere(t *testing.T) {
	explainer := &fakeExplainer{}
	server := httptest.NewServer(gatewayhttp.PeerHandler(nil, nil, telemetry.NewMetrics(), gatewayhttp.ExplainRoute(explainer)))
	defer server.Close()
	address := server.Listener.Addr().String()
	t.Setenv("CICADAWALL_CALLER_KEY", "caller-secret")
	for name, c := range map[string]struct {
		instance, path, flags string
		code                  int
		want                  string
	}{
		"chosen":            {address, "/x", "", ExitOK, "m-1 chosen lowest|models waits 3 requests|only v2|m-2 dropped: leaving|RESPONSE TIME|3.5 ms"},
		"json":              {address, "/x", "--json", ExitOK, `"verdict": "dropped"`},
		"unknown route":     {address, "/none", "", ExitInvalid, "decode unknown_service refused no route matches; outcome not_run; retry after 1.5s|error: the request would be refused"},
		"refused as json":   {address, "/none", "--json", ExitInvalid, `"retryAfterMillis": 1500`},
		"not ready":         {address, "/unready", "", ExitUnknown, "error: configuration_stale: the instance is not ready"},
		"unreachable":       {"127.0.0.1:1", "/x", "", ExitUnknown, "error: ask instance 127.0.0.1:1"},
		"address":           {"localhost", "/x", "", ExitUsage, `error: --instance "localhost" is not HOST:PORT`},
		"path":              {address, "x", "", ExitUsage, "does not begin with a slash"},
		"prompt":            {address, "/x", "--prompt a:1,b", ExitUsage, `"b" is not ID:TOKENS`},
		"negative prompt":   {address, "/x", "--prompt a:-1", ExitUsage, "is not ID:TOKENS"},
		"huge prompt":       {address, "/x", "--prompt a:999999999", ExitUsage, "a part of the prompt has no id or a number of tokens that is out of range"},
		"negative output":   {address, "/x", "--output-tokens=-1", ExitUsage, "--output-tokens is negative"},
		"negative timeout":  {address, "/x", "--timeout=-1s", ExitUsage, "--timeout"},
		"malformed timeout": {address, "/x", "--timeout soon", ExitUsage, "error:"},
		"missing host":      {address, "/x", "--host=", ExitUsage, "missing value for --host"},
	} {
		var out bytes.Buffer
		args := append([]string{"where", "--host", "desk.example", "--instance", c.instance, "--path", c.path}, strings.Fields(c.flags)...)
		code, text := Run(args, &out, &out), strings.Join(strings.Fields(out.String()), " ")
		if code != c.code || strings.Contains(text, "caller-secret") {
			t.Errorf("%s: exit code %d, output %s", name, code, text)
		}
		for part := range strings.SplitSeq(c.want, "|") {
			if !strings.Contains(text, part) {
				t.Errorf("%s: no %q in %s", name, part, text)
			}
		}
	}
	Run([]string{"where", "--instance", address, "--host", "h", "--path", "/x", "--model", "m", "--prompt", "a:1, b:2", "--output-tokens", "9",
		"--timeout", "1500ms"}, &bytes.Buffer{}, &bytes.Buffer{})
	want := api.GatewayExplainQuery{Host: "h", Path: "/x", Key: "caller-secret", Model: "m", OutputTokens: 9, TimeoutMillis: 1500,
		Prompt: []api.GatewayPromptPart{{Id: "a", Tokens: 1}, {Id: "b", Tokens: 2}}}
	if diff := cmp.Diff(want, explainer.query); diff != "" {
		t.Error(diff)
	}
}
