// Package catalogsync keeps a fleet.State up to date from the store.
//
// Only some nodes watch the store. The others receive its changes over links from those nodes, and start to watch the store
// themselves when these updates stop.
package catalogsync

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const (
	// pollTimeout is the longest time that one poll waits for changes, and thus the longest time between two answers of the store.
	// The age at which another node takes over the watch has to be larger.
	pollTimeout = 600 * time.Millisecond
	// upstreamPollTimeout replaces pollTimeout for the list of upstreams. It is longer because calls are billed, and because the
	// polls of the other prefixes detect that the store is unreachable, or that it has changed while a poll of this prefix has no answer
	// because its connection has gone silent.
	upstreamPollTimeout = 3 * time.Second
	// changeBatchDelay is the delay before the next poll after changes in the list of upstreams, so that one call returns
	// several changes: calls are billed, and the list changes often while upstreams are replaced.
	changeBatchDelay = 120 * time.Millisecond
	// activeCheckInterval is the interval at which an inactive node checks whether it has to watch the store.
	activeCheckInterval = 50 * time.Millisecond
	// The backoff is twice minBackoff after the first failed call, and doubles with each further one up to maxBackoff. A retry is
	// delayed by 0.5 to 1.5 times the backoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// outageThreshold is the minimum length of an outage, from the first failed call to the next successful one, during which
	// announcements of upstreams may have expired because they could not be renewed.
	outageThreshold = 1500 * time.Millisecond
	// reannouncePeriod is the time after the store has recovered in which missing upstreams are kept, because they may still
	// announce themselves again.
	reannouncePeriod = 2200 * time.Millisecond
	// maxRemovalDelay is the longest time for which a removal that is read in the reannounce period is put off while the store answers. An
	// upstream that leaves serves requests for 2 s after its removal.
	maxRemovalDelay = 1800 * time.Millisecond
	// settledListingInterval is the time between listings while the store lists upstreams that may be left of its copy only.
	settledListingInterval = 1500 * time.Millisecond
)

// Document is a decoded document of the store. At most one of Config, Version, Evacuation and UpstreamID is set; none is set for a key that
// this node does not use.
type Document struct {
	Config *catalog.Config
	// Version is a version of a model's weights that the operator has named for use.
	Version *catalog.NamedVersion
	// Evacuation is set for the key of an evacuation, also if the key was deleted.
	Evacuation *Evacuation
	// UpstreamID is the ID of the upstream that the document describes. Upstream is nil if the document was deleted or cannot be
	// decoded.
	UpstreamID string
	Upstream   *catalog.Upstream
	// Unreadable names the parts of the document that were ignored because they cannot be read.
	Unreadable []string
}

// Prefix is a key prefix of the store that is synchronised as a unit.
type Prefix struct {
	Name string
	// HoldsUpstreams reports whether the documents under the prefix are the list of upstreams.
	HoldsUpstreams bool
}

// pollTimeout returns the longest time that a poll of the prefix waits for changes.
func (p Prefix) pollTimeout() time.Duration {
	if p.HoldsUpstreams {
		return upstreamPollTimeout
	}
	return pollTimeout
}

// Decoder decodes the documents of the store.
type Decoder interface {
	// Prefixes returns the key prefixes to synchronise.
	Prefixes() []Prefix
	// Decode returns the decoded document. value is empty if the document was deleted. When Decode returns an error, the
	// document cannot be decoded; UpstreamID is still set if it is the document of an upstream.
	Decode(key string, value []byte, deleted bool) (Document, error)
}

// Syncer applies the documents of the store and their changes to a fleet.State, with one goroutine per prefix.
type Syncer struct {
	lister  store.Lister
	decoder Decoder
	state   *fleet.State
	log     logr.Logger
	// isActive reports whether this node has to watch the store.
	isActive func() bool
	// assumedVersionAge is the age that is assumed for model versions at startedAt; see watcher.assumedNaming.
	assumedVersionAge time.Duration
	startedAt         time.Time
	// waitForPeers is the time after startedAt in which only a node that isActive selects lists the prefixes.
	waitForPeers time.Duration
	// dataCentres holds the names of all data centres, see WithDataCentres.
	dataCentres []string
	// readDelay returns how long an answer that is read now may have lain unread; see WithReadDelay.
	readDelay func() time.Duration
	// readCheckpoints reads the checkpoints of the operator's documents; see WithCheckpoints. It may be nil.
	readCheckpoints CheckpointReader

	// mu guards the fields below: the freshness of each prefix, the latest point of the store's history that an answer has stated, and when a
	// call last failed.
	mu        sync.Mutex
	freshness map[string]freshness
	latest    store.Cursor
	failedAt  time.Time
}

// New returns a Syncer. isActive reports whether this node has to watch the store; it must be safe for concurrent use.
// assumedVersionAge is the age that model versions which were named before this call are assumed to have now, because the store does
// not say when they were named.
func New(
	lister store.Lister, decoder Decoder, state *fleet.State, log logr.Logger, isActive func() bool,
	assumedVersionAge time.Duration,
) *Syncer {
	return &Syncer{lister: lister, decoder: decoder, state: state, log: log, isActive: isActive, assumedVersionAge: assumedVersionAge,
		startedAt: time.Now(), freshness: map[string]freshness{}, readDelay: func() time.Duration { return 0 }}
}

// WithReadDelay sets the function that returns how long an answer of the store that is read now may have lain unread, see package stall, and
// returns the Syncer. It has to be called before Run.
func (s *Syncer) WithReadDelay(delay func() time.Duration) *Syncer {
	s.readDelay = delay
	return s
}

// WaitForPeers sets the time after the start in which the Syncer lists the prefixes only while isActive returns true, and returns the Syncer.
// After it, a node lists them only if it has not got all records from its peers. It has to be called before Run.
func (s *Syncer) WaitForPeers(wait time.Duration) *Syncer {
	s.waitForPeers = wait
	return s
}

// CheckpointReader reads the checkpoints of the operator's documents from the store. It returns a function that merges them into the state and
// assumes that versions were named at namedAt.
type CheckpointReader func(ctx context.Context) (merge func(namedAt time.Time), err error)

// WithCheckpoints sets the function that reads the checkpoints, and returns the Syncer. It is called with each listing of a prefix that does
// not hold upstreams: the store may hold a document that is older than one that was in force, and a node that lists it may have missed
// the newer one. A listing fails if the checkpoints cannot be read. It has to be called before Run.
func (s *Syncer) WithCheckpoints(read CheckpointReader) *Syncer {
	s.readCheckpoints = read
	return s
}

// Run keeps the state up to date until ctx ends. On every node it lists each prefix until one listing has succeeded, unless WaitForPeers
// was called. After that it calls the store only while isActive returns true.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, prefix := range s.decoder.Prefixes() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w := &watcher{Syncer: s, prefix: prefix}
			w.run(ctx)
		}()
	}
	wg.Wait()
}
