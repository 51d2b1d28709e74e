package settings_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/settings"
)

const validAgent = `role = "agent"
id = "agent-1"
data_centre = "saskatoon"
region = "prairie"
[listen]
admin = "127.0.0.1:9101"
link = "127.0.0.1:9102"
weights = "127.0.0.1:9103"
[link]
secret = "0123456789abcdef"
[platform]
store = "http://127.0.0.1:2379"
origin = "http://127.0.0.1:2380"
[agent]
entries = ["127.0.0.1:9002"]
pool = "assistant"
kind = "model"
upstream = "http://127.0.0.1:9200"
`

// Guards against valid settings that are refused, and against defaults that are not set.
func TestParseAcceptsValidSettings(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.Parse("a.toml", []byte(validAgent))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Agent.QueueLimit).To(Equal(1024))
	g.Expect(s.Link.AdvertiseAddress).To(Equal("127.0.0.1:9102"))
}

// Guards against invalid settings that are accepted or reported without file, line, key and allowed values.
func TestParseErrorsNameFileLineAndKey(t *testing.T) {
	for _, tc := range []struct{ name, old, replacement, want string }{
		{"unknown key", `pool = "assistant"`, "pool = \"assistant\"\npol = 1", `a.toml:17:1: unknown key "agent.pol"`},
		{"wrong type", `id = "agent-1"`, `id = 7`, `a.toml:2:6: key "id"`},
		{"missing value", `pool = "assistant"`, ``, `a.toml:14: key "agent.pool": must be 1 to 64 letters, digits, '-', '_' or '.'`},
		{"role conflict", `admin = "127.0.0.1:9101"`, "admin = \"127.0.0.1:9101\"\ncaller = \"127.0.0.1:1\"",
			`a.toml:7: key "listen.caller": belongs to the entry role`},
		{"short secret", `0123456789abcdef`, `short`, `a.toml:10: key "link.secret": must have at least 16 bytes`},
		{"weights not on loopback", `weights = "127.0.0.1`, `weights = "192.0.2.1`, `a.toml:8: key "listen.weights": must be a loopback`},
		{"certificate without key", `[link]`, "tls_cert_file = \"c.pem\"\n[link]",
			`a.toml:9: key "listen.tls_cert_file": must be set together`},
		{"bad duration", `secret = "0123456789abcdef"`, "secret = \"0123456789abcdef\"\nsilence_timeout = \"3\"", `"3" is not a duration`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := settings.Parse("a.toml", []byte(strings.Replace(validAgent, tc.old, tc.replacement, 1)))
			g.Expect(errors.Is(err, settings.ErrInvalid)).To(BeTrue())
			g.Expect(err.Error()).To(ContainSubstring(tc.want))
		})
	}
}

// Guards against a panic on arbitrary settings text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validAgent))
	f.Add([]byte("role = \"entry\"\n[entry]\npeers = [1]\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = settings.Parse("f.toml", text)
	})
}
