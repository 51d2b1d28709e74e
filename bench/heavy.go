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
	scenarios["heavy"] = scenario{"heavy days in the load model, without a network: worth by kind, refusals, plots", runHeavy}
}

// Targets of the users for a kind and for the whole of a day under load: the floor of a kind, and the mark of a quiet day.
const (
	heavyKindFloor = 0.33
	heavyQuietMark = 0.787
)

// runHeavy plays each pattern once.
func runHeavy(ctx context.Context, opts options, r *report) error {
	for _, name := range simulate.ScenarioNames {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		day, ok := simulate.NamedScenario(name)
		if !ok {
			return errors.Newf("no scenario %q", name)
		}
		result := simulate.Run(day, uint64(opts.seed))
		total := result.Total()
		if name == "quiet" {
			r.atLeast(name+" worth", total.EarnedShare(), "", heavyQuietMark)
		} else {
			r.info(name+" worth", total.EarnedShare(), "")
		}
		r.info(name+" worst window", result.LowestWindowShare(), "")
		for _, kind := range day.Kinds {
			s := result.Kinds[kind.Name]
			r.atLeast(strings.Join([]string{name, kind.Name, "worth"}, " "), s.EarnedShare(), "", heavyKindFloor)
			r.info(strings.Join([]string{name, kind.Name, "refused"}, " "), float64(s.Refused)/float64(max(s.Requests, 1)), "")
		}
		if err := plotHeavy(opts.plot, name, result); err != nil {
			return err
		}
	}
	return nil
}

func plotHeavy(directory, name string, result *simulate.Result) (err error) {
	if directory == "" {
		return nil
	}
	file, err := os.Create(filepath.Join(directory, "heavy-"+name+".svg")) //nolint:gosec // The user names the directory.
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	return result.WritePlot(file)
}
