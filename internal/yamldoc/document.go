// Package yamldoc decodes strict YAML into generated types and reports every fault with its line, column and field. It
// checks the syntax tree against the Go type, so that one pass finds all faults instead of the first.
package yamldoc

import (
	"fmt"
	"reflect"
	"sort"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/cicadawall/cicadawall/internal/api"
)

// maxBytes bounds a document. The largest declaration expected (34 versions, 100 organisations) has about 60 KB.
const maxBytes = 1 << 20

// maxDepth bounds the nesting of a document; the schema needs 7 levels.
const maxDepth = 32

type position struct {
	line   int
	column int
}

// Document knows where each field of a decoded file stands and collects its faults.
type Document struct {
	file      string
	positions map[string]position
	problems  []api.Problem
}

// Decode parses the text into the struct that into points to. If Problems is not empty afterwards, the struct must not be
// used.
func Decode(file string, text []byte, into any) (doc *Document) {
	doc = &Document{file: file, positions: map[string]position{"": {line: 1, column: 1}}}
	if len(text) > maxBytes {
		doc.Add("", fmt.Sprintf("the file has %d bytes; at most %d are accepted", len(text), maxBytes))
		return doc
	}
	// The YAML library panics on some malformed texts that fuzzing produces.
	defer func() {
		if cause := recover(); cause != nil {
			doc.Add("", fmt.Sprintf("the file is not valid YAML: %v", cause))
		}
	}()
	doc.decode(text, into)
	return doc
}

func (d *Document) decode(text []byte, into any) {
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addYAMLError(err)
		return
	}
	body := d.body(file)
	if body == nil {
		return
	}
	d.check(body, reflect.TypeOf(into).Elem(), "", 0)
	if len(d.problems) > 0 {
		return
	}
	if err := yaml.NodeToValue(body, into); err != nil {
		d.addYAMLError(err)
	}
}

func (d *Document) body(file *ast.File) ast.Node {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc != nil && doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) == 0 {
		d.Add("", "the file is empty; a mapping of fields is expected")
		return nil
	}
	if len(bodies) > 1 {
		d.addAt(bodies[1].GetToken(), "", "the file holds several documents; exactly one is expected")
		return nil
	}
	return bodies[0]
}

// Has reports whether the file sets the field.
func (d *Document) Has(field string) bool {
	_, ok := d.positions[field]
	return ok
}

// Add records a fault of a field. The place is that of the field or of its nearest parent in the file.
func (d *Document) Add(field, message string) {
	at := d.locate(field)
	d.problems = append(d.problems, api.Problem{
		File: d.file, Line: at.line, Column: at.column, Field: fieldName(field), Message: message,
	})
}

// Problems returns the faults in the order of their lines.
func (d *Document) Problems() []api.Problem {
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
	return d.problems
}

func (d *Document) locate(field string) position {
	for end := len(field); end > 0; end-- {
		if end < len(field) && field[end] != '.' && field[end] != '[' {
			continue
		}
		if at, ok := d.positions[field[:end]]; ok {
			return at
		}
	}
	return d.positions[""]
}

func (d *Document) addAt(tok *token.Token, field, message string) {
	d.mark(field, tok)
	problem := api.Problem{File: d.file, Line: 1, Column: 1, Field: fieldName(field), Message: message}
	if at, ok := place(tok); ok {
		problem.Line, problem.Column = at.line, at.column
	}
	d.problems = append(d.problems, problem)
}

func (d *Document) addYAMLError(err error) {
	typed, ok := err.(yaml.Error)
	if !ok {
		d.Add("", "the file is not valid YAML: "+err.Error())
		return
	}
	d.addAt(typed.GetToken(), "", "not valid YAML: "+typed.GetMessage())
}

func (d *Document) mark(field string, tok *token.Token) {
	if _, known := d.positions[field]; known {
		return
	}
	if at, ok := place(tok); ok {
		d.positions[field] = at
	}
}

func place(tok *token.Token) (position, bool) {
	if tok == nil || tok.Position == nil || tok.Position.Line < 1 {
		return position{}, false
	}
	return position{line: tok.Position.Line, column: max(1, tok.Position.Column)}, true
}

func fieldName(field string) string {
	if field == "" {
		return "(document)"
	}
	return field
}
