// Package yamldoc strictly decodes YAML into generated types and reports every problem with its line, column and field. It
// checks the syntax tree against the Go type, so that one pass finds all problems instead of only the first.
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

// maxDocumentBytes bounds the size of a document. The largest declaration expected (34 versions, 100 organisations) has
// about 60 KB.
const maxDocumentBytes = 1 << 20

// maxDepth bounds the nesting depth of a document; the schemas need 7 levels.
const maxDepth = 32

type position struct {
	line   int
	column int
}

// Document holds the position of each field of a decoded file and collects the problems found in the file.
type Document struct {
	file      string
	positions map[string]position
	problems  []api.Problem
}

// Decode parses the text into the struct that into points to. If the document has problems, the struct must not be used.
func Decode(file string, text []byte, into any) (doc *Document) {
	doc = &Document{file: file, positions: map[string]position{"": {line: 1, column: 1}}}
	if len(text) > maxDocumentBytes {
		doc.Add("", fmt.Sprintf("the file has %d bytes; the maximum is %d", len(text), maxDocumentBytes))
		return doc
	}
	// The YAML library panics on some malformed input that fuzzing found.
	defer func() {
		if panicValue := recover(); panicValue != nil {
			doc.Add("", fmt.Sprintf("the file is not valid YAML: %v", panicValue))
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
	body := d.singleBody(file)
	if body == nil {
		return
	}
	d.checkNode(body, reflect.TypeOf(into).Elem(), "", 0)
	if len(d.problems) > 0 {
		return
	}
	if err := yaml.NodeToValue(body, into); err != nil {
		d.addYAMLError(err)
	}
}

func (d *Document) singleBody(file *ast.File) ast.Node {
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
		d.addAt(bodies[1].GetToken(), "", "the file contains several documents; exactly one is expected")
		return nil
	}
	return bodies[0]
}

// Has reports whether the file contains the field.
func (d *Document) Has(field string) bool {
	_, ok := d.positions[field]
	return ok
}

// Add records a problem with a field, at the position of the field or of its nearest ancestor that the file contains.
func (d *Document) Add(field, message string) {
	at := d.locate(field)
	d.problems = append(d.problems, api.Problem{
		File: d.file, Line: at.line, Column: at.column, Field: displayName(field), Message: message,
	})
}

// Problems returns the problems in the order of their lines.
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
	d.recordPosition(field, tok)
	problem := api.Problem{File: d.file, Line: 1, Column: 1, Field: displayName(field), Message: message}
	if at, ok := positionOf(tok); ok {
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

func (d *Document) recordPosition(field string, tok *token.Token) {
	if _, known := d.positions[field]; known {
		return
	}
	if at, ok := positionOf(tok); ok {
		d.positions[field] = at
	}
}

func positionOf(tok *token.Token) (position, bool) {
	if tok == nil || tok.Position == nil || tok.Position.Line < 1 {
		return position{}, false
	}
	return position{line: tok.Position.Line, column: max(1, tok.Position.Column)}, true
}

func displayName(field string) string {
	if field == "" {
		return "(document)"
	}
	return field
}
