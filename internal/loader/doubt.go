package loader

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
)

// doubtfulLoad is a load of which it is not known that the staged chunks matched when the upstream took them: its order was carried out late, or has no
// answer.
type doubtfulLoad struct {
	model   string
	version int64
	// startedAtMillis is the start time of the upstream's process.
	startedAtMillis int64
	// bad is set once a staged chunk did not match after the order.
	bad bool
}

// concerns reports whether layers that a report shows may come from the doubtful load. It is false for nil.
func (d *doubtfulLoad) concerns(r Report) bool {
	return d != nil && r.StartedAtMillis == d.startedAtMillis && CountLoadedLayers(r.Models, d.model, d.version) > 0
}

// isDoubtful reports whether the version that a report shows as loaded has to be checked, or loaded again, before it serves requests.
func (l *Loader) isDoubtful(r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doubt.concerns(r)
}

// isBad reports whether the loaded version that a report shows has to be loaded again.
func (l *Loader) isBad(r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doubt.concerns(r) && l.doubt.bad
}

// replaceDoubt sets the doubtful load, nil if there is none, and returns the previous one.
func (l *Loader) replaceDoubt(doubt *doubtfulLoad) *doubtfulLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.doubt
	l.doubt = doubt
	return previous
}

// recordBadChunk records that a staged chunk did not match after the order of the doubtful load, if there is one.
func (l *Loader) recordBadChunk() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.doubt != nil {
		l.doubt.bad = true
	}
}

// errBadLoad means that an upstream may have loaded chunks that did not match their digests.
var errBadLoad = errors.New("loader: staged chunks did not match after the load")

// confirmLoad reads the staged chunks back if the loaded target is doubtful. It returns nil if the load is not doubtful or all chunks match, and
// errBadLoad if the target has to be loaded again.
func (l *Loader) confirmLoad(ctx context.Context, target Target) error {
	report, _ := l.current()
	if !l.isDoubtful(report) {
		return nil
	}
	digests, err := l.weights.Manifest(ctx, target.Model, target.Version)
	if err != nil {
		return err
	}
	for chunk := 0; chunk < len(digests) && !l.isBad(report); chunk++ {
		data, err := l.engine.ReadStaged(ctx, target.Model, chunk)
		if err != nil {
			return err
		}
		if !chunkcache.MatchesDigest(data, digests[chunk]) {
			l.recordBadChunk()
		}
	}
	bad := l.isBad(report)
	l.log.Info("doubtful load checked", "model", target.Model, "version", target.Version, "born", report.StartedAtMillis, "bad", bad)
	if bad {
		return errBadLoad
	}
	l.replaceDoubt(nil)
	return nil
}
