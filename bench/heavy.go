package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/simulate"
)

func init() {
	scenarios["heavy"] = scenario{"overload scenarios in a simulation, without a network: worth by kind, refusals, plots", runHeavy}
}

// Targets of the users for the earned share: the floor of a single kind in any scenario, and that of all kinds in the quiet scenario.
const (
	heavyKindFloor  = 0.33
	heavyQuietFloor = 0.787
)

// runHeavy runs each scenario of package simulate once. The names of the measures call the earned share "worth".
func runHeavy(ctx context.Context, opts options, r *report) error {
	for _, name := range simulate.ScenarioNames {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		loadScenario, ok := simulate.NamedScenario(name)
		if !ok {
			return errors.Newf("heavy: package simulate has no scenario %q", name)
		}
		result := simulate.Run(loadScenario, uint64(opts.seed))
		total := result.Total()
		if name == "quiet" {
			r.atLeast(name+" worth", total.EarnedShare(), "", heavyQuietFloor)
		} else {
			r.info(name+" worth", total.EarnedShare(), "")
		}
		r.info(name+" worst window", result.LowestWindowShare(), "")
		for _, kind := range loadScenario.Kinds {
			outcomes := result.Kinds[kind.Name]
			r.atLeast(strings.Join([]string{name, kind.Name, "worth"}, " "), outcomes.EarnedShare(), "", heavyKindFloor)
			r.info(strings.Join([]string{name, kind.Name, "refused"}, " "),
				float64(outcomes.Refused)/float64(max(outcomes.Requests, 1)), "")
		}
		if err := writeHeavyPlot(opts.plot, name, result); err != nil {
			return err
		}
	}
	return nil
}

// writeHeavyPlot writes the plot of a result to a file in directory. It does nothing if directory is empty.
func writeHeavyPlot(directory, name string, result *simulate.Result) (err error) {
	if directory == "" {
		return nil
	}
	file, err := os.Create(filepath.Join(directory, "heavy-"+name+".svg")) //nolint:gosec // The user names the directory.
	if err != nil {
		return errors.Wrap(err, "create plot")
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	return result.WritePlot(file)
}
