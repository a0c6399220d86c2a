package yamldoc

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

type fieldSpec struct {
	name     string
	required bool
	typ      reflect.Type
}

// fieldsOf returns the fields of a generated struct. The generator marks optional fields with omitempty.
func fieldsOf(typ reflect.Type) []fieldSpec {
	var specs []fieldSpec
	for i := range typ.NumField() {
		name, options, _ := strings.Cut(typ.Field(i).Tag.Get("yaml"), ",")
		required := !strings.Contains(options, "omitempty")
		specs = append(specs, fieldSpec{name: name, required: required, typ: typ.Field(i).Type})
	}
	return specs
}

func (d *Document) checkNode(node ast.Node, typ reflect.Type, field string, depth int) {
	d.recordPosition(field, node.GetToken())
	if depth > maxDepth {
		d.addAt(node.GetToken(), field, fmt.Sprintf("nested deeper than %d levels", maxDepth))
		return
	}
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch typ.Kind() {
	case reflect.Struct:
		d.checkStruct(node, typ, field, depth)
	case reflect.Slice:
		d.checkSlice(node, typ, field, depth)
	default:
		d.checkScalar(node, typ, field)
	}
}

func (d *Document) checkStruct(node ast.Node, typ reflect.Type, field string, depth int) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		d.addAt(node.GetToken(), field, "must be a mapping with the fields "+fieldList(typ)+", not "+describeNode(node))
		return
	}
	specs := map[string]fieldSpec{}
	for _, spec := range fieldsOf(typ) {
		specs[spec.name] = spec
	}
	seen := map[string]bool{}
	for pairs := mapping.MapRange(); pairs.Next(); {
		d.checkPair(pairs.KeyValue(), specs, seen, typ, field, depth)
	}
	for _, spec := range fieldsOf(typ) {
		if spec.required && !seen[spec.name] {
			d.addAt(node.GetToken(), joinPath(field, spec.name), "missing; "+describeType(spec.typ, spec.name)+" is required")
		}
	}
}

func (d *Document) checkPair(
	pair *ast.MappingValueNode, specs map[string]fieldSpec, seen map[string]bool, typ reflect.Type, field string, depth int,
) {
	tok := pair.Key.GetToken()
	if tok == nil {
		d.Add(field, "a key has no name; the known fields are "+fieldList(typ))
		return
	}
	name := tok.Value
	path := joinPath(field, name)
	spec, known := specs[name]
	if !known {
		d.addAt(tok, path, "unknown field; the known fields are "+fieldList(typ))
		return
	}
	if seen[name] {
		d.addAt(tok, path, "set twice; remove one of the values")
		return
	}
	seen[name] = true
	d.recordPosition(path, tok)
	if pair.Value == nil {
		d.addAt(tok, path, "has no value; "+describeType(spec.typ, name)+" is expected")
		return
	}
	d.checkNode(pair.Value, spec.typ, path, depth+1)
}

func (d *Document) checkSlice(node ast.Node, typ reflect.Type, field string, depth int) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addAt(node.GetToken(), field, "must be a list, not "+describeNode(node))
		return
	}
	for i, item := range list.Values {
		path := fmt.Sprintf("%s[%d]", field, i)
		if item == nil {
			d.Add(path, "has no value")
			continue
		}
		d.checkNode(item, typ.Elem(), path, depth+1)
	}
}

func (d *Document) checkScalar(node ast.Node, typ reflect.Type, field string) {
	if scalarMatches(node, typ.Kind()) {
		return
	}
	name := field[strings.LastIndex(field, ".")+1:]
	message := "must be " + describeType(typ, name) + ", not " + describeNode(node)
	if typ.Kind() == reflect.String {
		message += "; put the value in quotes if a string is meant"
	}
	d.addAt(node.GetToken(), field, message)
}

func scalarMatches(node ast.Node, kind reflect.Kind) bool {
	switch kind {
	case reflect.String:
		switch node.(type) {
		case *ast.StringNode, *ast.LiteralNode:
			return true
		}
	case reflect.Int, reflect.Int64:
		number, ok := node.(*ast.IntegerNode)
		if !ok {
			return false
		}
		switch value := number.Value.(type) {
		case int64:
			return true
		case uint64:
			return value <= 1<<63-1
		}
	case reflect.Float64:
		switch node.(type) {
		case *ast.IntegerNode, *ast.FloatNode:
			return true
		}
	case reflect.Bool:
		_, ok := node.(*ast.BoolNode)
		return ok
	}
	return false
}

func describeType(typ reflect.Type, name string) string {
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch typ.Kind() {
	case reflect.Struct:
		return "a mapping with the fields " + fieldList(typ)
	case reflect.Slice:
		return "a list"
	case reflect.Int, reflect.Int64:
		if strings.HasSuffix(name, "Millis") {
			return "a whole number of milliseconds without a unit (for example 1500)"
		}
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	}
	return "a string"
}

func describeNode(node ast.Node) string {
	switch node.Type() {
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	case ast.NullType:
		return "an empty value"
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType, ast.TagType:
		return "an anchor, alias, merge key or tag (not supported)"
	}
	text := node.String()
	const maxShownBytes = 40 // bytes of an invalid value that an error message quotes
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes] + "..."
	}
	return fmt.Sprintf("%q", text)
}

func fieldList(typ reflect.Type) string {
	var names []string
	for _, spec := range fieldsOf(typ) {
		names = append(names, spec.name)
	}
	return strings.Join(names, ", ")
}

func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}
