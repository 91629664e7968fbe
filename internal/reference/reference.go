// Package reference generates the reference pages of settings and declarations from the source
// of the Go structs that they are decoded into.
//
// # Usage
//
//	page, err := reference.Page(reference.Settings())
package reference

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"quaybarrow/internal/declare"
	"quaybarrow/internal/settings"
)

// Subject describes a reference page.
type Subject struct {
	Title    string
	Intro    string
	Sources  [][]byte // Go source that declares the struct and its nested structs
	Root     string   // name of the struct
	Defaults any      // a value of the struct that holds the defaults; nil if there are none
}

// Settings describes the page of the settings of a host.
func Settings() Subject {
	return Subject{
		Title: "Settings",
		Intro: "A host reads these from the YAML file that `quaybarrowd -settings FILE` names;\n`quaybarrowd -check-settings -settings FILE` checks it and exits.",

		Sources: settings.SourceTexts(), Root: "Settings", Defaults: settings.Default(),
	}
}

// Declarations describes the page of the declarations of operators.
func Declarations() Subject {
	return Subject{
		Title: "Declarations",
		Intro: "Operators keep these as YAML files in version control. `quaybarrow apply -f DIR`\nreads every `.yaml` file of a directory; each may hold any of the top fields.",

		Sources: [][]byte{declare.SourceText}, Root: "Declarations",
	}
}

// findStructs returns the struct types that sources declare, by name.
func findStructs(sources [][]byte) (map[string]*ast.StructType, error) {
	types := map[string]*ast.StructType{}
	for _, source := range sources {
		file, err := parser.ParseFile(token.NewFileSet(), "source.go", source, parser.ParseComments)
		if err != nil {
			return nil, fmt.Errorf("parse struct declarations: %w", err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				if t, ok := spec.Type.(*ast.StructType); ok {
					types[spec.Name.Name] = t
				}
			}
			return true
		})
	}
	return types, nil
}

// Page generates a page in Markdown.
func Page(s Subject) (string, error) {
	types, err := findStructs(s.Sources)
	if err != nil {
		return "", err
	}
	if types[s.Root] == nil {
		return "", errors.Errorf("the sources declare no struct %s", s.Root)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\nMade by `quaybarrow reference` from the struct `%s`; don't edit it by hand.\n\n%s\n\n", s.Title, s.Root, s.Intro)
	header := "| field | type | what it is |\n|---|---|---|\n"
	if s.Defaults != nil {
		header = "| field | type | default | what it is |\n|---|---|---|---|\n"
	}
	b.WriteString(header)
	w := tableWriter{types: types, out: &b, defaults: s.Defaults != nil}
	w.writeFields(s.Root, "", reflect.ValueOf(s.Defaults))
	return b.String(), nil
}

// tableWriter writes the table rows for the fields of structs, depth first.
type tableWriter struct {
	types    map[string]*ast.StructType
	out      *strings.Builder
	defaults bool
}

func (w tableWriter) writeFields(name, prefix string, value reflect.Value) {
	for _, f := range w.types[name].Fields.List {
		if f.Tag == nil {
			continue
		}
		tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`")).Get("yaml")
		field, _, _ := strings.Cut(tag, ",")
		kind, list := typeName(f.Type)
		path := prefix + field
		var inner reflect.Value
		if value.IsValid() && value.Kind() == reflect.Struct {
			inner = value.FieldByName(f.Names[0].Name)
		}
		if w.types[kind] != nil {
			w.writeRow(path+listSuffix(list), "", "", fieldComment(f))
			w.writeFields(kind, path+listSuffix(list)+".", inner)
			continue
		}
		w.writeRow(path+listSuffix(list), kind, formatDefault(inner), fieldComment(f))
	}
}

// listSuffix returns the path suffix that marks a list.
func listSuffix(list bool) string {
	if list {
		return "[]"
	}
	return ""
}

func (w tableWriter) writeRow(path, kind, value, text string) {
	if w.defaults {
		fmt.Fprintf(w.out, "| `%s` | %s | %s | %s |\n", path, kind, value, text)
		return
	}
	fmt.Fprintf(w.out, "| `%s` | %s | %s |\n", path, kind, text)
}

// typeName returns the displayed name of a field's type, or of its elements if the type is a
// list, and whether it is a list.
func typeName(e ast.Expr) (string, bool) {
	switch t := e.(type) {
	case *ast.ArrayType:
		name, _ := typeName(t.Elt)
		return name, true
	case *ast.SelectorExpr:
		return strings.ToLower(t.Sel.Name), false
	case *ast.Ident:
		switch t.Name {
		case "State", "Priority", "Role":
			return strings.ToLower(t.Name), false
		}
		return t.Name, false
	default:
		return "value", false
	}
}

func fieldComment(f *ast.Field) string {
	text := f.Doc.Text()
	if text == "" {
		text = f.Comment.Text()
	}
	return strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", "\\|")
}

// formatDefault formats a default value; it returns an empty string for the zero value.
func formatDefault(v reflect.Value) string {
	if !v.IsValid() || v.IsZero() {
		return ""
	}
	data, err := yaml.Marshal(v.Interface())
	if err != nil {
		return ""
	}
	return "`" + strings.TrimSpace(string(data)) + "`"
}
