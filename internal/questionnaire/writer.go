package questionnaire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pimentohead/pimentohead/internal/config"
)

// Reason explains one generated value.
type Reason struct {
	// Key is such as "model.hemline.canary".
	Key    string `json:"key"`
	Value  string `json:"value"`
	Reason string `json:"reason"`
}

// writer builds the text and the list of reasons together, so that they agree.
type writer struct {
	text    strings.Builder
	reasons []Reason
	// prefix is the key of the current table.
	prefix string
}

// table starts a table. name is empty for tables that exist once.
func (w *writer) table(kind, name string) {
	header := "[" + kind + "]"
	w.prefix = kind
	if name != "" {
		header = "[[" + kind + "]]"
		w.prefix += "." + name
	}
	w.text.WriteString("\n" + header + "\n")
}

// value writes a key with the reason as a comment above it.
func (w *writer) value(key string, value any, reason string, args ...any) {
	reason = fmt.Sprintf(reason, args...)
	literal := encode(value)
	fmt.Fprintf(&w.text, "# %s\n%s = %s\n", reason, key, literal)
	w.reasons = append(w.reasons, Reason{Key: w.prefix + "." + key, Value: literal, Reason: reason})
}

// encode returns the TOML form. Strings need no escapes: Parse admits only names, hashes and plain paths.
func encode(value any) string {
	switch v := value.(type) {
	case string:
		return `"` + v + `"`
	case []string:
		quoted := make([]string, 0, len(v))
		for _, item := range v {
			quoted = append(quoted, encode(item))
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	case float64:
		text := strconv.FormatFloat(v, 'f', -1, 64)
		if !strings.Contains(text, ".") {
			text += ".0"
		}
		return text
	case config.Duration:
		return encode(shortDuration(v.Std()))
	default:
		return fmt.Sprint(v)
	}
}

// shortDuration writes "2m" where the standard library writes "2m0s".
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
