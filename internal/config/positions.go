package config

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Span is the byte range of a value in a document.
type Span struct {
	Offset, Length int
}

// Positions maps the dotted path of a key, such as "model[1].version", to its line and byte range in a document. It does not contain
// the keys inside inline tables.
type Positions struct {
	// lines holds the first line of each key and table, counted from 1.
	lines map[string]int
	// spans holds the byte range of each scalar value. The parser reports an empty range for arrays.
	spans map[string]Span
	// arrayLengths holds the number of elements found so far in each array of tables.
	arrayLengths map[string]int
}

// IndexPositions returns the positions of the keys of a TOML text. Keys after a syntax error are missing.
func IndexPositions(text string) *Positions {
	p := &Positions{lines: map[string]int{}, spans: map[string]Span{}, arrayLengths: map[string]int{}}
	var parser unstable.Parser
	parser.Reset([]byte(text))
	counter := lineCounter{text: text, line: 1}
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		path, offset := joinKey(node)
		line := counter.lineAt(offset)
		switch node.Kind {
		case unstable.Table:
			table = p.resolveTable(path)
			p.record(table, line)
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, p.arrayLengths[path])
			p.arrayLengths[path]++
			p.record(table, line)
		case unstable.KeyValue:
			key := joinPath(table, path)
			p.record(key, line)
			raw := node.Value().Raw
			p.spans[key] = Span{Offset: int(raw.Offset), Length: int(raw.Length)}
		}
	}
	return p
}

// resolveTable returns the path of a table with the index of the array of tables that contains it, if any. Such a table belongs to the
// last element so far: after two [[caller]] headers, "caller.x" becomes "caller[1].x". Other paths are returned unchanged.
func (p *Positions) resolveTable(path string) string {
	head, rest, found := strings.Cut(path, ".")
	if n := p.arrayLengths[head]; found && n > 0 {
		return fmt.Sprintf("%s[%d].%s", head, n-1, rest)
	}
	return path
}

// record stores the line of key unless an earlier one is stored.
func (p *Positions) record(key string, line int) {
	if _, ok := p.lines[key]; !ok {
		p.lines[key] = line
	}
}

// Has reports whether the document contains the key or table with this path, outside inline tables.
func (p *Positions) Has(key string) bool {
	_, ok := p.lines[key]
	return ok
}

// Span returns the byte range of the value of key, which must be a scalar: the range of an inline table is only its opening brace. The
// bool is false for arrays and for keys that are absent or inside an inline table.
func (p *Positions) Span(key string) (Span, bool) {
	span, ok := p.spans[key]
	return span, ok && span.Length > 0
}

// Line returns the line of key or, if key is absent, of the innermost table around it; 0 if there is none.
func (p *Positions) Line(key string) int {
	for key != "" {
		if line, ok := p.lines[key]; ok {
			return line
		}
		separator := strings.LastIndexAny(key, ".[")
		if separator < 0 {
			return 0
		}
		key = key[:separator]
	}
	return 0
}

// FillLines sets the line of each fault that has none yet, by its key.
func (p *Positions) FillLines(faults []Fault) {
	for i := range faults {
		if faults[i].Line == 0 {
			faults[i].Line = p.Line(faults[i].Key)
		}
	}
}

// lineCounter converts ascending byte offsets into line numbers in a single pass; the parser's own lookup scans the text from the
// start on each call.
type lineCounter struct {
	text         string
	offset, line int
}

// lineAt returns the line that contains the byte at offset. Offsets must not decrease between calls.
func (c *lineCounter) lineAt(offset int) int {
	if offset > c.offset && offset <= len(c.text) {
		c.line += strings.Count(c.text[c.offset:offset], "\n")
		c.offset = offset
	}
	return c.line
}

// joinKey returns the dotted key of an expression and the byte offset of its first part.
func joinKey(node *unstable.Node) (path string, offset int) {
	var parts []string
	keys := node.Key()
	for keys.Next() {
		key := keys.Node()
		if len(parts) == 0 {
			offset = int(key.Raw.Offset)
		}
		parts = append(parts, string(key.Data))
	}
	return strings.Join(parts, "."), offset
}

// joinPath returns the dotted path of key in table; table is empty at the top level.
func joinPath(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
