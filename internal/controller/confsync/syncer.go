// Package confsync keeps the configuration of a node up to date with the newest accepted revision.
//
// Two entries per data centre watch the store; the other entries read it at long intervals. All nodes also learn of new revisions
// from the heartbeats of their peers, and fetch them from a peer that reported them, as a delta if possible.
package confsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// Link is an open connection to another node. *link.Conn implements it.
type Link interface {
	// Send queues m. It waits while the send queue is full, until ctx ends.
	Send(ctx context.Context, m message.Message) error
	// Peer returns the identity of the peer.
	Peer() message.Hello
	// Done returns a channel that is closed when the link is closed.
	Done() <-chan struct{}
}

// Config holds the parameters of a Syncer. The zero value of an optional field selects its default.
type Config struct {
	// NodeID is this node's ID. Required with a Store.
	NodeID string
	// Holder holds the configuration in force, which the Syncer updates. Required.
	Holder *config.Holder
	// Store is the key-value service. If it is nil, as it always is on an agent, the configuration is received from peers only, and
	// Submit fails.
	Store store.Store
	// LiveEntries returns the IDs of the other live entries in this data centre. Required with a Store.
	LiveEntries func() []string
	// Announce sends the new revision on all links at once. It must not block. Optional.
	Announce func()
	Log      logr.Logger
	// ReplyTimeout is the time after which an unanswered request is repeated to another peer. Default 500 ms.
	ReplyTimeout time.Duration
	// WatcherPollInterval is the time between reads of the store on an entry that also watches it. Default 5 s.
	WatcherPollInterval time.Duration
	// SlowPollInterval is the mean time between reads of the store on the other entries. Default 60 s.
	SlowPollInterval time.Duration
	// SubmitTimeout bounds the duration of a submission including its retries. Default 5 s.
	SubmitTimeout time.Duration
}

// Defaults and limits.
const (
	defaultReplyTimeout = 500 * time.Millisecond
	// defaultWatcherPollInterval bounds how late a change is applied when the watch has stopped delivering events without an error.
	// With twelve watchers it causes 2.4 reads a second.
	defaultWatcherPollInterval = 5 * time.Second
	defaultSlowPollInterval    = 60 * time.Second
	defaultSubmitTimeout       = 5 * time.Second
	// sendTimeout bounds how long a peer whose send queue is full delays messages to other peers.
	sendTimeout = 100 * time.Millisecond
	// storeCallTimeout bounds one call to the store, so that a connection that has gone silent does not block a background task.
	storeCallTimeout = 2 * time.Second
	// requestQueueLength and replyQueueLength bound the queues of received requests and replies.
	requestQueueLength = 256
	replyQueueLength   = 16
	// recentRevisions is the number of latest documents that are kept as bases of deltas. A document has at most 512 KiB.
	recentRevisions = 8
)

// withDefaults returns c with the defaults of optional fields.
func (c Config) withDefaults() Config {
	setDefault(&c.ReplyTimeout, defaultReplyTimeout)
	setDefault(&c.WatcherPollInterval, defaultWatcherPollInterval)
	setDefault(&c.SlowPollInterval, defaultSlowPollInterval)
	setDefault(&c.SubmitTimeout, defaultSubmitTimeout)
	if c.Announce == nil {
		c.Announce = func() {}
	}
	if c.LiveEntries == nil {
		c.LiveEntries = func() []string { return nil }
	}
	return c
}

// setDefault sets a duration that is not positive to its default.
func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

// source says where an envelope was received from. It is a value in log lines.
type source string

const (
	sourceStore source = "store"
	sourcePeer  source = "peer"
)

// Syncer keeps a config.Holder up to date. Its Handle methods never block and may be called from link read loops.
type Syncer struct {
	cfg      Config
	fetcher  *fetcher
	requests chan request
	// lastRead describes the value that a read or the watch of the store returned last, nil if there was none.
	lastRead atomic.Pointer[lastRead]
	// replacedRevision is the last revision under which the store's document replaced another one, or 0.
	replacedRevision atomic.Uint64

	// submissionLease is the lease of new submission records.
	submissionLease submissionLease

	// applyMu serialises changes of the holder.
	applyMu sync.Mutex
	// recentMu guards recent, the latest documents that were put in force, oldest first.
	recentMu sync.Mutex
	recent   []config.Envelope
}

