package loader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
)

// Staged chunks can turn bad at any time, and an upstream loads them unchecked. So a load is ordered soon after all chunks were verified, and a load of
// which it is not known what the upstream took is checked afterwards: staged chunks do not mend by themselves, so chunks that match after the
// load, and were not staged again meanwhile, matched at the load too.

const (
	// maxVerificationAge bounds the age of the oldest verification of a chunk when a load is ordered, unless the upstream takes longer to read all
	// chunks back, which usually takes about 40 ms.
	maxVerificationAge = 700 * time.Millisecond
	// maxVerificationPasses bounds the passes in a row that find chunks that have turned bad.
	maxVerificationPasses = 4
	// maxAgeAtLoad is the age of the oldest verification up to which a load needs no check afterwards.
	maxAgeAtLoad = 2500 * time.Millisecond
)

// verification records when the staged chunks were last found to match the digests of a manifest. It is safe for concurrent use.
type verification struct {
	mu      sync.Mutex
	digests []string
	// at holds by chunk when its bytes were last known to match, zero if never.
	at []time.Time
	// restaged counts the chunks that were staged.
	restaged int
}

// begin starts a pass over the chunks of a manifest. Records of another manifest are dropped.
func (v *verification) begin(digests []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Equal(v.digests, digests) {
		v.digests, v.at = digests, make([]time.Time, len(digests))
	}
}

// record records that a chunk matched its digest at the given time.
func (v *verification) record(chunk int, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.at[chunk] = at
}

// recordStaged records that a chunk is staged by a call that began at the given time.
func (v *verification) recordStaged(chunk int, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.at[chunk], v.restaged = at, v.restaged+1
}

// restagedChunks returns how many chunks were staged.
func (v *verification) restagedChunks() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.restaged
}

// oldest returns the time of the oldest verification, the zero time if a chunk has none.
func (v *verification) oldest() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.at) == 0 {
		return time.Time{}
	}
	return slices.MinFunc(v.at, time.Time.Compare)
}

// age returns how long ago the oldest verification was.
func (v *verification) age(now time.Time) time.Duration { return now.Sub(v.oldest()) }

// errNotVerified means that staged chunks have to be verified again before a load is ordered.
var errNotVerified = errors.New("loader: load not ordered because the verification of the staged chunks is too old")

// stage makes sure that all chunks are staged at the upstream, and records their verification. Chunks that are staged already are read back, and staged
// again only if they do not match their digests.
func (l *Loader) stage(ctx context.Context, target Target, verified *verification) error {
	digests, err := l.weights.Manifest(ctx, target.Model, target.Version)
	if err != nil {
		return err
	}
	verified.begin(digests)
	c := &collector{weights: l.weights, target: target, link: &l.link,
		isStored: func(ctx context.Context, chunk int) bool {
			readAt := time.Now()
			if !l.isStaged(ctx, target, chunk, digests[chunk]) {
				return false
			}
			verified.record(chunk, readAt)
			return true
		},
		store: func(ctx context.Context, chunk int, data []byte) error {
			sentAt := time.Now()
			if err := l.storeChunk(ctx, target.Model, chunk, data); err != nil {
				return err
			}
			verified.recordStaged(chunk, sentAt)
			return nil
		},
	}
	return c.run(ctx, len(digests))
}

// verifyAgain reads the staged chunks back unless all of them were verified within maxVerificationAge, and stages those again that do not match. As
// that makes the verifications of the others older, it then reads them back once more.
func (l *Loader) verifyAgain(ctx context.Context, target Target, verified *verification) error {
	for range maxVerificationPasses {
		if verified.age(time.Now()) <= maxVerificationAge {
			return nil
		}
		restagedBefore, started := verified.restagedChunks(), time.Now()
		if err := l.stage(ctx, target, verified); err != nil {
			return err
		}
		restaged := verified.restagedChunks() - restagedBefore
		if restaged == 0 {
			return nil // Another pass would take as long.
		}
		l.log.Info("staged chunks had turned bad", "model", target.Model, "version", target.Version, "restaged", restaged,
			"took_ms", time.Since(started).Milliseconds())
	}
	return nil
}

// isStaged reads a staged chunk back and reports whether it matches its digest.
func (l *Loader) isStaged(ctx context.Context, target Target, chunk int, digest string) bool {
	data, err := l.engine.ReadStaged(ctx, target.Model, chunk)
	return err == nil && data != nil && chunkcache.MatchesDigest(data, digest)
}
