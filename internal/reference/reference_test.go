package reference_test

import (
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/reference"
	"github.com/pimentohead/pimentohead/internal/settings"
)

// update makes the test rewrite the tables in docs: go test ./internal/reference -update.
var update = flag.Bool("update", false, "rewrite the generated tables")

const (
	beginMarker = "<!-- begin generated tables: go test ./internal/reference -update -->\n"
	endMarker   = "<!-- end generated tables -->\n"
)

// pages lists the pages with generated tables, the Go file and the root struct from which each is generated, and a value of that
// struct.
var pages = []struct {
	page, source, root string
	value              any
}{
	{"settings.md", "settings/settings.go", "Settings", settings.Settings{}},
	{"configuration.md", "config/schema.go", "Config", config.Config{}},
}

// Guards against reference pages that are out of date with the settings and configuration structs.
func TestPagesAreGenerated(t *testing.T) {
	for _, p := range pages {
		t.Run(p.page, func(t *testing.T) {
			g := NewWithT(t)
			tables, err := reference.Load(filepath.Join("..", p.source), p.root)
			g.Expect(err).NotTo(HaveOccurred())
			path := filepath.Join("..", "..", "docs", p.page)
			text, err := os.ReadFile(path)
			g.Expect(err).NotTo(HaveOccurred())
			head, rest, ok := strings.Cut(string(text), beginMarker)
			g.Expect(ok).To(BeTrue(), "the page lacks the marker before the tables")
			_, tail, ok := strings.Cut(rest, endMarker)
			g.Expect(ok).To(BeTrue(), "the page lacks the marker after the tables")
			want := head + beginMarker + "\n" + reference.Markdown(tables) + endMarker + tail
			if *update {
				g.Expect(os.WriteFile(path, []byte(want), 0o600)).To(Succeed())
			}
			g.Expect(string(text) == want || *update).To(BeTrue(), "run go test ./internal/reference -update")
		})
	}
}

// Guards against a key that the generator omits. The test finds the keys by reflection, independently of the generator.
func TestPagesNameEveryKey(t *testing.T) {
	for _, p := range pages {
		t.Run(p.page, func(t *testing.T) {
			g := NewWithT(t)
			text, err := os.ReadFile(filepath.Join("..", "..", "docs", p.page))
			g.Expect(err).NotTo(HaveOccurred())
			for _, key := range tomlKeys(reflect.TypeOf(p.value), "") {
				g.Expect(strings.Contains(string(text), "| `"+key+"` |")).To(BeTrue(), "%s is not on the page", key)
			}
		})
	}
}

// Guards against error codes and reasons that docs/operations.md does not explain.
func TestOperationsPageNamesEveryCode(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operations.md"))
	g.Expect(err).NotTo(HaveOccurred())
	filterPaths, err := filepath.Glob(filepath.Join("..", "filter", "*.go"))
	g.Expect(err).NotTo(HaveOccurred())
	codes := 0
	for _, path := range append(filterPaths, filepath.Join("..", "message", "request.go")) {
		source, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		for _, match := range codePattern.FindAllStringSubmatch(string(source), -1) {
			g.Expect(strings.Contains(string(page), "`"+match[1]+"`")).To(BeTrue(),
				"explain %q of %s in docs/operations.md", match[1], path)
			codes++
		}
	}
	g.Expect(codes).To(BeNumerically(">=", 28), "the pattern no longer finds the codes")
}

// Guards against log messages that docs/operations.md does not explain. Debug messages, log.V(1), are exempt.
func TestOperationsPageNamesEveryLogLine(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operations.md"))
	g.Expect(err).NotTo(HaveOccurred())
	messages := 0
	g.Expect(filepath.WalkDir(filepath.Join("..", ".."), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range logPattern.FindAllStringSubmatch(string(source), -1) {
			g.Expect(strings.Contains(string(page), "`"+match[1]+"`")).To(BeTrue(),
				"explain %q of %s in docs/operations.md", match[1], path)
			messages++
		}
		return err
	})).To(Succeed())
	g.Expect(messages).To(BeNumerically(">=", 30), "the pattern no longer finds the messages")
}

// logPattern matches log calls of the levels info and error.
var logPattern = regexp.MustCompile(`\b[lL]og\.(?:Info\(|Error\(\w+, )"([^"]+)"`)

// codePattern matches the codes of refusals by filters and the constants of type message.Reason.
var codePattern = regexp.MustCompile(`(?:refuse\(http\.\w+, |Reason\w+ += |Reason\w+ +Reason = )"([a-z-]+)"`)

// tomlKeys returns the dotted paths of all keys of a struct type.
func tomlKeys(t reflect.Type, prefix string) []string {
	var keys []string
	for i := range t.NumField() {
		field := t.Field(i)
		name := prefix + field.Tag.Get("toml")
		elem := field.Type
		if elem.Kind() == reflect.Slice {
			elem = elem.Elem()
		}
		if elem.Kind() == reflect.Struct {
			keys = append(keys, tomlKeys(elem, name+".")...)
			continue
		}
		keys = append(keys, name)
	}
	return keys
}

// Guards against keys without a toml tag, without a doc comment, or whose comment states no default.
func TestLoadRefusesIncompleteComments(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "a.go")
	for source, want := range map[string]string{
		"Port int `toml:\"port\"`":                           "has no doc comment",
		"// Port listens.\nPort int `toml:\"port\"`":         "no sentence Required, Optional or Default",
		"// Port listens. Default 1.\nPort int":              "needs its own line and a toml tag",
		"// A is b. Default 1.\nA, B int `toml:\"a\"`":       "needs its own line and a toml tag",
		"// Port listens. Default 1.\nPort int `json:\"p\"`": "has no toml tag",
	} {
		g.Expect(os.WriteFile(path, []byte("package a\ntype T struct {\n"+source+"\n}\n"), 0o600)).To(Succeed())
		_, err := reference.Load(path, "T")
		g.Expect(err).To(MatchError(reference.ErrSource), source)
		g.Expect(err.Error()).To(ContainSubstring(want))
	}
}
