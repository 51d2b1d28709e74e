// Package confsync keeps the newest fleet configuration in force on a node.
//
// Two entries per data centre watch the store. All other nodes learn a new revision from heartbeats and fetch it from the
// peer that reported it, as a delta when possible.
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
	Send(ctx context.Context, m message.Message) error
	Peer() message.Hello
	Done() <-chan struct{}
}

// Config holds the parameters of a Syncer. The zero value of an optional field selects its default.
type Config struct {
	// NodeID is this node's ID. Required on an entry.
	NodeID string
	// Holder receives the configurations. Required.
	Holder *config.Holder
	// Store is the key-value service. Required on an entry, nil on an agent.
	Store store.Store
	// LiveEntries returns the IDs of the other live entries of this data centre. Required on an entry.
	LiveEntries func() []string
	// Announce sends the new revision on all links at once. It must not block. Optional.
	Announce func()
	Log      logr.Logger
	// ReplyTimeout is how long a peer may take to answer before another one is asked. Default 500 ms.
	ReplyTimeout time.Duration
	// WatcherPollInterval is the time between reads of the store on an entry that watches it. Default 5 s.
	WatcherPollInterval time.Duration
	// SlowPollInterval is the mean time between reads of the store on the other entries. Default 60 s.
	SlowPollInterval time.Duration
	// SubmitTimeout bounds a submission including its retries. Default 5 s.
	SubmitTimeout time.Duration
}

// Defaults and bounds.
const (
	defaultReplyTimeout = 500 * time.Millisecond
	// defaultWatcherPoll bounds the delay after a watch that went silent. Twelve watchers make 2.4 reads a second.
	defaultWatcherPoll   = 5 * time.Second
	defaultSlowPoll      = 60 * time.Second
	defaultSubmitTimeout = 5 * time.Second
	// sendTimeout bounds how long a full send ring of one peer delays the others.
	sendTimeout = 100 * time.Millisecond
	// storeCallTimeout bounds one call, so that a silent store connection does not hold a duty.
	storeCallTimeout = 2 * time.Second
	requestRing      = 256
	replyRing        = 16
	// recentRevisions is the number of earlier documents that are kept as bases of deltas, at most 512 KiB each.
	recentRevisions = 8
)

func (c Config) withDefaults() Config {
	setDefault(&c.ReplyTimeout, defaultReplyTimeout)
	setDefault(&c.WatcherPollInterval, defaultWatcherPoll)
	setDefault(&c.SlowPollInterval, defaultSlowPoll)
	setDefault(&c.SubmitTimeout, defaultSubmitTimeout)
	if c.Announce == nil {
		c.Announce = func() {}
	}
	if c.LiveEntries == nil {
		c.LiveEntries = func() []string { return nil }
	}
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

// source tells where an envelope came from.
type source string

const (
	fromStore source = "store"
	fromPeer  source = "peer"
)

// Syncer keeps a config.Holder up to date. Its Handle methods never block and may be called from link read loops.
type Syncer struct {
	cfg      Config
	fetch    *fetcher
	requests chan request
	// seen is the mod revision of the stored value that was looked at last, 0 for none.
	seen atomic.Int64

	submissions submissionLease

	// applyMu orders changes of the holder.
	applyMu sync.Mutex
	// recentMu guards recent, the last documents in force, oldest first.
	recentMu sync.Mutex
	recent   []config.Envelope
}

// New returns a Syncer. Nothing happens until Run.
func New(cfg Config) *Syncer {
	s := &Syncer{cfg: cfg.withDefaults(), requests: make(chan request, requestRing)}
	s.fetch = newFetcher(s)
	return s
}

// Run performs the duties of the Syncer until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.fetch.run(ctx); return nil })
	group.Go(func() error { s.serve(ctx); return nil })
	if s.cfg.Store != nil {
		group.Go(func() error { s.followStore(ctx); return nil })
	}
	return group.Wait()
}

// Current returns the configuration in force, or nil.
func (s *Syncer) Current() *config.Active { return s.cfg.Holder.Current() }

// Subscribe is that of the holder.
func (s *Syncer) Subscribe() (<-chan struct{}, func()) { return s.cfg.Holder.Subscribe() }

// apply puts an envelope in force when it is newer. It returns an error only for an envelope that this node cannot use.
func (s *Syncer) apply(e config.Envelope, from source) error {
	changed, err := s.tryApply(e, from)
	if changed {
		s.cfg.Log.Info("configuration in force", "revision", e.Revision, "digest", e.Digest, "author", e.Author, "from", from)
		s.cfg.Announce()
	}
	return err
}

func (s *Syncer) tryApply(e config.Envelope, from source) (changed bool, err error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	replace := false
	if current := s.Current(); current != nil {
		have := current.Envelope
		if e.Revision < have.Revision || (e.Revision == have.Revision && e.Digest == have.Digest) {
			if e.Revision < have.Revision {
				telemetry.Debug(s.cfg.Log).Info("older configuration ignored", "revision", e.Revision, "have", have.Revision, "from", from)
			}
			return false, nil
		}
		if e.Revision == have.Revision {
			s.cfg.Log.Error(errDigestConflict, "two documents have the same revision", "revision", e.Revision,
				"have", have.Digest, "got", e.Digest, "from", from)
			if from != fromStore {
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
	s.remember(e)
	return true, nil
}

var errDigestConflict = errors.New("confsync: same revision with another digest")

// remember keeps e as a base of deltas.
func (s *Syncer) remember(e config.Envelope) {
	s.recentMu.Lock()
	defer s.recentMu.Unlock()
	s.recent = append(s.recent, e)
	if len(s.recent) > recentRevisions {
		s.recent = append([]config.Envelope(nil), s.recent[len(s.recent)-recentRevisions:]...)
	}
}

// recalled returns the remembered envelope for which match is true, newest first.
func (s *Syncer) recalled(match func(config.Envelope) bool) (config.Envelope, bool) {
	s.recentMu.Lock()
	defer s.recentMu.Unlock()
	for i := len(s.recent) - 1; i >= 0; i-- {
		if match(s.recent[i]) {
			return s.recent[i], true
		}
	}
	return config.Envelope{}, false
}
