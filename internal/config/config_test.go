package config_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pimentohead/pimentohead/internal/config"
)

const testHash = "1a2b3c4d5e6f708192a3b4c5d6e7f8091a2b3c4d5e6f708192a3b4c5d6e7f809"

var validText = `[fleet]
name = "larkspur"
[[priority]]
name = "urgent"
target = "500ms"
share = 0.7
floor = 0.6
[[priority]]
name = "quote"
target = "2s"
floor = 0.4
[[model]]
name = "hemline"
version = "` + testHash + `"
[[pool]]
name = "assistant"
kind = "model"
model = "hemline"
[[route]]
path = "/v1/chat/completions"
pool = "assistant"
priority = "quote"
[[caller]]
name = "tailor-row"
key_sha256 = "` + testHash + `"
priorities = ["urgent"]
[[drain]]
agent = "agent-3"
`

// Guards against missing keys that do not get their defaults.
func TestParseSetsDefaults(t *testing.T) {
	g := NewWithT(t)
	cfg, err := config.Parse(validText)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cfg.Limits.RequestTimeout.Std()).To(Equal(30 * time.Second))
	g.Expect(cfg.Models[0].Canary).To(Equal(1))
	g.Expect(cfg.Callers[0].Weight).To(Equal(1))
}

// Guards against invalid documents that are accepted or refused without naming line and key.
func TestParseErrorsNameLineAndKey(t *testing.T) {
	for _, tc := range []struct{ name, old, replacement, want string }{
		{"unknown key", `share = 0.7`, `shre = 0.7`, `line 6: key "priority.shre": unknown key`},
		{"wrong type", `share = 0.7`, `share = "x"`, `line 6: key "priority.share"`},
		{"syntax", `name = "urgent"`, `name = `, `line 4`},
		{"floors above 1", `floor = 0.4`, `floor = 0.5`, `key "priority": floors sum to 1.1`},
		{"share that is not a number", `share = 0.7`, `share = nan`, `line 6: key "priority[0].share": must be 0 to 1`},
		{"negative duration", `"2s"`, `"-2s"`, `line 10: key "priority[1].target": must be a positive duration`},
		{"explicit zero", `version =`, "canary = 0\nversion =", `line 14: key "model[0].canary": must be 1 to`},
		{"short version", `version = "1a`, `version = "`, `line 14: key "model[0].version": must be 64`},
		{"unknown model", `model = "hemline"`, `model = "seam"`, `line 18: key "pool[0].model": there is no model "seam"`},
		{"unknown pool", `pool = "assistant"`, `pool = "desk"`, `line 21: key "route[0].pool": there is no pool "desk"`},
		{"unknown priority", `priorities = ["urgent"]`, `priorities = ["soon"]`,
			`line 26: key "caller[0].priorities": there is no priority "soon"`},
		{"route twice", `[[drain]]`,
			"[[route]]\npath = \"/v1/chat/completions\"\npool = \"assistant\"\npriority = \"quote\"\n[[drain]]",
			`line 28: key "route[1].path": GET /v1/chat/completions is routed twice`},
		{"key of two callers", `[[drain]]`, "[[caller]]\nname = \"b\"\nkey_sha256 = \"" + testHash + "\"\n[[drain]]",
			`line 29: key "caller[1].key_sha256": is used by another caller`},
		{"too large", `[[drain]]`, strings.Repeat("#", config.MaxDocumentBytes) + "\n[[drain]]", `at most 524288 are allowed`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(validText).To(ContainSubstring(tc.old))
			_, err := config.Parse(strings.Replace(validText, tc.old, tc.replacement, 1))
			g.Expect(errors.Is(err, config.ErrInvalid)).To(BeTrue())
			g.Expect(err.Error()).To(ContainSubstring(tc.want))
		})
	}
}

// Guards against error messages that contain only the first fault.
func TestParseReportsAllFaults(t *testing.T) {
	g := NewWithT(t)
	text := strings.NewReplacer(`kind = "model"`, `kind = "x"`, `name = "larkspur"`, `name = ""`, `share`, `shr`).Replace(validText)
	_, err := config.Parse(text)
	var faults *config.FaultsError
	g.Expect(errors.As(err, &faults)).To(BeTrue())
	g.Expect(faults.Faults).To(HaveLen(3))
}