// lastRead describes a value that was read when the store had noticed a number of restorations.
type lastRead struct {
	storedVersion
	restorations uint64
}

// New returns a Syncer, which starts to work when Run is called.
func New(cfg Config) *Syncer {
	s := &Syncer{cfg: cfg.withDefaults(), requests: make(chan request, requestQueueLength)}
	s.fetcher = newFetcher(s)
	return s
}

// Run fetches from peers, answers their requests and, on a node with a store, follows the store until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.fetcher.run(ctx); return nil })
	group.Go(func() error { s.serveRequests(ctx); return nil })
	if s.cfg.Store != nil {
		group.Go(func() error { s.followStore(ctx); return nil })
	}
	return group.Wait()
}

// Current returns the configuration in force, or nil if there is none.
func (s *Syncer) Current() *config.Active { return s.cfg.Holder.Current() }

// Subscribe subscribes to changes of the configuration in force, as Holder.Subscribe does.
func (s *Syncer) Subscribe() (<-chan struct{}, func()) { return s.cfg.Holder.Subscribe() }

// apply puts an envelope in force if it is newer than the current one, and announces it. It returns an error only if this node
// cannot use the envelope.
func (s *Syncer) apply(e config.Envelope, from source) error {
	changed, err := s.tryApply(e, from)
	if changed {
		s.cfg.Announce()
	}
	return err
}

// tryApply puts an envelope in force if it is newer than the current one, and reports whether the configuration changed. If two
// documents have the same revision but different digests, the one from the store takes precedence.
func (s *Syncer) tryApply(e config.Envelope, from source) (changed bool, err error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	replace := false
	if current := s.Current(); current != nil {
		currentEnvelope := current.Envelope
		if e.Revision < currentEnvelope.Revision || (e.Revision == currentEnvelope.Revision && e.Digest == currentEnvelope.Digest) {
			if e.Revision < currentEnvelope.Revision {
				telemetry.Debug(s.cfg.Log).Info("older configuration ignored", "revision", e.Revision,
					"have", currentEnvelope.Revision, "from", from)
			}
			return false, nil
		}
		if e.Revision == currentEnvelope.Revision {
			s.cfg.Log.Error(errDigestConflict, "two documents have the same revision", "revision", e.Revision,
				"have", currentEnvelope.Digest, "got", e.Digest, "from", from)
			if from != sourceStore {
				return false, nil
			}
			replace = true
		}
	}
	active, err := config.NewActive(e)
	if err != nil {
		return false, err
	}
	if replace {
		err = s.cfg.Holder.Replace(active)
	} else {
		err = s.cfg.Holder.Apply(active)
	}
	if err != nil {
		return false, errors.Wrap(err, "confsync: apply")
	}
	if replace {
		s.replacedRevision.Store(e.Revision)
	}
	s.addRecent(e)
	// Logged with applyMu held, so that the log shows revisions in the order in which they are in force.
	s.cfg.Log.Info("configuration in force", "revision", e.Revision, "digest", e.Digest, "author", e.Author, "from", from)
	return true, nil
}

// errDigestConflict means that two documents have the same revision and different digests.
var errDigestConflict = errors.New("confsync: same revision with another digest")

// addRecent keeps e as a base of deltas and discards the oldest document beyond recentRevisions.
func (s *Syncer) addRecent(e config.Envelope) {
	s.recentMu.Lock()
	defer s.recentMu.Unlock()
	s.recent = append(s.recent, e)
	if len(s.recent) > recentRevisions {
		s.recent = append([]config.Envelope(nil), s.recent[len(s.recent)-recentRevisions:]...)
	}
}

// findRecent returns the newest recent envelope for which match returns true, and reports whether there is one.
func (s *Syncer) findRecent(match func(config.Envelope) bool) (config.Envelope, bool) {
	s.recentMu.Lock()
	defer s.recentMu.Unlock()
	for i := len(s.recent) - 1; i >= 0; i-- {
		if match(s.recent[i]) {
			return s.recent[i], true
		}
	}
	return config.Envelope{}, false
}
