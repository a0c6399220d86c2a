// Package architecture checks rules of the code base, above all which packages may import which, so that decisions stay
// separate from the encoding of messages.
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

// decisionPackages lists the packages that make decisions. They must not depend on a wire format, a transport or a store.
var decisionPackages = []string{
	"internal/admission", "internal/backend", "internal/cascade", "internal/coldstart", "internal/engine/stream", "internal/escalation",
	"internal/evacuation", "internal/limit", "internal/lockorder", "internal/overload", "internal/placement",
	"internal/quorum", "internal/rendezvous", "internal/retry", "internal/rollout", "internal/routing", "internal/storepos", "internal/worker",
}

// transportFreePackages lists the packages that run protocols over narrow interfaces. They may encode rows, but must not depend
// on HTTP.
var transportFreePackages = []string{
	"internal/billing", "internal/configsync", "internal/declaration", "internal/dispatch", "internal/exchange", "internal/fleet",
	"internal/gateway", "internal/lease",
	"internal/membership", "internal/order", "internal/quality", "internal/rowfeed", "internal/serverload", "internal/session", "internal/status", "internal/table",
}

var wirePackages = []string{"encoding/json", "net/http", "github.com/labstack/echo/v4", module + "internal/server", module + "internal/httpsend"}

// storePackages are the packages that decision packages must not import, in addition to wirePackages.
var storePackages = []string{module + "internal/platform", "os", "net", "os/exec"}

// importsByFile returns the imports of each non-test file of a package.
func importsByFile(t *testing.T, dir string) map[string][]string {
	t.Helper()
	byFile := map[string][]string{}
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
			byFile[file] = append(byFile[file], imported)
		}
	}
	return byFile
}

// checkImports fails the test for each import of a forbidden package, or of a package below it, in the given directories.
func checkImports(t *testing.T, dirs, forbidden []string) {
	t.Helper()
	for _, dir := range dirs {
		for file, imported := range importsByFile(t, dir) {
			for _, name := range imported {
				if slices.ContainsFunc(forbidden, func(f string) bool { return name == f || strings.HasPrefix(name, f+"/") }) {
					t.Errorf("%s imports %s", file, name)
				}
			}
		}
	}
}

// Guards against decision packages that depend on a wire format, a transport or a store.
func TestDecisionsArePure(t *testing.T) {
	checkImports(t, decisionPackages, append(slices.Clone(wirePackages), storePackages...))
}

// Guards against protocol packages that depend on HTTP as their transport.
func TestProtocolsKnowNoTransport(t *testing.T) {
	checkImports(t, transportFreePackages, []string{"net/http", "github.com/labstack/echo/v4", module + "internal/server", module + "internal/httpsend"})
}

// Guards against stand-ins in the shipped binary, and against a binary that can start other processes.
func TestProductStartsNoProcessAndShipsNoStandIn(t *testing.T) {
	shipped := reachablePackages(t, "cmd/cicadawall")
	for _, dir := range shipped {
		checkImports(t, []string{dir}, []string{"os/exec", module + "internal/standin", module + "internal/platform/memory", module + "internal/benchpolicy"})
	}
	if len(shipped) < 20 {
		t.Errorf("only %d packages are reachable from the binary, so the import graph is incomplete: %v", len(shipped), shipped)
	}
}

// Guards against connections to peers without verification of the certificate: a TLS configuration that sets InsecureSkipVerify
// must also set VerifyConnection.
func TestPeersAreVerified(t *testing.T) {
	unpairedUses := 0
	for _, dir := range reachablePackages(t, "cmd/cicadawall") {
		for file := range importsByFile(t, dir) {
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(parsed, func(node ast.Node) bool {
				if identifier, ok := node.(*ast.Ident); ok && identifier.Name == "InsecureSkipVerify" {
					unpairedUses++
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
					unpairedUses--
					if !slices.Contains(keys, "VerifyConnection") {
						t.Errorf("%s sets InsecureSkipVerify without VerifyConnection", file)
					}
				}
				return true
			})
		}
	}
	if unpairedUses != 0 {
		t.Errorf("InsecureSkipVerify is used %d times outside a composite literal, where this test cannot check it", unpairedUses)
	}
}

// reachablePackages returns the directories of the package and of all packages of this module that it imports, directly or
// indirectly.
func reachablePackages(t *testing.T, dir string) []string {
	t.Helper()
	var seen []string
	pending := []string{dir}
	for len(pending) > 0 {
		next := pending[0]
		pending = pending[1:]
		if slices.Contains(seen, next) {
			continue
		}
		seen = append(seen, next)
		for _, imported := range importsByFile(t, next) {
			for _, name := range imported {
				if localDir, ok := strings.CutPrefix(name, module); ok {
					pending = append(pending, localDir)
				}
			}
		}
	}
	return seen
}

// platformNames are names from the protocol of the users' platform. Only the adapter, which translates them, may contain them;
// stand-ins and tests, which simulate the platform, are not checked.
var platformNames = []string{
	"Cicadawall-Request", "Cicadawall-Response", "Cicadawall-Not", "Cicadawall-Expected", "Cicadawall-Model", "Cicadawall-Token",
	"Cicadawall-Prompt", "Cicadawall-Tenant", "Kv-From", "rows-tx", "rows-get", "rows-feed", "ColdRemainingMs", "non_idempotent",
	"NodeName", "TrafficSplit", "platform/wire",
}

// Guards against code outside the adapter that depends on the protocol of the users' platform.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	for _, dir := range reachablePackages(t, "cmd/cicadawall") {
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
					t.Errorf("%s contains the platform's name %s, which belongs in the adapter", file, name)
				}
			}
		}
	}
}

// maxFileLines is the largest allowed length of a source file.
const maxFileLines = 400

// Guards against source files that are too long to read as a unit. Generated files are exempt.
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
		if lines := strings.Count(string(text), "\n"); lines > maxFileLines {
			t.Errorf("%s has %d lines, more than %d", name, lines, maxFileLines)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