// Guards against differences that are not reported by the name of the item, or reported for equal configurations.
func TestDiffReportsChangesByItemName(t *testing.T) {
	g := NewWithT(t)
	old, err := config.Parse(validText)
	g.Expect(err).NotTo(HaveOccurred())
	next, err := config.Parse(strings.NewReplacer(`version = "1a2b`, `version = "9f8e`, `agent-3`, `agent-4`).Replace(validText))
	g.Expect(err).NotTo(HaveOccurred())
	next.Priorities[0], next.Priorities[1] = next.Priorities[1], next.Priorities[0]
	var lines []string
	for _, change := range config.Diff(old, next) {
		lines = append(lines, change.String())
	}
	g.Expect(lines).To(Equal([]string{
		"priority: order urgent, quote -> quote, urgent",
		"model hemline: version 1a2b3c4d5e6f... -> 9f8e3c4d5e6f...",
		"drain agent-4: added", "drain agent-3: removed",
	}))
	g.Expect(config.Diff(old, old)).To(BeEmpty())
}

// envelope returns the envelope of text as the given revision, based on the previous revision.
func envelope(revision uint64, text string) config.Envelope {
	return config.Envelope{Revision: revision, Base: revision - 1, Digest: config.Digest(text), Text: text,
		Time: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)}
}

// Guards against putting a document in force that differs from the approved one, and against an encoding that changes an envelope.
func TestNewActiveChecksDigest(t *testing.T) {
	g := NewWithT(t)
	changed := envelope(3, validText)
	changed.Text += "# changed"
	_, err := config.NewActive(changed)
	g.Expect(errors.Is(err, config.ErrDigestMismatch)).To(BeTrue())
	data, err := config.EncodeEnvelope(envelope(3, validText))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(config.DecodeEnvelope(data)).To(Equal(envelope(3, validText)))
}

// Guards against a message from another node that ends the process: the decoder recurses once per nesting level of a field, so a
// deeply nested field overflows the stack.
func TestDecodeLimitsInputSize(t *testing.T) {
	g := NewWithT(t)
	for _, levels := range []int{1 << 19, 15 << 20} {
		nested := append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, levels)...)
		_, err := config.DecodeEnvelope(nested)
		g.Expect(errors.Is(err, config.ErrMalformed)).To(BeTrue())
		_, err = config.ApplyDelta(envelope(1, validText), nested)
		g.Expect(errors.Is(err, config.ErrMalformed)).To(BeTrue())
	}
	largest := envelope(2, strings.Repeat("#", config.MaxDocumentBytes))
	delta := config.MakeDelta(envelope(1, validText), largest)
	g.Expect(config.ApplyDelta(envelope(1, validText), delta)).To(Equal(largest))
}

// Guards against deltas that do not reproduce the new text, with random pairs of texts.
func TestDeltaReproducesNewText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[ab]{0,20}`)
		old, next := envelope(1, text.Draw(t, "old")), envelope(2, text.Draw(t, "next"))
		got, err := config.ApplyDelta(old, config.MakeDelta(old, next))
		if err != nil || got != next {
			t.Fatalf("got %v, %v; want %v", got, err, next)
		}
	})
}

// Guards against deltas that are as large as the document, and against applying a delta to a text other than its base.
func TestDeltaIsSmallAndChecksItsBase(t *testing.T) {
	g := NewWithT(t)
	old, next := envelope(1, validText), envelope(2, strings.Replace(validText, "agent-3", "agent-4", 1))
	delta := config.MakeDelta(old, next)
	g.Expect(len(delta)).To(BeNumerically("<", 400))
	_, err := config.ApplyDelta(envelope(1, "other"), delta)
	g.Expect(errors.Is(err, config.ErrBaseMismatch)).To(BeTrue())
	tampered := old
	tampered.Text = strings.Replace(validText, "larkspur", "larkspun", 1)
	_, err = config.ApplyDelta(tampered, delta)
	g.Expect(errors.Is(err, config.ErrDigestMismatch)).To(BeTrue())
}

// Guards against a panic on arbitrary text, and against text that Parse accepts but Validate refuses.
func FuzzParse(f *testing.F) {
	f.Add(validText)
	f.Add("model = [{name = 'a', version = ''}]\n[limits]\nmax_body_bytes = -1\n")
	f.Add("[[caller]]\n[caller.x]\ny = [1, {}]\n")
	f.Fuzz(func(t *testing.T, text string) {
		cfg, err := config.Parse(text)
		if err == nil && (cfg.Validate() != nil || len(config.Diff(cfg, cfg)) > 0) {
			t.Fatal("accepted configuration does not validate")
		}
	})
}

// Guards against a panic on an arbitrary delta, and against accepting a text that does not match its digest.
func FuzzApplyDelta(f *testing.F) {
	old := envelope(1, validText)
	f.Add(config.MakeDelta(old, envelope(2, validText+"# x")))
	f.Add(config.MakeDelta(old, envelope(2, "")))
	f.Fuzz(func(t *testing.T, delta []byte) {
		next, err := config.ApplyDelta(old, delta)
		if err == nil && config.Digest(next.Text) != next.Digest {
			t.Fatal("accepted a text that does not match its digest")
		}
	})
}
