package store

import (
	"sync"

	"github.com/pimentohead/pimentohead/internal/platform/store/etcdjson"
)

// RestorationCounter is implemented by a Store that notices when the service was restored from an earlier copy of its content. Keys and
// leases that were acknowledged after that copy may then be missing, and revisions may have been given out again.
type RestorationCounter interface {
	// Restorations returns the number of restorations that were noticed since the Store was created.
	Restorations() uint64
}

// Restorations returns the number of restorations that s has noticed, 0 if it cannot notice any.
func Restorations(s Store) uint64 {
	if counter, ok := s.(RestorationCounter); ok {
		return counter.Restorations()
	}
	return 0
}

// restorationDetector compares the headers of responses. A response to a linearizable read or to a transaction that has a lower revision
// than one that had arrived before the call, or another cluster ID, shows that the service was restored. It cannot notice a restoration
// with the same cluster ID if the revision has passed the last known one by the next call.
type restorationDetector struct {
	// mu guards the fields below.
	mu           sync.Mutex
	restorations uint64
	// revision is the highest one since the last restoration, clusterID the last one.
	revision  int64
	clusterID uint64
}

// storePosition is what is known of the service before a call.
type storePosition struct {
	restorations uint64
	revision     int64
	clusterID    uint64
}

// position returns what is known of the service at present.
func (d *restorationDetector) position() storePosition {
	d.mu.Lock()
	defer d.mu.Unlock()
	return storePosition{restorations: d.restorations, revision: d.revision, clusterID: d.clusterID}
}

// observe records the header of a response to a call that was sent when before was known, and reports whether it shows a restoration. It
// ignores a response if another one has shown a restoration since the call was sent.
func (d *restorationDetector) observe(before storePosition, header etcdjson.Header) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before.restorations != d.restorations {
		return false
	}
	otherCluster := before.clusterID != 0 && header.ClusterID != 0 && header.ClusterID != before.clusterID
	if otherCluster || header.Revision < before.revision {
		d.restorations++
		d.revision, d.clusterID = header.Revision, header.ClusterID
		return true
	}
	d.revision = max(d.revision, header.Revision)
	if header.ClusterID != 0 {
		d.clusterID = header.ClusterID
	}
	return false
}
