// Package architecture checks which packages may import which, so that decisions stay apart from the encoding of messages.
package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "github.com/cicadawall/cicadawall/"

// pure lists the packages that decide. They know no wire format, no transport and no store.
var pure = []string{
	"internal/admission", "internal/backend", "internal/cascade", "internal/engine/stream", "internal/limit", "internal/lockorder", "internal/placement",
	"internal/quorum", "internal/rendezvous", "internal/retry", "internal/rollout", "internal/routing", "internal/worker",
}

// transportFree lists the packages that run protocols over narrow interfaces. They may encode rows, but know no HTTP.
var transportFree = []string{
	"internal/billing", "internal/configsync", "internal/declaration", "internal/dispatch", "internal/exchange", "internal/fleet",
	"internal/gateway", "internal/lease",
	"internal/membership", "internal/order", "internal/quality", "internal/rowfeed", "internal/session", "internal/status", "internal/table",
}

var wire = []string{"encoding/json", "net/http", "github.com/labstack/echo/v4", module + "internal/server", module + "internal/httpsend"}

// stores are what pure packages must not reach besides the wire.
var stores = []string{module + "internal/platform", "os", "net", "os/exec"}

// imports returns the imports of the package's non-test files, by file.
func imports(t *testing.T, dir string) map[string][]string {
	t.Helper()
	out := map[string][]string{}
	files, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in %s: %v", dir, err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range parsed.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			out[file] = append(out[file], imported)
		}
	}
	return out
}

func check(t *testing.T, dirs, forbidden []string) {
	t.Helper()
	for _, dir := range dirs {
		for file, imported := range imports(t, dir) {
			for _, name := range imported {
				if slices.ContainsFunc(forbidden, func(f string) bool { return name == f || strings.HasPrefix(name, f+"/") }) {
					t.Errorf("%s imports %s", file, name)
				}
			}
		}
	}
}

// Guards against a decision that depends on a wire format, a transport or a store.
func TestDecisionsArePure(t *testing.T) {
	check(t, pure, append(slices.Clone(wire), stores...))
}

// Guards against a protocol that can only run over HTTP.
func TestProtocolsKnowNoTransport(t *testing.T) {
	check(t, transportFree, []string{"net/http", "github.com/labstack/echo/v4", module + "internal/server", module + "internal/httpsend"})
}

// Guards against stand-ins in the shipped binary and against a process that starts others.
func TestProductStartsNoProcessAndShipsNoStandIn(t *testing.T) {
	shipped := reachable(t, "cmd/cicadawall")
	for _, dir := range shipped {
		check(t, []string{dir}, []string{"os/exec", module + "internal/standin", module + "internal/platform/memory", module + "internal/benchpolicy"})
	}
	if len(shipped) < 20 {
		t.Errorf("only %d packages are reachable from the binary: %v", len(shipped), shipped)
	}
}

// Guards against a connection to a peer whose certificate nobody verifies: where the standard verification is replaced, the same
// configuration must verify the connection.
func TestPeersAreVerified(t *testing.T) {
	found := 0
	for _, dir := range reachable(t, "cmd/cicadawall") {
		for file := range imports(t, dir) {
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(parsed, func(node ast.Node) bool {
				if named, ok := node.(*ast.Ident); ok && named.Name == "InsecureSkipVerify" {
					found++
				}
				literal, ok := node.(*ast.CompositeLit)
				if !ok {
					return true
				}
				var keys []string
				for _, element := range literal.Elts {
					if pair, ok := element.(*ast.KeyValueExpr); ok {
						if key, ok := pair.Key.(*ast.Ident); ok {
							keys = append(keys, key.Name)
						}
					}
				}
				if slices.Contains(keys, "InsecureSkipVerify") {
					found--
					if !slices.Contains(keys, "VerifyConnection") {
						t.Errorf("%s replaces the verification of peers by none", file)
					}
				}
				return true
			})
		}
	}
	if found != 0 {
		t.Errorf("InsecureSkipVerify is set %d times outside a literal, where this test cannot follow it", found)
	}
}

// reachable returns the directories of the module that a package imports, itself included.
func reachable(t *testing.T, dir string) []string {
	t.Helper()
	var seen []string
	todo := []string{dir}
	for len(todo) > 0 {
		next := todo[0]
		todo = todo[1:]
		if slices.Contains(seen, next) {
			continue
		}
		seen = append(seen, next)
		for _, imported := range imports(t, next) {
			for _, name := range imported {
				if inner, ok := strings.CutPrefix(name, module); ok {
					todo = append(todo, inner)
				}
			}
		}
	}
	return seen
}

// platformNames are words that only the users' platform uses. The adapter translates them; stand-ins and tests play its part.
var platformNames = []string{
	"Cicadawall-Request", "Cicadawall-Response", "Cicadawall-Not", "Cicadawall-Expected", "Cicadawall-Model", "Cicadawall-Token",
	"Cicadawall-Prompt", "Cicadawall-Tenant", "Kv-From", "rows-tx", "rows-get", "rows-feed", "ColdRemainingMs", "non_idempotent",
	"NodeName", "TrafficSplit", "platform/wire",
}

// Guards against names of the users' platform outside the adapter.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	for _, dir := range reachable(t, "cmd/cicadawall") {
		if dir == "platform" || strings.HasPrefix(dir, "platform/") {
			continue
		}
		files, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, name := range platformNames {
				if strings.Contains(string(text), name) {
					t.Errorf("%s names %s", file, name)
				}
			}
		}
	}
}

// maxLines is the length past which a file needs a reason.
const maxLines = 400

// Guards against files that grow past what a reader can hold.
func TestFilesStayShort(t *testing.T) {
	err := filepath.WalkDir(filepath.Join("..", ".."), func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "bin" || entry.Name() == "target") {
			return fs.SkipDir
		}
		if path.Ext(name) != ".go" || strings.HasSuffix(name, ".gen.go") {
			return nil
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if lines := strings.Count(string(text), "\n"); lines > maxLines {
			t.Errorf("%s has %d lines, more than %d", name, lines, maxLines)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
