package directpath

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/fleet"
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
	store  Store
	state  *fleet.State
	mesh   *mesh.Mesh
	ledger *poison.Ledger
	log    logr.Logger
}

// run stores verdicts until ctx ends. A verdict that is known to be stored in an earlier era of the store only is stored again: it may have been
// lost since in a restore of the store.
func (w *verdictWriter) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, verdictCheckInterval)
		if !w.ledger.Active() {
			continue
		}
		for _, v := range w.ledger.Verdicts() {
			if w.ledger.IsStored(v, w.state.Era()) || !w.mesh.RanksFirst(v.Key()) {
				continue
			}
			if err := w.put(ctx, v); err != nil {
				w.log.Info("verdict could not be stored, will retry", "subjects", v.Key(), "cause", err.Error())
			}
		}
	}
}

// put writes a verdict under a lease of poison.Retention and records the era of the store in which it is stored. The write needs no condition:
// the value follows from the key, so that a write that the store carries out late changes only the lease, to one that was granted shortly before.
func (w *verdictWriter) put(ctx context.Context, v poison.Verdict) error {
	value, err := json.Marshal(storedVerdict{Subjects: v.Subjects})
	if err != nil {
		return errors.Wrap(err, "directpath: encode verdict")
	}
	hash := sha256.Sum256([]byte(v.Key()))
	held, err := grantLease(ctx, w.store, w.state, poison.Retention)
	if err != nil {
		return err
	}
	key := verdictsPrefix + hex.EncodeToString(hash[:8])
	if _, err := w.store.Txn(ctx, store.Txn{Then: []store.Op{{Put: &store.Put{Key: key, Value: value, Lease: held.id}}}}); err != nil {
		return err
	}
	if err := held.check(w.store, w.state); err != nil {
		return err
	}
	w.log.Info("verdict stored", "subjects", v.Key(), "era", held.era, "again", w.ledger.IsStored(v, 0))
	w.ledger.Merge(&message.CrashEvidence{Verdicts: []message.PoisonVerdict{{Subjects: v.Subjects, Era: held.era}}})
	return nil
}

// readVerdict merges a stored verdict into the ledger. A value that cannot be decoded is logged and skipped.
func readVerdict(ledger *poison.Ledger, log logr.Logger, kv store.KV) {
	var v storedVerdict
	if err := json.Unmarshal(kv.Value, &v); err != nil {
		log.Info("stored verdict cannot be read", "key", kv.Key, "cause", err.Error())
		return
	}
	ledger.Merge(&message.CrashEvidence{Verdicts: []message.PoisonVerdict{{Subjects: v.Subjects, Era: kv.Era}}})
}
