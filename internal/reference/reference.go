// Package reference generates reference tables of TOML keys from the doc comments of the structs into which they are decoded.
//
// Sentences of a field's comment that start with "Required", "Optional", "Default", "Unit:" or "Allowed:" fill columns of
// the table, all others form its last column.
package reference

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrSource means that a struct or a field in the source file lacks a required comment, tag or form.
var ErrSource = errors.New("reference: unexpected source")

// Key describes one TOML key.
type Key struct {
	// Path is the dotted path of the key, such as "listen.admin" or "priority.name". The other fields are the columns of the table.
	Path, Type, Default, Unit, Allowed, Meaning string
}

// Table describes one TOML table and its keys.
type Table struct {
	// Heading is "" for the top level, or the table as it is written, such as "[listen]" or "[[priority]]".
	Heading, Meaning string
	Keys             []Key
}

// source holds the struct types of a Go file and their doc comments, by type name.
type source struct {
	structs map[string]*ast.StructType
	docs    map[string]string
}

// Load returns the tables of the struct root, which is declared in the Go file at path. Errors about missing types, tags or comments
// match ErrSource.
func Load(path, root string) ([]Table, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	if err != nil {
		return nil, errors.Wrap(err, "reference")
	}
	src := source{structs: map[string]*ast.StructType{}, docs: map[string]string{}}
	for _, decl := range file.Decls {
		genDecl, ok := decl.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range genDecl.Specs {
			typeSpec, isType := spec.(*ast.TypeSpec)
			if !isType {
				continue
			}
			if structType, isStruct := typeSpec.Type.(*ast.StructType); isStruct {
				src.structs[typeSpec.Name.Name] = structType
				src.docs[typeSpec.Name.Name] = joinLines(genDecl.Doc.Text())
			}
		}
	}
	return src.tables(root)
}

// tables returns the top-level table, if it has keys, followed by one table for each nested struct.
func (s source) tables(root string) ([]Table, error) {
	structType, ok := s.structs[root]
	if !ok {
		return nil, errors.Wrapf(ErrSource, "no struct %s", root)
	}
	topLevel := Table{Meaning: s.docs[root]}
	var nested []Table
	for _, field := range structType.Fields.List {
		name, typeName, isArray, err := s.parseField(field)
		if err != nil {
			return nil, err
		}
		if s.structs[typeName] == nil {
			key, err := newKey("", name, field)
			if err != nil {
				return nil, err
			}
			topLevel.Keys = append(topLevel.Keys, key)
			continue
		}
		table, err := s.table(name, typeName, isArray)
		if err != nil {
			return nil, err
		}
		nested = append(nested, table)
	}
	if len(topLevel.Keys) == 0 {
		return nested, nil
	}
	return append([]Table{topLevel}, nested...), nil
}

// table returns the table of a nested struct. isArray is set for arrays of tables.
func (s source) table(name, typeName string, isArray bool) (Table, error) {
	table := Table{Heading: "[" + name + "]", Meaning: s.docs[typeName]}
	if isArray {
		table.Heading = "[" + table.Heading + "]"
	}
	for _, field := range s.structs[typeName].Fields.List {
		keyName, _, _, err := s.parseField(field)
		if err != nil {
			return table, err
		}
		key, err := newKey(name+".", keyName, field)
		if err != nil {
			return table, err
		}
		table.Keys = append(table.Keys, key)
	}
	return table, nil
}

// parseField returns the TOML name of a field and the name of its type. For a slice, isArray is set and typeName is the name of the
// element type.
func (s source) parseField(field *ast.Field) (name, typeName string, isArray bool, err error) {
	if field.Tag == nil || len(field.Names) != 1 {
		return "", "", false, errors.Wrapf(ErrSource, "field %v needs its own line and a toml tag", field.Names)
	}
	tag, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		return "", "", false, errors.Mark(err, ErrSource)
	}
	name, _, _ = strings.Cut(reflect.StructTag(tag).Get("toml"), ",")
	if name == "" {
		return "", "", false, errors.Wrapf(ErrSource, "field %s has no toml tag", field.Names[0])
	}
	expr := field.Type
	if list, ok := expr.(*ast.ArrayType); ok {
		isArray, expr = true, list.Elt
	}
	if ident, ok := expr.(*ast.Ident); ok {
		typeName = ident.Name
	}
	return name, typeName, isArray, nil
}

