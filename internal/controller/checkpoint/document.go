// Package checkpoint keeps copies of the operator's newest documents in the store, under keys of the system's own.
//
// The operator's own keys do not suffice to find the newest document after a restart of all nodes: a write that got no response may be
// carried out after a newer one was acknowledged, and a store that is restored from an earlier copy loses the newest writes. Running nodes
// reject older documents by the operator's numbers, which only rise. Checkpoints are read with the operator's keys, and the higher number counts.
//
// Invariant: the number of a checkpoint never falls within an era of the store, even if a write of a checkpoint is carried out late. Each write
// is conditional on the key not having changed since it was found to hold a lower number.
package checkpoint

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// Keys of checkpoints, after the prefix that the caller names.
const (
	configKey = "config"
	// versionKeyPrefix is followed by the name of the model.
	versionKeyPrefix = "version/"
)

// ErrMalformed means that a checkpoint cannot be decoded.
var ErrMalformed = errors.New("checkpoint: malformed")

// document is an operator's document of which a checkpoint is kept. Exactly one of config, version and evacuation is set.
type document struct {
	// key is the key of the checkpoint in the store.
	key        string
	config     *catalog.Config
	version    *catalog.NamedVersion
	evacuation *fleet.EvacuationRecord
}

// number returns the number by which documents of one key are ordered: the operator's or, of an evacuation, one that rises with the history of the
// store.
func (d document) number() int64 {
	switch {
	case d.config != nil:
		return d.config.Version
	case d.evacuation != nil:
		return d.evacuation.Number()
	default:
		return d.version.Version
	}
}

// storedVersion is the value of the checkpoint of a model's version.
type storedVersion struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
}

// encode returns the value of the checkpoint.
func (d document) encode() ([]byte, error) {
	switch {
	case d.config != nil:
		return message.PackConfig(d.config)
	case d.evacuation != nil:
		return encodeEvacuation(*d.evacuation)
	}
	value, err := json.Marshal(storedVersion(*d.version))
	return value, errors.Wrap(err, "checkpoint: encode version")
}

// decode decodes a checkpoint. It returns ErrMalformed if the key or the value is not that of a checkpoint.
func decode(prefix string, kv store.KV) (document, error) {
	d := document{key: kv.Key}
	name := strings.TrimPrefix(kv.Key, prefix)
	dataCentre, isEvacuation := isEvacuationKey(name)
	switch {
	case name == configKey:
		config, err := message.UnpackConfig(kv.Value)
		if err != nil {
			return d, errors.Mark(err, ErrMalformed)
		}
		d.config = config
	case isEvacuation:
		r, err := decodeEvacuation(dataCentre, kv)
		if err != nil {
			return d, err
		}
		d.evacuation = &r
	case strings.HasPrefix(name, versionKeyPrefix):
		var v storedVersion
		if err := json.Unmarshal(kv.Value, &v); err != nil {
			return d, errors.Mark(errors.Wrap(err, "checkpoint: decode version"), ErrMalformed)
		}
		if v.Model != strings.TrimPrefix(name, versionKeyPrefix) {
			return d, errors.Wrapf(ErrMalformed, "version of another model, %q", v.Model)
		}
		version := catalog.NamedVersion(v)
		d.version = &version
	default:
		return d, errors.Wrapf(ErrMalformed, "unknown key %q", kv.Key)
	}
	if d.number() <= 0 {
		return d, errors.Wrapf(ErrMalformed, "number %d", d.number())
	}
	return d, nil
}

// newestDocuments returns the newest documents in a state, the configuration last: the others are small, and the sooner they are stored the better.
func newestDocuments(prefix string, state *fleet.State) []document {
	snap := state.Snapshot()
	out := evacuationDocuments(prefix, state)
	for _, v := range snap.NewestVersions() {
		out = append(out, document{key: prefix + versionKeyPrefix + v.Model, version: &v.NamedVersion})
	}
	if snap.Index != nil {
		out = append(out, document{key: prefix + configKey, config: snap.Index.Config})
	}
	return out
}

// record records in a state that the document is stored as a checkpoint in an era of the store.
func (d document) record(state *fleet.State, era int64) {
	state.ApplyCheckpoint(fleet.CheckpointRecord{Key: d.key, Number: d.number(), Era: era})
}

// merge merges the document of a stored checkpoint into a state. A version that is newer than those in the state is assumed to have been named at
// namedAt.
func (d document) merge(state *fleet.State, log logr.Logger, kv store.KV, namedAt time.Time) {
	switch {
	case d.config != nil:
		if state.ApplyConfig(d.config, kv.ModRevision) {
			fleet.LogConfig(log, d.config, kv.ModRevision, "checkpoint")
		}
	case d.evacuation != nil:
		state.ApplyEvacuation(*d.evacuation).Log(log)
	case d.version != nil:
		if newest, ok := state.Snapshot().NewestVersion(d.version.Model); ok && newest.Version >= d.version.Version {
			return
		}
		state.ApplyVersion(fleet.VersionRecord{NamedVersion: *d.version, Revision: kv.ModRevision, NamedAt: namedAt, AgeAssumed: true})
		log.Info("model version named", "model", d.version.Model, "version", d.version.Version,
			"age_ms", time.Since(namedAt).Milliseconds(), "age_assumed", true, "from", "checkpoint", "era", kv.Era, "revision", kv.ModRevision)
	}
}
