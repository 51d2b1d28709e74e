// Package store defines the interface Store to the platform's key-value service, which offers compare-and-swap, leases and watches, and
// implements it with Client, which uses the etcd v3 JSON gateway. platform.Store is another implementation, for another protocol.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Errors of a Store. All are matched with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrUnavailable means that the call failed. A write had no effect: it was not sent, or the service refused it. A read or the renewal
	// of a lease may have been carried out; repeating it is safe.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrAmbiguous means that a write may or may not have taken effect. The caller has to read the key to find out.
	ErrAmbiguous = errors.New("store: outcome unknown")
	// ErrBudgetExhausted means that the call was not sent because it would exceed the process's call budget. Such an error is marked
	// ErrUnavailable too.
	ErrBudgetExhausted = errors.New("store: call budget exhausted")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
	// ErrLeaseNotFound means that a lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("store: lease not found")
	// ErrCompacted means that a watch started at a revision that is no longer available, or that the service does not have yet because it
	// was restored from an earlier copy.
	ErrCompacted = errors.New("store: watch revision compacted")
	// ErrRestored means that the store was restored from an earlier copy of itself, so that revisions obtained before have no meaning.
	ErrRestored = errors.New("store: restored from an earlier copy")
)

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// KV is a key with its value and revisions.
type KV struct {
	Key   string
	Value []byte
	// CreateRevision and ModRevision are the store's revisions at the creation and at the last change of the key.
	CreateRevision int64
	ModRevision    int64
	// Lease is the lease whose end deletes the key, 0 if none.
	Lease LeaseID
	// Era is the era of the store in which the key was read; see Cursor.
	Era int64
}

// Compare is a condition on one key. A key that does not exist has revision 0.
type Compare struct {
	Key    string
	Target CompareTarget
	// Revision is compared for equality.
	Revision int64
}

// CompareTarget is the revision of a key that a Compare examines.
type CompareTarget string

// Targets of Compare.
const (
	// CompareMod compares ModRevision, CompareCreate compares CreateRevision.
	CompareMod    CompareTarget = "MOD"
	CompareCreate CompareTarget = "CREATE"
)

// Op is one operation of a transaction. Exactly one field is set.
type Op struct {
	Put    *Put
	Get    *Get
	Delete *Delete
	// Txn is a nested transaction with its own conditions.
	Txn *Txn
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Get reads a key. If Prefix is set, it reads up to Limit keys that start with Key; a Limit of 0 means all.
type Get struct {
	Key    string
	Prefix bool
	Limit  int64
}

// Delete removes a key.
type Delete struct {
	Key string
}

// Txn is an atomic transaction: it runs Then if all conditions in If hold, and Else otherwise.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Succeeded is set when all conditions held.
	Succeeded bool
	// Revision is the store's revision after the transaction.
	Revision int64
	// Results has one element per operation of the branch that ran.
	Results []OpResult
}

// OpResult is the result of one operation. KVs is set for a Get, Txn for a nested transaction.
type OpResult struct {
	KVs []KV
	Txn *TxnResult
}

// Event is one change of a key.
type Event struct {
	KV KV
	// Deleted is set when the key was deleted.
	Deleted bool
}

// Store is the key-value service. Every method counts against the service's limits; a waiting watch counts as one call.
type Store interface {
	// Get reads one key. It returns ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (KV, error)
	// Txn runs a transaction. It returns ErrAmbiguous if the transaction may have taken effect. With any other error it had no effect:
	// ErrTooLarge for a value over MaxValueBytes, ErrLeaseNotFound for a Put with a lease that does not exist, otherwise ErrUnavailable
	// or, from a Client, ErrRejected.
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease. It returns ErrUnavailable or ErrAmbiguous.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns the new time to live. It returns ErrLeaseNotFound or ErrUnavailable.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes the keys bound to it. It returns ErrUnavailable or ErrAmbiguous. For a lease that has already ended
	// it returns nil or ErrLeaseNotFound, depending on the implementation.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch calls deliver with each change of one key, starting with changes at revision. It returns when ctx ends or the watch fails,
	// with the cause as the error. On ErrCompacted the caller has to read the key again and watch from its revision.
	Watch(ctx context.Context, key string, revision int64, deliver func(Event)) error
}

// Listing holds the keys with a prefix.
type Listing struct {
	KVs []KV
	// Cursor is where to continue with polls. The listing may contain some later changes, but it lacks no earlier ones, so that polls from
	// Cursor miss nothing.
	Cursor Cursor
	// HasUnreadable is set if items without a readable key or revision are not part of KVs.
	HasUnreadable bool
}

// Cursor is a point in the history of the store. Revisions are comparable only within one era: each time the store is restored from an
// earlier copy of itself, its era rises by one and revisions that were given out after the copy are given out again. The era is 0 at a
// store that states none.
type Cursor struct {
	Era, Revision int64
}

// Lister reads all keys with a prefix and their changes. A Store may implement it.
type Lister interface {
	// List reads all keys with a prefix. It returns ErrUnavailable if it cannot read all of them.
	List(ctx context.Context, prefix string) (Listing, error)
	// Poll returns the changes after a cursor, and the cursor to pass to the next Poll. If there are none yet, it waits for up to wait. It
	// returns ErrCompacted, ErrRestored if the era of the cursor is over, or ErrUnavailable.
	Poll(ctx context.Context, prefix string, after Cursor, wait time.Duration) ([]Event, Cursor, error)
}
