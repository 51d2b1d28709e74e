// Package catalogsync keeps a fleet.State up to date from the store.
//
// Only some nodes watch the store; the others learn from them over links and start to watch themselves when that stops.
package catalogsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const (
	// pollWait is how long one poll waits for changes. It bounds the time in which a silent connection goes unnoticed; the other
	// data centres watch too and pass on what they see.
	pollWait = 3 * time.Second
	// changePause is the pause after changes of the list of upstreams, so that several changes come in one call: calls are priced, and
	// the list changes often when upstreams are replaced.
	changePause = 120 * time.Millisecond
	// idlePause is the time between looks at whether this node should watch.
	idlePause = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// outage is the time without a successful call after which announcements may have lapsed with the store.
	outage = 1500 * time.Millisecond
	// lapseHold is the time after the store's return in which upstreams that are missing may still announce themselves again.
	lapseHold = 2200 * time.Millisecond
)

// Document is the meaning of one document in the store. One of Config, Version and UpstreamID is set.
type Document struct {
	Config  *catalog.Config
	Version *catalog.NamedVersion
	// UpstreamID names the upstream; Upstream is nil if its document names none that can be used.
	UpstreamID string
	Upstream   *catalog.Upstream
}

// Prefix is a part of the store.
type Prefix struct {
	Name string
	// HoldsUpstreams tells that the prefix is the list of upstreams.
	HoldsUpstreams bool
}

// Decoder gives the documents of the store their meaning.
type Decoder interface {
	Prefixes() []Prefix
	// Decode returns the fact of a document. A deleted document has no value. An error means that the document cannot be read;
	// the fact then still has the UpstreamID if the document is an upstream's.
	Decode(key string, value []byte, deleted bool) (Document, error)
}

// Syncer runs one loop for each prefix.
type Syncer struct {
	lister    store.Lister
	documents Decoder
	state     *fleet.State
	log       logr.Logger
	// active tells whether this node should watch.
	active func() bool
	// unknownSince is the assumed age of a version that was named before this node could see it.
	unknownAge time.Duration

	// mu guards fresh.
	mu    sync.Mutex
	fresh map[string]time.Time
}

// New returns a Syncer. active must be safe for concurrent use. unknownAge is the assumed age of versions found by a listing.
func New(lister store.Lister, documents Decoder, state *fleet.State, log logr.Logger, active func() bool, unknownAge time.Duration) *Syncer {
	return &Syncer{lister: lister, documents: documents, state: state, log: log, active: active, unknownAge: unknownAge,
		fresh: map[string]time.Time{}}
}

// Run watches until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, prefix := range s.documents.Prefixes() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w := &watcher{Syncer: s, prefix: prefix}
			w.run(ctx)
		}()
	}
	wg.Wait()
}

// markFresh records that everything under a prefix is known as of now.
func (s *Syncer) markFresh(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh[prefix] = time.Now()
	oldest := time.Now()
	for _, p := range s.documents.Prefixes() {
		if at := s.fresh[p.Name]; at.Before(oldest) {
			oldest = at
		}
	}
	if !oldest.IsZero() {
		s.state.MarkUpToDate(oldest)
	}
}

// watcher keeps one prefix up to date.
type watcher struct {
	*Syncer
	prefix Prefix
	// revision is that up to which changes are known, 0 if a listing is needed.
	revision int64
	// first is set once a listing has succeeded.
	first bool
	// failingSince is the time of the first failure in a row.
	failingSince time.Time
	backoff      time.Duration
	// holdUntil is the time until which upstreams that are missing count as lapsed rather than gone.
	holdUntil time.Time
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.first && !w.active() {
			w.revision, w.failingSince = 0, time.Time{}
			pause.For(ctx, idlePause)
			continue
		}
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			w.failed(err)
			pause.For(ctx, w.backoff/2+rand.N(w.backoff))
		}
	}
}

