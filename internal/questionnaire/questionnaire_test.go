package questionnaire_test

import (
	"flag"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/questionnaire"
)

// update rewrites the generated examples: go test ./internal/questionnaire -update.
var update = flag.Bool("update", false, "rewrite the generated examples")

var teams = []string{"larkspur", "vandhane"}

// readExample returns the text of a file in the example directory of a team.
func readExample(t testing.TB, team, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", team, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against example configurations that differ from what Generate returns for their answers, or that nodes refuse.
func TestExamplesAreGenerated(t *testing.T) {
	for _, team := range teams {
		t.Run(team, func(t *testing.T) {
			g := NewWithT(t)
			answers, err := questionnaire.Parse(readExample(t, team, "questionnaire.toml"))
			g.Expect(err).NotTo(HaveOccurred())
			result, err := questionnaire.Generate(answers, nil)
			g.Expect(err).NotTo(HaveOccurred())
			if *update {
				g.Expect(os.WriteFile(filepath.Join("..", "..", "examples", team, "fleet.toml"), []byte(result.Text), 0o600)).To(Succeed())
			}
			g.Expect(result.Text).To(Equal(readExample(t, team, "fleet.toml")))
			cfg, err := config.Parse(result.Text)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(cfg.Fleet.Name).To(Equal(team))
			shares := 0.0
			for _, p := range cfg.Priorities {
				shares += p.Share
			}
			g.Expect(math.Abs(shares - 1)).To(BeNumerically("<", 1e-9))
		})
	}
}

// Guards against generated values without a reason, either in the text or in Reasons.
func TestEveryValueHasAReason(t *testing.T) {
	g := NewWithT(t)
	answers, err := questionnaire.Parse(readExample(t, "larkspur", "questionnaire.toml"))
	g.Expect(err).NotTo(HaveOccurred())
	result, err := questionnaire.Generate(answers, nil)
	g.Expect(err).NotTo(HaveOccurred())
	values, previous := 0, ""
	for line := range strings.Lines(result.Text) {
		if strings.Contains(line, " = ") && !strings.HasPrefix(line, "#") {
			g.Expect(previous).To(HavePrefix("# "), line)
			g.Expect(previous).NotTo(ContainSubstring("%!"))
			values++
		}
		previous = line
	}
	g.Expect(result.Reasons).To(HaveLen(values))
	g.Expect(result.Reasons).To(ContainElement(questionnaire.Reason{
		Key: "model.hemline.max_unavailable", Value: "2",
		Reason: "Tolerated out of service: 2. A data centre has 4 replicas; one stays in service where there are several.",
	}))
}

// Guards against new answers that undo a rollout, a pause or a drain.
func TestGenerateKeepsVersionsAndDrains(t *testing.T) {
	g := NewWithT(t)
	answers, err := questionnaire.Parse(readExample(t, "larkspur", "questionnaire.toml"))
	g.Expect(err).NotTo(HaveOccurred())
	inForce := &config.Config{
		Models: []config.Model{{Name: "hemline", Version: strings.Repeat("a", 64), Paused: true}},
		Drains: []config.Drain{{Agent: "agent-3"}},
	}
	result, err := questionnaire.Generate(answers, inForce)
	g.Expect(err).NotTo(HaveOccurred())
	cfg, err := config.Parse(result.Text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cfg.Models[0].Version).To(Equal(inForce.Models[0].Version))
	g.Expect(cfg.Models[0].Paused).To(BeTrue())
	g.Expect(cfg.Drains).To(Equal(inForce.Drains))
}

// Guards against invalid answers that are accepted or reported without naming the key.
func TestParseErrorsNameLineAndKey(t *testing.T) {
	text := readExample(t, "larkspur", "questionnaire.toml")
	for _, tc := range []struct{ name, old, replacement, want string }{
		{"unknown key", `burst = 3.0`, `bursts = 3.0`, `key "tolerance.bursts": unknown key`},
		{"missing answer", `longest_answer = "30s"`, ``, `line 7: key "tolerance.longest_answer": must be a positive duration`},
		{"a key instead of its hash", `key_sha256 = "`, `key_sha256 = "larkspur-demo-`, `key "caller[0].key_sha256": must be 64`},
		{"unknown priority", `priority = "quote"`, `priority = "soon"`,
			`key "workload[0].request[0].priority": there is no priority "soon"`},
		{"path with a quote", `path = "/orders"`, `path = '/or"ders'`, `key "workload[1].request[0].path": must start with`},
		{"examples with a line break", `"spec sheets"`, `"spec\nsheets"`, `key "priority[2].examples": must be one line`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := questionnaire.Parse(strings.Replace(text, tc.old, tc.replacement, 1))
			g.Expect(errors.Is(err, config.ErrInvalid)).To(BeTrue())
			g.Expect(err.Error()).To(ContainSubstring(tc.want))
		})
	}
}

// Guards against a panic on arbitrary answers, and against text that differs between two runs for the same answers.
func FuzzGenerate(f *testing.F) {
	for _, team := range teams {
		f.Add(readExample(f, team, "questionnaire.toml"))
	}
	f.Add("team = 'a'\npriority = [{name = 'b', worth = 1e-300}]\n")
	f.Fuzz(func(t *testing.T, text string) {
		answers, err := questionnaire.Parse(text)
		if err != nil {
			return
		}
		first, err := questionnaire.Generate(answers, nil)
		if err != nil {
			return
		}
		if second, _ := questionnaire.Generate(answers, nil); second.Text != first.Text {
			t.Fatal("generation is not deterministic")
		}
	})
}
