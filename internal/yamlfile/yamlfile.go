// Package yamlfile decodes YAML files strictly and reports errors by file, line and field.
//
// # Usage
//
//	var target Settings
//	doc, err := yamlfile.Decode("host.yaml", data, &target)
//	...
//	return doc.Errorf("$.listen", "must be an IP address and a port")
//
// Decode rejects unknown and repeated fields. A Document keeps the syntax tree, so that checks made
// after decoding can report line numbers.
package yamlfile

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// ErrInvalid is matched by every error about the contents of a file.
var ErrInvalid = errors.New("invalid file")

// FieldError describes an invalid field.
type FieldError struct {
	File  string // file name, as passed by the caller
	Line  int    // line of the field, counted from 1; 0 if unknown
	Field string // YAML path of the field, such as $.models[0].name
	Text  string // describes the error and the allowed values
}

// Error formats the error as file:line: field: text.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Text)
}

// Unwrap makes every FieldError match ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// Document is a decoded file with its syntax tree.
type Document struct {
	name string
	tree *ast.File
}

// Decode parses data strictly into target. Errors match ErrInvalid and give the line.
func Decode(name string, data []byte, target any) (doc *Document, err error) {
	// Fuzzing found malformed texts on which the YAML library panics. They are reported like any
	// other error in the file.
	defer func() {
		if r := recover(); r != nil {
			doc, err = nil, fmt.Errorf("decode %s: %w: the text is malformed: %v", name, ErrInvalid, r)
		}
	}()
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, fmt.Errorf("parse %s: %w: %s", name, ErrInvalid, yaml.FormatError(err, false, true))
	}
	if err := yaml.UnmarshalWithOptions(data, target, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("decode %s: %w: %s", name, ErrInvalid, yaml.FormatError(err, false, true))
	}
	return &Document{name: name, tree: tree}, nil
}

// Errorf returns a FieldError for the field at path, located in the file.
func (d *Document) Errorf(path, format string, args ...any) error {
	return &FieldError{File: d.name, Line: d.line(path), Field: path, Text: fmt.Sprintf(format, args...)}
}

// line returns the line of path, or of its nearest existing parent; 1 if there is none.
func (d *Document) line(path string) int {
	for path != "" && path != "$" {
		if n := d.exactLine(path); n > 0 {
			return n
		}
		path = parent(path)
	}
	return 1
}

func (d *Document) exactLine(path string) int {
	p, err := yaml.PathString(path)
	if err != nil {
		return 0
	}
	node, err := p.FilterFile(d.tree)
	if err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// parent removes the last element of a path: $.a[0].b becomes $.a[0].
func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
