package testbed

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Names and paths in the configuration that DefaultConfig returns.
const (
	ModelName   = "hemline"
	ModelPool   = "assistant"
	ServicePool = "orders"
	ChatPath    = "/v1/chat/completions"
	OrderPath   = "/orders"
	StockPath   = "/stock/"
	// LargeCaller is the name of the caller that tests use for a high load. Its configuration is that of the small callers.
	LargeCaller = "large"
	// SmallCallers is the number of callers with the names "small-1" to "small-9".
	SmallCallers = 9
)

// OperatorToken authenticates operators to the entries; linkSecret authenticates nodes to each other.
const (
	OperatorToken = "operator-token"
	linkSecret    = "testbed-link-secret"
)

const defaultConfigWithoutCallers = `[fleet]
name = "testbed"
[limits]
request_timeout = "30s"
[[priority]]
name = "urgent"
target = "500ms"
share = 0.7
floor = 0.1
[[priority]]
name = "quote"
target = "2s"
share = 0.2
floor = 0.1
[[priority]]
name = "draft"
target = "10s"
share = 0.1
floor = 0.1
[[model]]
name = "hemline"
version = "%s"
[[pool]]
name = "assistant"
kind = "model"
model = "hemline"
[[pool]]
name = "orders"
kind = "service"
[[route]]
path = "/v1/chat/completions"
pool = "assistant"
priority = "quote"
idempotent = true
[[route]]
path = "/orders"
pool = "orders"
priority = "urgent"
[[route]]
path = "/stock/"
pool = "orders"
priority = "urgent"
idempotent = true
`

// DefaultConfig returns a configuration that names a model version. It has three priorities, a model pool, a service pool, the
// caller LargeCaller and nine small callers.
func DefaultConfig(version string) string {
	var out strings.Builder
	_, _ = fmt.Fprintf(&out, defaultConfigWithoutCallers, version) // A strings.Builder never fails.
	names := []string{LargeCaller}
	for i := 1; i <= SmallCallers; i++ {
		names = append(names, fmt.Sprintf("small-%d", i))
	}
	for _, name := range names {
		_, _ = fmt.Fprintf(&out, "[[caller]]\nname = %q\nkey_sha256 = %q\n", name, sha256Hex(CallerKey(name)))
	}
	return out.String()
}

// CallerKey returns the API key of a caller of DefaultConfig.
func CallerKey(caller string) string { return "key-" + caller }

// sha256Hex returns the SHA-256 hash of text in hexadecimal.
func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
