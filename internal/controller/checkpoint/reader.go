package checkpoint

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// Reader reads the checkpoints of a store into a state.
type Reader struct {
	lister store.Lister
	prefix string
	state  *fleet.State
	log    logr.Logger
}

// NewReader returns a Reader of the checkpoints under a key prefix.
func NewReader(lister store.Lister, prefix string, state *fleet.State, log logr.Logger) *Reader {
	return &Reader{lister: lister, prefix: prefix, state: state, log: log}
}

// Read lists the checkpoints, records in the state that they are stored, and returns a function that merges them. It implements
// catalogsync.CheckpointReader. Read itself records them because the operator's documents are merged before the returned function is called: without
// the records, the Writer would store those documents again. It also merges evacuations at once: they have to be known before the configuration,
// with which the node may become ready, and after the operator's keys, which the caller has merged. Checkpoints that cannot be decoded are logged
// and skipped. Read returns ErrUnavailable if the listing is of an earlier era than the state knows, and the error of the store if it cannot be
// read.
func (r *Reader) Read(ctx context.Context) (merge func(namedAt time.Time), err error) {
	listing, err := r.lister.List(ctx, r.prefix)
	if err != nil {
		return nil, errors.Wrap(err, "checkpoint: list")
	}
	if known := r.state.Era(); listing.Cursor.Era < known {
		return nil, errors.Wrapf(store.ErrUnavailable, "checkpoint: listing of era %d of the store, %d is known", listing.Cursor.Era, known)
	}
	type stored struct {
		document
		kv store.KV
	}
	var checkpoints []stored
	for _, kv := range listing.KVs {
		d, err := decode(r.prefix, kv)
		if err != nil {
			r.log.Info("checkpoint cannot be read", "key", kv.Key, "revision", kv.ModRevision, "cause", err.Error())
			continue
		}
		d.record(r.state, kv.Era)
		if d.evacuation != nil {
			d.merge(r.state, r.log, kv, time.Time{})
			continue
		}
		checkpoints = append(checkpoints, stored{d, kv})
	}
	return func(namedAt time.Time) {
		for _, c := range checkpoints {
			c.merge(r.state, r.log, c.kv, namedAt)
		}
	}, nil
}
