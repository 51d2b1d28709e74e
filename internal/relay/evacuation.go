package relay

import (
	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// evacuated is the reason for which a request is refused while all upstreams that could take it are in evacuated data centres.
const evacuated placement.Reason = "evacuated"

// errEvacuated is the cause of an attempt that was not sent because the data centre of its upstream has been evacuated meanwhile.
var errEvacuated = errors.New("relay: data centre of the upstream is evacuated")

// isEvacuated reports whether the data centre of an upstream, which may have been selected long ago, is evacuated now. The process at its address
// may have announced another data centre since.
func (x *exchange) isEvacuated(u *catalog.Upstream) bool {
	snapshot := x.relay.cfg.State.Snapshot()
	listed := snapshot.ByAddress(u.Address)
	return snapshot.Evacuated(u.DataCentre) || listed != nil && snapshot.Evacuated(listed.DataCentre)
}
