package simulate_test

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/simulate"
)

func play(t *testing.T, name string) *simulate.Result {
	day, ok := simulate.NamedScenario(name)
	if !ok {
		t.Fatalf("no scenario %s", name)
	}
	return simulate.Run(day, 1)
}

// Guards against a model whose days cannot be repeated.
func TestEqualSeedsGiveEqualLoad(t *testing.T) {
	g := NewWithT(t)
	a, b := play(t, "quiet"), play(t, "quiet")
	g.Expect(a.Total().Requests).To(Equal(b.Total().Requests))
	g.Expect(a.Total().PossibleValue).To(Equal(b.Total().PossibleValue))
}

// Guards against requests that the model loses: each one has one end.
func TestEachRequestEndsOnce(t *testing.T) {
	g := NewWithT(t)
	for _, name := range simulate.ScenarioNames {
		s := play(t, name).Total()
		g.Expect(s.InTime+s.Late+s.Refused+s.Failed).To(Equal(s.Requests), name)
	}
}

// Pattern quiet: the load fits, nearly everything is in time.
func TestQuietDayIsInTime(t *testing.T) {
	g := NewWithT(t)
	s := play(t, "quiet").Total()
	g.Expect(s.EarnedShare()).To(BeNumerically(">=", 0.9))
}

// Pattern flood: the least urgent kind comes 2.3 times as often. The others keep their targets, and it keeps a floor.
func TestFloodOfLeastUrgentKindCostsOthersLittle(t *testing.T) {
	g := NewWithT(t)
	r := play(t, "flood")
	g.Expect(r.Kinds["quote"].EarnedShare()).To(BeNumerically(">=", 0.75))
	g.Expect(r.Kinds["draft"].EarnedShare()).To(BeNumerically(">=", 0.35), "the users' floor of a kind")
	g.Expect(served(r, "quote")).To(BeNumerically(">=", served(r, "draft")-0.05))
}

// Pattern shortage: more load than the engines carry, all day. Urgent kinds come first, and no kind is served less than a quarter as
// often as all.
func TestShortageServesUrgentKindsFirst(t *testing.T) {
	g := NewWithT(t)
	r := play(t, "shortage")
	g.Expect(r.Kinds["quote"].EarnedShare()).To(BeNumerically(">", r.Kinds["draft"].EarnedShare()))
	total := r.Total()
	all := float64(total.InTime+total.Late) / float64(total.Requests)
	for _, k := range []string{"draft", "answer", "quote"} {
		g.Expect(served(r, k)).To(BeNumerically(">=", all/4), k)
	}
}

func served(r *simulate.Result, kind string) float64 {
	s := r.Kinds[kind]
	return float64(s.InTime+s.Late) / float64(s.Requests)
}

// Guards against plots that no viewer opens.
func TestPlotIsWellFormed(t *testing.T) {
	g := NewWithT(t)
	var b strings.Builder
	g.Expect(play(t, "urgent").WritePlot(&b)).To(Succeed())
	d := xml.NewDecoder(strings.NewReader(b.String()))
	for {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(b.String()).To(ContainSubstring("polyline"))
}

// Guards against a model that is too slow for a thousand days.
func TestDayTakesLittleTime(t *testing.T) {
	started := time.Now()
	play(t, "quiet")
	if took := time.Since(started); took > 3*time.Second {
		t.Fatalf("a day took %s", took)
	}
}
