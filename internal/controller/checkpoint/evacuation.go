package checkpoint

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const (
	// evacuationKeyPrefix is followed by the name of the data centre.
	evacuationKeyPrefix = "evacuation/"
	// maxKeyBytes is the longest key that the store accepts. An evacuation whose checkpoint would have a longer one has none.
	maxKeyBytes = 200
	// sourceCheckpoint names checkpoints in log lines.
	sourceCheckpoint = "checkpoint"
)

// storedEvacuation is the value of the checkpoint of an evacuation, also of one that has ended; see fleet.EvacuationRecord. The end has no time: it
// would need clocks that agree.
type storedEvacuation struct {
	DataCentre string `json:"data_centre"`
	Active     bool   `json:"active"`
	Era        int64  `json:"era"`
	Revision   int64  `json:"revision"`
	Observed   bool   `json:"observed"`
	Written    int64  `json:"written"`
}

// encodeEvacuation returns the value of the checkpoint of an evacuation.
func encodeEvacuation(r fleet.EvacuationRecord) ([]byte, error) {
	value, err := json.Marshal(storedEvacuation{DataCentre: r.DataCentre, Active: r.Active, Era: r.Era, Revision: r.Revision,
		Observed: r.Observed, Written: r.Written})
	return value, errors.Wrap(err, "checkpoint: encode evacuation")
}

// decodeEvacuation decodes the checkpoint of the evacuation of a data centre.
func decodeEvacuation(dataCentre string, kv store.KV) (fleet.EvacuationRecord, error) {
	var v storedEvacuation
	if err := json.Unmarshal(kv.Value, &v); err != nil {
		return fleet.EvacuationRecord{}, errors.Mark(errors.Wrap(err, "checkpoint: decode evacuation"), ErrMalformed)
	}
	if v.DataCentre != dataCentre || dataCentre == "" {
		return fleet.EvacuationRecord{}, errors.Wrapf(ErrMalformed, "evacuation of another data centre, %q", v.DataCentre)
	}
	return fleet.EvacuationRecord{DataCentre: v.DataCentre, Active: v.Active, Era: v.Era, Revision: v.Revision, Observed: v.Observed,
		Written: v.Written, Source: sourceCheckpoint}, nil
}

// evacuationDocuments returns the records of evacuations in a state of which checkpoints can be kept.
func evacuationDocuments(prefix string, state *fleet.State) []document {
	var out []document
	for _, r := range state.Snapshot().Evacuations() {
		d := document{key: prefix + evacuationKeyPrefix + r.DataCentre, evacuation: &r}
		if d.number() > 0 && len(d.key) <= maxKeyBytes {
			out = append(out, d)
		}
	}
	return out
}

// isEvacuationKey reports whether a key, without the prefix of checkpoints, is that of an evacuation, and returns its data centre.
func isEvacuationKey(name string) (dataCentre string, ok bool) {
	return strings.CutPrefix(name, evacuationKeyPrefix)
}