// newKey builds a key from the type and the doc comment of a field.
func newKey(prefix, name string, field *ast.Field) (Key, error) {
	key := Key{Path: prefix + name, Type: tomlType(field.Type)}
	text := joinLines(field.Doc.Text())
	if text == "" {
		return key, errors.Wrapf(ErrSource, "key %s has no doc comment", key.Path)
	}
	var meaning []string
	for _, sentence := range sentences(text) {
		body := strings.TrimSuffix(sentence, ".")
		switch {
		case strings.HasPrefix(body, "Required"), strings.HasPrefix(body, "Optional"):
			key.Default = strings.ToLower(body[:1]) + body[1:]
		case strings.HasPrefix(body, "Default ") || strings.HasPrefix(body, "Default: "):
			key.Default = strings.TrimLeft(strings.TrimPrefix(body, "Default"), ": ")
		case strings.HasPrefix(body, "Unit: "):
			key.Unit = strings.TrimPrefix(body, "Unit: ")
		case strings.HasPrefix(body, "Allowed: "):
			key.Allowed = strings.TrimPrefix(body, "Allowed: ")
		default:
			meaning = append(meaning, sentence)
		}
	}
	key.Meaning = strings.Join(meaning, " ")
	// The table needs no "Name is" at the start of the meaning, because its first column names the key.
	if rest, ok := strings.CutPrefix(key.Meaning, field.Names[0].Name+" "); ok {
		rest = strings.TrimPrefix(strings.TrimPrefix(rest, "is "), "are ")
		key.Meaning = strings.ToUpper(rest[:1]) + rest[1:]
	}
	key.fillFromType()
	if key.Default == "" {
		return key, errors.Wrapf(ErrSource, "the comment of key %s has no sentence Required, Optional or Default", key.Path)
	}
	return key, nil
}

// fillFromType sets the allowed values and the unit that the type implies, unless the comment states them.
func (k *Key) fillFromType() {
	if k.Type == typeBoolean && k.Allowed == "" {
		k.Allowed = "true, false"
	}
	if k.Type == typeDuration && k.Unit == "" {
		k.Unit = `text such as "500ms" or "1m30s"`
	}
}

const (
	typeBoolean  = "boolean"
	typeDuration = "duration"
)

func tomlType(expr ast.Expr) string {
	switch t := expr.(type) {
	case *ast.ArrayType:
		return "list of " + tomlType(t.Elt) + "s"
	case *ast.MapType:
		return "table of " + tomlType(t.Value) + "s"
	case *ast.Ident:
		switch t.Name {
		case "int", "int64":
			return "integer"
		case "float64":
			return "number"
		case "bool":
			return typeBoolean
		case "Duration":
			return typeDuration
		}
	}
	return "string"
}

// joinLines joins the lines of a comment with single spaces.
func joinLines(text string) string { return strings.Join(strings.Fields(text), " ") }

// sentences splits text after full stops that are followed by a space and an upper-case letter.
func sentences(text string) []string {
	var list []string
	start := 0
	for i := 0; i+2 < len(text); i++ {
		if text[i] == '.' && text[i+1] == ' ' && text[i+2] >= 'A' && text[i+2] <= 'Z' {
			list = append(list, text[start:i+1])
			start = i + 2
		}
	}
	return append(list, text[start:])
}

// Markdown renders the tables as Markdown, each under a heading.
func Markdown(tables []Table) string {
	var b strings.Builder
	for _, table := range tables {
		heading := "Top level"
		if table.Heading != "" {
			heading = "`" + table.Heading + "`"
		}
		fmt.Fprintf(&b, "### %s\n\n%s\n\n| key | type | default | unit | allowed | meaning |\n| --- | --- | --- | --- | --- | --- |\n",
			heading, table.Meaning)
		for _, k := range table.Keys {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Path, k.Type,
				escapeCell(k.Default), escapeCell(k.Unit), escapeCell(k.Allowed), escapeCell(k.Meaning))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// escapeCell escapes text for a table cell. Empty text becomes "-".
func escapeCell(text string) string {
	if text == "" {
		return "-"
	}
	return strings.ReplaceAll(text, "|", `\|`)
}
