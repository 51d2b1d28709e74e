package main

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a run that exits successfully although a value is outside its bounds.
func TestRunFailsWhenATargetIsMissed(t *testing.T) {
	g := NewWithT(t)
	scenarioWithBounds := func(value float64) func(context.Context, options, *report) error {
		return func(_ context.Context, _ options, r *report) error {
			r.info("shown", value, "s")
			r.atMost("upper", value, "s", 2)
			r.atLeast("lower", value, "s", 1)
			return nil
		}
	}
	for value, want := range map[float64]int{0.5: exitMissed, 1.5: exitOK, 2.5: exitMissed} {
		scenarios["self-test"] = scenario{run: scenarioWithBounds(value)}
		var out bytes.Buffer
		g.Expect(run([]string{"-scenario", "self-test"}, &out, &out)).To(Equal(want))
	}
	delete(scenarios, "self-test")
	var out bytes.Buffer
	g.Expect(run([]string{"-scenario", "none"}, &out, &out)).To(Equal(exitUsage))
}
