// Package store is the client of the platform's key-value service, which offers compare-and-swap, leases and watches.
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
	// ErrUnavailable means that the call had no effect: it was not sent, or the service refused it.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrAmbiguous means that a write may or may not have taken effect. The caller has to read back.
	ErrAmbiguous = errors.New("store: outcome unknown")
	// ErrBudgetExhausted means that the call was not sent because it would exceed the process's call budget. It is marked ErrUnavailable too.
	ErrBudgetExhausted = errors.New("store: call budget exhausted")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
	// ErrLeaseNotFound means that a lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("store: lease not found")
	// ErrCompacted means that a watch started at a revision that is no longer available.
	ErrCompacted = errors.New("store: watch revision compacted")
)

// LeaseID names a lease; 0 is no lease.
type LeaseID int64

// KV is a key with its value and revisions.
type KV struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// Compare is a condition on one key. A key that does not exist has revision 0.
type Compare struct {
	Key    string
	Target CompareTarget
	// Revision is compared for equality.
	Revision int64
}

// CompareTarget selects what Compare looks at.
type CompareTarget string

// Targets of Compare.
const (
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

// Get reads a key, or up to Limit keys with a prefix when Prefix is set.
type Get struct {
	Key    string
	Prefix bool
	Limit  int64
}

// Delete removes a key.
type Delete struct {
	Key string
}

// Txn runs Then when all conditions hold, else Else, atomically.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

// TxnResult is the result of a transaction. Results has one element per operation of the branch that ran.
type TxnResult struct {
	Succeeded bool
	// Revision is the store's revision after the transaction.
	Revision int64
	Results  []OpResult
}

// OpResult is the result of one operation. Txn is set for nested transactions, KVs for Get.
type OpResult struct {
	KVs []KV
	Txn *TxnResult
}

// Event is one change seen by a watch.
type Event struct {
	KV      KV
	Deleted bool
}

// Store is the key-value service. Every method counts against the service's limits; a waiting watch counts as one call.
type Store interface {
	// Get reads one key. It returns ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (KV, error)
	// Txn runs a transaction. It returns ErrUnavailable when it had no effect, and ErrAmbiguous when that is not known.
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease. It returns ErrUnavailable or ErrAmbiguous.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns the new time to live. It returns ErrLeaseNotFound or ErrUnavailable.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch delivers the changes of one key from revision on until ctx ends or the watch fails, and returns the cause.
	// ErrCompacted means that the caller has to read the key and watch from its revision.
	Watch(ctx context.Context, key string, revision int64, deliver func(Event)) error
}

// Listing is the content of a prefix at one revision or a little later.
type Listing struct {
	KVs []KV
	// Revision is one from which a watch misses nothing that the listing lacks.
	Revision int64
}

// Lister reads whole prefixes. A Store may implement it.
type Lister interface {
	// List reads all keys with a prefix. It returns ErrUnavailable.
	List(ctx context.Context, prefix string) (Listing, error)
	// Poll waits up to wait for changes after a revision and returns them with the revision to continue from. It returns
	// ErrCompacted or ErrUnavailable.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
}
