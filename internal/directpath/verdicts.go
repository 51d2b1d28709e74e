package directpath

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/mesh"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/poison"
)

const (
	// verdictsPrefix is the key prefix under which verdicts on requests that crash upstreams are stored.
	verdictsPrefix = rootPrefix + "poison/"
	// verdictCheckInterval is the time between checks for verdicts that are not stored yet.
	verdictCheckInterval = time.Second
)

// storedVerdict is the value of a verdict in the store.
type storedVerdict struct {
	Subjects []string `json:"subjects"`
}

// verdictWriter stores verdicts on requests that crash upstreams, so that they outlive a restart of all entries. Entries tell each other
// the evidence itself over links. Each verdict is written by the entry that ranks first for it; writing it twice does no harm.
type verdictWriter struct {
	store  store.Store
	mesh   *mesh.Mesh
	ledger *poison.Ledger
	log    logr.Logger
}

// run stores verdicts until ctx ends.
func (w *verdictWriter) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, verdictCheckInterval)
		if !w.ledger.Active() {
			continue
		}
		for _, v := range w.ledger.Verdicts() {
			if w.ledger.IsStored(v) || !w.mesh.RanksFirst(v.Key()) {
				continue
			}
			if err := w.put(ctx, v); err != nil {
				w.log.Info("verdict could not be stored, will retry", "subjects", v.Key(), "cause", err.Error())
				continue
			}
			w.log.Info("verdict stored", "subjects", v.Key())
			w.ledger.Merge(&message.CrashEvidence{Verdicts: []message.PoisonVerdict{{Subjects: v.Subjects}}})
		}
	}
}

// put writes a verdict under a lease of poison.Retention.
func (w *verdictWriter) put(ctx context.Context, v poison.Verdict) error {
	value, err := json.Marshal(storedVerdict{Subjects: v.Subjects})
	if err != nil {
		return errors.Wrap(err, "directpath: encode verdict")
	}
	lease, err := w.store.Grant(ctx, poison.Retention)
	if err != nil {
		return err
	}
	hash := sha256.Sum256([]byte(v.Key()))
	put := store.Op{Put: &store.Put{Key: verdictsPrefix + hex.EncodeToString(hash[:8]), Value: value, Lease: lease}}
	_, err = w.store.Txn(ctx, store.Txn{Then: []store.Op{put}})
	return err
}

// readVerdict merges a stored verdict into the ledger. A value that cannot be decoded is logged and skipped.
func readVerdict(ledger *poison.Ledger, log logr.Logger, kv store.KV) {
	var v storedVerdict
	if err := json.Unmarshal(kv.Value, &v); err != nil {
		log.Info("stored verdict cannot be read", "key", kv.Key, "cause", err.Error())
		return
	}
	ledger.Merge(&message.CrashEvidence{Verdicts: []message.PoisonVerdict{{Subjects: v.Subjects}}})
}
