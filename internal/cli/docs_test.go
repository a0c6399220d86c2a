package cli

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/server/httperr"
)

const repositoryRoot = "../.."

// readPage returns the text of a file of the repository.
func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// tableRow returns the line of a Markdown table whose first cell contains the item in backquotes, or "".
func tableRow(text, item string) string {
	for line := range strings.Lines(text) {
		cells := strings.Split(line, "|")
		if len(cells) > 2 && strings.Contains(cells[1], "`"+item+"`") {
			return line
		}
	}
	return ""
}

// declaredCodes returns the error codes that package fault declares.
func declaredCodes(t *testing.T) []fault.Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(repositoryRoot, "internal/fault/fault.go"), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []fault.Code
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typ, ok := spec.Type.(*ast.Ident); ok && typ.Name == "Code" {
			text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			found = append(found, fault.Code(text))
		}
		return true
	})
	if len(found) < 30 {
		t.Fatalf("only %d error codes found", len(found))
	}
	return found
}

// Guards against an error code that no page explains to callers, or that is documented with a different HTTP status.
func TestPagesExplainEveryCode(t *testing.T) {
	text := readPage(t, "docs/operators/callers.md")
	for _, code := range declaredCodes(t) {
		line := tableRow(text, string(code))
		status := strconv.Itoa(httperr.Status(code))
		if code == fault.CodeCallerGone {
			status = "none" // The caller has disconnected and receives no status.
		}
		if !strings.Contains(line, "| "+status+" |") {
			t.Errorf("callers.md has no row for code %s with status %s: %q", code, status, line)
		}
	}
}

// schemaNode is the part of an OpenAPI schema that lists its fields and their defaults.
type schemaNode struct {
	Ref        string                `yaml:"$ref"`
	Type       string                `yaml:"type"`
	Default    any                   `yaml:"default"`
	Properties map[string]schemaNode `yaml:"properties"`
	Items      *schemaNode           `yaml:"items"`
}

type schemaFile struct {
	Components struct {
		Schemas map[string]schemaNode `yaml:"schemas"`
	} `yaml:"components"`
}

// visitLeaves calls visit with the path of each field that has no fields of its own. References are resolved.
func (f schemaFile) visitLeaves(node schemaNode, path string, visit func(path string, leaf schemaNode)) {
	if node.Ref != "" {
		node = f.Components.Schemas[node.Ref[strings.LastIndex(node.Ref, "/")+1:]]
	}
	switch {
	case node.Items != nil && node.Items.Ref != "":
		f.visitLeaves(*node.Items, path+"[]", visit)
	case len(node.Properties) > 0:
		for name, property := range node.Properties {
			f.visitLeaves(property, strings.TrimPrefix(path+"."+name, "."), visit)
		}
	default:
		visit(path, node)
	}
}

// Guards against a field of the settings or the declaration that no page describes, or that is documented with a different
// default.
func TestPagesDescribeEveryField(t *testing.T) {
	cases := []struct{ schema, root, page string }{
		{"api/settings.yaml", "Settings", "docs/operators/install.md"},
		{"api/declaration.yaml", "Declaration", "docs/operators/declare.md"},
	}
	for _, c := range cases {
		var file schemaFile
		if err := yaml.Unmarshal([]byte(readPage(t, c.schema)), &file); err != nil {
			t.Fatal(err)
		}
		text, fields := readPage(t, c.page), 0
		file.visitLeaves(file.Components.Schemas[c.root], "", func(path string, leaf schemaNode) {
			fields++
			line := tableRow(text, path)
			if line == "" {
				t.Errorf("%s has no row for %s of %s", c.page, path, c.schema)
				return
			}
			if want := fmt.Sprint(leaf.Default); leaf.Default != nil && !strings.Contains(strings.Split(line, "|")[2], want) {
				t.Errorf("%s: the row of %s does not name the default %s", c.page, path, want)
			}
		})
		if fields < 20 {
			t.Errorf("only %d fields found in %s", fields, c.schema)
		}
	}
}

