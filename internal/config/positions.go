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

// Positions maps dotted paths such as "model[1].version" to their place in a document.
type Positions struct {
	lines map[string]int
	spans map[string]Span
	// counts holds the number of tables seen per array path.
	counts map[string]int
}

// IndexPositions indexes the keys of a TOML text. Text after a syntax error is not indexed.
func IndexPositions(text string) *Positions {
	p := &Positions{lines: map[string]int{}, spans: map[string]Span{}, counts: map[string]int{}}
	var parser unstable.Parser
	parser.Reset([]byte(text))
	counter := lineCounter{text: text, line: 1}
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		path, offset := joinKey(node)
		line := counter.at(offset)
		switch node.Kind {
		case unstable.Table:
			table = p.resolve(path)
			p.record(table, line)
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, p.counts[path])
			p.counts[path]++
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

// resolve replaces an array name at the start of a table path by its last element.
func (p *Positions) resolve(path string) string {
	head, rest, found := strings.Cut(path, ".")
	if n := p.counts[head]; found && n > 0 {
		return fmt.Sprintf("%s[%d].%s", head, n-1, rest)
	}
	return path
}

func (p *Positions) record(key string, line int) {
	if _, ok := p.lines[key]; !ok {
		p.lines[key] = line
	}
}

// Has tells whether the document sets key.
func (p *Positions) Has(key string) bool {
	_, ok := p.lines[key]
	return ok
}

// Span returns where the value of key is. It is false for keys that are absent or written inside an inline table.
func (p *Positions) Span(key string) (Span, bool) {
	span, ok := p.spans[key]
	return span, ok && span.Length > 0
}

// Line returns the line of key, or of the closest table around it, or 0.
func (p *Positions) Line(key string) int {
	for key != "" {
		if line, ok := p.lines[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// FillLines sets the lines of faults that have none yet.
func (p *Positions) FillLines(faults []Fault) {
	for i := range faults {
		if faults[i].Line == 0 {
			faults[i].Line = p.Line(faults[i].Key)
		}
	}
}

// lineCounter turns ascending offsets into line numbers in one pass, because the parser's own lookup is linear per call.
type lineCounter struct {
	text         string
	offset, line int
}

func (c *lineCounter) at(offset int) int {
	if offset > c.offset && offset <= len(c.text) {
		c.line += strings.Count(c.text[c.offset:offset], "\n")
		c.offset = offset
	}
	return c.line
}

// joinKey returns the dotted key of an expression and the offset of its first part.
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

func joinPath(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