// step makes one call.
func (w *watcher) step(ctx context.Context) error {
	if w.revision == 0 || (!w.holdUntil.IsZero() && time.Now().After(w.holdUntil)) {
		return w.list(ctx)
	}
	done := make(chan struct{})
	go w.stayFresh(done)
	events, next, err := w.lister.Poll(ctx, w.prefix.Name, w.revision, pollWait)
	close(done)
	if errors.Is(err, store.ErrCompacted) {
		w.log.Info("history of the store is gone, listing again", "prefix", w.prefix.Name, "revision", w.revision)
		w.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	w.succeeded()
	for _, e := range events {
		if e.Deleted && w.prefix.HoldsUpstreams && !w.holdUntil.IsZero() {
			continue // The listing at the end of the hold decides.
		}
		w.apply(e.KV, e.Deleted, 0)
	}
	w.revision = next
	w.markFresh(w.prefix.Name)
	if len(events) > 0 && w.prefix.HoldsUpstreams {
		pause.For(ctx, changePause)
	}
	return nil
}

// stayFresh counts the view as current while a poll waits on a store that answered the previous call.
func (w *watcher) stayFresh(done <-chan struct{}) {
	const step = 200 * time.Millisecond
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for range int(pollWait / step) {
		select {
		case <-done:
			return
		case <-ticker.C:
			w.markFresh(w.prefix.Name)
		}
	}
}

func (w *watcher) list(ctx context.Context) error {
	listing, err := w.lister.List(ctx, w.prefix.Name)
	if err != nil {
		return err
	}
	w.succeeded()
	hold := time.Now().Before(w.holdUntil)
	if !hold {
		w.holdUntil = time.Time{}
	}
	var upstreams []fleet.UpstreamRecord
	for _, kv := range listing.KVs {
		if u, ok := w.apply(kv, false, w.unknownAge); ok {
			upstreams = append(upstreams, u)
		}
	}
	if w.prefix.HoldsUpstreams && (!hold || !w.first) {
		w.state.ApplyListing(upstreams, listing.Revision)
	}
	w.first = true
	w.revision = max(listing.Revision, 1)
	w.markFresh(w.prefix.Name)
	return nil
}

// apply merges one document. age is the assumed age of a named version.
func (w *watcher) apply(kv store.KV, deleted bool, age time.Duration) (fleet.UpstreamRecord, bool) {
	fact, err := w.documents.Decode(kv.Key, kv.Value, deleted)
	if err != nil {
		w.log.Info("document in the store cannot be read", "key", kv.Key, "revision", kv.ModRevision, "cause", err.Error())
	}
	switch {
	case fact.Config != nil:
		if w.state.ApplyConfig(fact.Config, kv.ModRevision) {
			w.log.Info("configuration in force", "version", fact.Config.Version, "revision", kv.ModRevision,
				"routes", len(fact.Config.Routes), "from", "store")
		}
	case fact.Version != nil:
		v := fleet.VersionRecord{NamedVersion: *fact.Version, Revision: kv.ModRevision, NamedAt: time.Now().Add(-age)}
		if known, ok := w.state.Snapshot().NewestVersion(fact.Version.Model); ok && known.Version == v.Version {
			break // What is known of its age is better than the assumption.
		}
		if w.state.ApplyVersion(v) {
			w.log.Info("model version named", "model", v.Model, "version", v.Version, "age_ms", age.Milliseconds(), "from", "store")
		}
	case fact.UpstreamID != "":
		u := fleet.UpstreamRecord{ID: fact.UpstreamID, Revision: kv.ModRevision, Announcement: fact.Upstream}
		w.state.ApplyUpstream(u)
		return u, true
	}
	return fleet.UpstreamRecord{}, false
}

func (w *watcher) failed(err error) {
	now := time.Now()
	if w.failingSince.IsZero() {
		w.failingSince = now
		w.backoff = minBackoff
		w.log.Info("store is lost", "prefix", w.prefix.Name, "cause", err.Error())
	}
	w.backoff = min(w.backoff*2, maxBackoff)
}

func (w *watcher) succeeded() {
	if w.failingSince.IsZero() {
		return
	}
	away := time.Since(w.failingSince)
	w.failingSince = time.Time{}
	if away >= outage && w.first {
		w.holdUntil = time.Now().Add(lapseHold)
		w.revision = 0
	}
	w.log.Info("store is back", "prefix", w.prefix.Name, "away_ms", away.Milliseconds())
}