// Guards against an exported metric that no page explains.
func TestPagesExplainEveryMetric(t *testing.T) {
	name := regexp.MustCompile(`"(cicadawall_[a-z_]+)`)
	text, found := readPage(t, "docs/operators/metrics.md"), 0
	err := filepath.WalkDir(filepath.Join(repositoryRoot, "internal"), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range name.FindAllStringSubmatch(string(source), -1) {
			found++
			if tableRow(text, match[1]) == "" {
				t.Errorf("metrics.md has no row for %s of %s", match[1], path)
			}
		}
		return nil
	})
	if err != nil || found < 7 {
		t.Errorf("%d metrics found, error %v", found, err)
	}
}

var (
	bashBlock      = regexp.MustCompile("(?ms)^```bash\n(.*?)^```")
	inlineCode     = regexp.MustCompile("`([^`\n]+)`")
	makeCommand    = regexp.MustCompile(`(?m)(?:^ *|\x60)make ([a-z-]+)`)
	standInCommand = regexp.MustCompile(`bin/standin ([^>&\n]+)`)
	flagName       = regexp.MustCompile(`--[a-z][a-z-]*`)
	// binaryCommand matches the arguments of a command up to the character with which the shell ends an argument list.
	binaryCommand = regexp.MustCompile(`bin/cicadawall ([^|><&;)\n]+)`)
	examplePath   = regexp.MustCompile(`examples/[a-z0-9./-]+`)
)

// checkCommand parses a command line with the parser of the binary. Shell variables are replaced by a number.
func checkCommand(line string) error {
	args := strings.Fields(line)
	for i := range args {
		args[i] = strings.Trim(args[i], `"'`)
		if strings.HasPrefix(args[i], "$") {
			args[i] = "1"
		}
	}
	parser, err := arg.NewParser(arg.Config{Program: "cicadawall"}, &arguments{})
	if err != nil {
		return err
	}
	if err := parser.Parse(args); err != nil && !errors.Is(err, arg.ErrHelp) {
		return err
	}
	return nil
}

// Guards against pages that name a Makefile target, command, flag or example file that does not exist.
func TestPagesNameOnlyWhatExists(t *testing.T) {
	makefile := readPage(t, "Makefile")
	sources := readPage(t, "cmd/standin/commands.go") + readPage(t, "cmd/standin/serve.go") +
		readPage(t, "internal/cli/config.go") + readPage(t, "internal/cli/status.go") + readPage(t, "internal/cli/serve.go") +
		readPage(t, "internal/cli/where.go")
	pages, err := filepath.Glob(filepath.Join(repositoryRoot, "docs/operators/*.md"))
	if err != nil || len(pages) < 11 {
		t.Fatalf("%d pages, error %v", len(pages), err)
	}
	names := []string{"README.md", "docs/api.md"}
	for _, path := range pages {
		names = append(names, "docs/operators/"+filepath.Base(path))
	}
	commands := 0
	for _, name := range names {
		text := strings.ReplaceAll(readPage(t, name), "\\\n", " ")
		for _, match := range makeCommand.FindAllStringSubmatch(text, -1) {
			if !strings.Contains(makefile, "\n"+match[1]+":") {
				t.Errorf("%s: the Makefile has no target %s", name, match[1])
			}
		}
		for _, match := range examplePath.FindAllString(text, -1) {
			if _, err := os.Stat(filepath.Join(repositoryRoot, match)); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		for _, span := range inlineCode.FindAllStringSubmatch(text, -1) {
			if strings.HasPrefix(span[1], "--") && !strings.Contains(sources, flagName.FindString(span[1])) {
				t.Errorf("%s: no flag %s", name, span[1])
			}
		}
		for _, block := range bashBlock.FindAllStringSubmatch(text, -1) {
			for _, match := range binaryCommand.FindAllStringSubmatch(block[1], -1) {
				commands++
				if err := checkCommand(match[1]); err != nil {
					t.Errorf("%s: cicadawall %s: %v", name, match[1], err)
				}
			}
			for _, match := range standInCommand.FindAllStringSubmatch(block[1], -1) {
				for _, flag := range flagName.FindAllString(match[1], -1) {
					if !strings.Contains(sources, `"`+flag+`"`) && !strings.Contains(sources, `"`+flag+`,`) {
						t.Errorf("%s: bin/standin has no flag %s", name, flag)
					}
				}
			}
		}
	}
	if commands < 40 {
		t.Errorf("only %d commands found", commands)
	}
}
