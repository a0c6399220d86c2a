package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/access"
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/server/operatorhttp"
)

const (
	operatorKey     = "operator-secret"
	declarationText = "models: [{name: m, versions: [{name: v1, inputCost: 1, outputCost: 1}]}]\nclasses: []\norganisations: []\n"
)

// fakeConfiguration answers Apply with a fixed response and records the request.
type fakeConfiguration struct {
	response api.ApplyResponse
	request  api.ApplyRequest
}

func (f *fakeConfiguration) Apply(_ context.Context, req api.ApplyRequest) api.ApplyResponse {
	f.request = req
	return f.response
}

func (f *fakeConfiguration) Show() (api.ConfigDocument, bool) {
	return api.ConfigDocument{Revision: 7, ChangeID: "c7", Author: "ada", Document: declarationText}, true
}

func (f *fakeConfiguration) Status() api.ConfigStatus {
	return api.ConfigStatus{Revision: 7, Instances: []api.InstanceRevision{{Name: "entry-1", Revision: 6, AgeMillis: -1}}}
}

// startOperatorAPI serves the operator API with the fake configuration and returns its URL.
func startOperatorAPI(t *testing.T, fake *fakeConfiguration) string {
	t.Helper()
	sum := sha256.Sum256([]byte(operatorKey))
	e := echo.New()
	keys, err := access.NewOperatorKeys([]string{strings.Repeat("00", 32), hex.EncodeToString(sum[:])})
	if err != nil {
		t.Fatal(err)
	}
	group := e.Group("", operatorhttp.Authenticate(keys))
	operatorhttp.Handlers{Configuration: fake}.Register(group)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return server.URL
}

// runConfig runs "cicadawall config" with the arguments and returns its exit code and output.
func runConfig(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var command ConfigCommand
	parser, err := arg.NewParser(arg.Config{Program: "cicadawall config", IgnoreEnv: true}, &command)
	if err != nil {
		t.Fatal(err)
	}
	if err := parser.Parse(args); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	code = command.Run(t.Context(), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// writeDeclaration writes the text to a temporary file and returns its path.
func writeDeclaration(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "d.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against exit codes that let a script take a refused or pending change for an accepted one.
func TestApplyExitCodes(t *testing.T) {
	cases := []struct {
		response api.ApplyResponse
		exit     int
		output   string
	}{
		{api.ApplyResponse{State: api.ApplyAccepted, Revision: 8}, ExitOK, "accepted: revision 8"},
		{api.ApplyResponse{State: api.ApplyAccepted, Revision: 8, NotInForce: []string{"entry-9"}}, ExitOK, "not acknowledged by entry-9"},
		{api.ApplyResponse{State: api.ApplyValid, Revision: 7}, ExitOK, "valid"},
		{api.ApplyResponse{State: api.ApplyInvalid, Problems: []api.Problem{{Line: 3, Field: "f", Message: "bad"}}}, ExitInvalid, "d.yaml:3:0: f: bad"},
		{api.ApplyResponse{State: api.ApplyConflict, ConflictRevision: 8, ConflictChangeID: "c8", ConflictAuthor: "bob"}, ExitConflict, "change c8 by bob"},
		{api.ApplyResponse{State: api.ApplyPending, Revision: 8, NotInForce: []string{"entry-3"}}, ExitPending, "entry-3"},
		{api.ApplyResponse{State: api.ApplyUnknown, Revision: 8}, ExitUnknown, "--base 7 --change-id"},
		{api.ApplyResponse{State: api.ApplyUnavailable}, ExitUnknown, "--base 7 --change-id"},
	}
	for _, c := range cases {
		fake := &fakeConfiguration{response: c.response}
		url := startOperatorAPI(t, fake)
		code, out, errOut := runConfig(t, "apply", "--operator-url", url, "--operator-key", operatorKey, "--author", "ada", writeDeclaration(t, declarationText))
		if code != c.exit || !strings.Contains(out+errOut, c.output) {
			t.Errorf("%s: exit %d, printed %q %q", c.response.State, code, out, errOut)
		}
		if fake.request.BaseRevision != 7 || fake.request.ChangeID == "" || fake.request.Author != "ada" || fake.request.Document != declarationText {
			t.Errorf("request: %+v", fake.request)
		}
	}
}

// Guards against an operator API that accepts a wrong key, and against an unreachable one that the exit code reports as a
// success.
func TestRefusedAndUnreachableCallsFail(t *testing.T) {
	url := startOperatorAPI(t, &fakeConfiguration{})
	if code, _, errOut := runConfig(t, "show", "--operator-url", url, "--operator-key", "wrong"); code != ExitInvalid || !strings.Contains(errOut, "operator key") {
		t.Errorf("wrong key: exit %d, %q", code, errOut)
	}
	if code, _, _ := runConfig(t, "status", "--operator-url", "http://127.0.0.1:1"); code != ExitUnknown {
		t.Errorf("unreachable: exit %d", code)
	}
}

// Guards against read-only commands that exit without printing their result.
func TestReadCommandsPrintResult(t *testing.T) {
	url := startOperatorAPI(t, &fakeConfiguration{})
	flags := []string{"--operator-url", url, "--operator-key", operatorKey}
	changed := strings.Replace(declarationText, "inputCost: 1", "inputCost: 2", 1)
	cases := []struct {
		args   []string
		exit   int
		output string
	}{
		{append([]string{"show"}, flags...), ExitOK, "inputCost: 1"},
		{append([]string{"status"}, flags...), ExitOK, "never heard"},
		{append([]string{"diff", writeDeclaration(t, changed)}, flags...), ExitOK, "~ model m version v1 inputCost: 1 -> 2"},
		{[]string{"diff", "--against", writeDeclaration(t, declarationText), "--json", writeDeclaration(t, changed)}, ExitOK, `"kind": "changed"`},
		{[]string{"validate", writeDeclaration(t, declarationText)}, ExitOK, "is valid"},
		{[]string{"validate", writeDeclaration(t, "models: 1\n")}, ExitInvalid, "d.yaml:1:9: models: must be a list"},
	}
	for _, c := range cases {
		if code, out, errOut := runConfig(t, c.args...); code != c.exit || !strings.Contains(out+errOut, c.output) {
			t.Errorf("%v: exit %d, printed %q %q", c.args, code, out, errOut)
		}
	}
}
