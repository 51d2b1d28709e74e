package questionnaire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pimentohead/pimentohead/internal/config"
)

// Reason is the explanation of one generated value.
type Reason struct {
	// Key is the path of the value: table, item name and key, such as "model.hemline.canary".
	Key string `json:"key"`
	// Value is the value in TOML.
	Value  string `json:"value"`
	Reason string `json:"reason"`
}

// writer writes the text and the list of reasons together, so that they cannot differ.
type writer struct {
	text    strings.Builder
	reasons []Reason
	// tablePath is the path of the current table, such as "model.hemline".
	tablePath string
}

// beginTable starts a table. name is the name of the item; it is empty for tables that occur once.
func (w *writer) beginTable(kind, name string) {
	header := "[" + kind + "]"
	w.tablePath = kind
	if name != "" {
		header = "[[" + kind + "]]"
		w.tablePath += "." + name
	}
	w.text.WriteString("\n" + header + "\n")
}

// writeValue writes a key and its value with the reason as a comment above it. reason is a format string for args.
func (w *writer) writeValue(key string, value any, reason string, args ...any) {
	reason = fmt.Sprintf(reason, args...)
	literal := encodeTOML(value)
	fmt.Fprintf(&w.text, "# %s\n%s = %s\n", reason, key, literal)
	w.reasons = append(w.reasons, Reason{Key: w.tablePath + "." + key, Value: literal, Reason: reason})
}

// encodeTOML returns value in TOML. Strings need no escaping, because Parse accepts only names, hashes and plain paths.
func encodeTOML(value any) string {
	switch v := value.(type) {
	case string:
		return `"` + v + `"`
	case []string:
		quoted := make([]string, 0, len(v))
		for _, item := range v {
			quoted = append(quoted, encodeTOML(item))
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	case float64:
		text := strconv.FormatFloat(v, 'f', -1, 64)
		if !strings.Contains(text, ".") {
			text += ".0"
		}
		return text
	case config.Duration:
		return encodeTOML(shortDuration(v.Std()))
	default:
		return fmt.Sprint(v)
	}
}

// shortDuration formats d without trailing zero units: "2m" instead of "2m0s".
func shortDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
