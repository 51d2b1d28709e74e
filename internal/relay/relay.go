// Package relay takes callers' requests and sends them straight to upstreams: it decides with package placement, follows each
// attempt, repeats what may be repeated, continues streams elsewhere, and gives every request one final answer.
package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/h1"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/request"
)

const (
	// defaultMaxBody bounds a body if the configuration does not, in bytes.
	defaultMaxBody = 4 << 20
	// defaultDeadline is assumed if neither the caller nor the route names one.
	defaultDeadline = 30 * time.Second
	// starting is when a caller should return to an entry that has no configuration yet.
	starting = 500 * time.Millisecond
	// VersionMargin is taken off the time in which a rollout has to be complete, for the way to the upstream and for clocks.
	VersionMargin = 400 * time.Millisecond
	// beginFactor is how much longer than predicted a request may wait before it begins, when the end of a rollout is near.
	beginFactor = 3
)

// errCallerGone and errTimeout are the causes with which the context of a request ends.
var (
	errCallerGone = errors.New("relay: the caller has left")
	errTimeout    = errors.New("relay: the time for the request is used up")
)

// Config holds the parts of a Relay.
type Config struct {
	Codec   request.Codec
	State   *fleet.State
	Loads   *loadview.Table
	Others  *loadview.WorkTable
	Tracker *placement.Tracker
	Pool    *h1.Pool
	Floors  *placement.Floors
	Budget  *Budget
	Log     logr.Logger
	Metrics *Metrics
	// DataCentre is where this entry runs.
	DataCentre string
	// VersionApply is the time after which no request may begin on older weights.
	VersionApply time.Duration
	// Leaving tells that the process is shutting down.
	Leaving func() bool
}

// Relay is the handler for callers.
type Relay struct {
	cfg      Config
	patience patience
}

// New returns a Relay.
func New(cfg Config) *Relay { return &Relay{cfg: cfg} }

// exchange is one request of a caller on its way.
type exchange struct {
	r        *Relay
	w        http.ResponseWriter
	req      *http.Request
	ctx      context.Context
	body     []byte
	meta     request.Meta
	route    *catalog.Route
	service  string
	engine   *catalog.Engine
	customer string
	rank     int
	snap     *fleet.Snapshot
	received time.Time
	// waited is the time that the caller had waited before this attempt of its.
	waited time.Duration
	// until is when the caller or the route gives up.
	until time.Time

	// sends counts attempts that reached an upstream, runs those that may have run.
	sends, runs int
	tried       map[string]bool
	// declined and last describe the newest failure, for the final answer.
	last string
	// decision is the refusal, if one was decided.
	decision placement.Decision
	// begun tells that the head of the answer is out.
	begun bool
	// firstEvent is the time until the answer began.
	firstEvent time.Duration
	// events is the progress of a stream.
	events progress
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	received := time.Now()
	if r.cfg.Leaving() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{r: r, w: w, req: req, received: received, tried: map[string]bool{}, meta: r.cfg.Codec.Meta(req.Header)}
	if !x.admit() {
		return
	}
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(x.until), func() { cancel(errTimeout) })
	defer timer.Stop()
	x.ctx = ctx
	x.run()
}

// admit reads the request and finds its route and customer. It answers what cannot be served and returns false.
func (x *exchange) admit() bool {
	x.snap = x.r.cfg.State.Snapshot()
	if !x.snap.Ready() {
		x.refuse(http.StatusServiceUnavailable, "starting", starting)
		return false
	}
	index := x.snap.Index
	path, _, _ := strings.Cut(x.req.RequestURI, "?")
	x.route = index.Route(x.req.Host, path)
	if x.route == nil {
		x.refuse(http.StatusNotFound, "no-route", 0)
		return false
	}
	if !x.authorise(index) {
		x.refuse(http.StatusUnauthorized, "unknown-key", 0)
		return false
	}
	x.rank = x.urgency(index)
	x.service = x.route.PickService(rand.Float64())
	if s := index.Service(x.service); s != nil {
		x.engine = s.Engine
	}
	x.until = x.received.Add(defaultDeadline)
	for _, limit := range []time.Duration{x.route.Timeout, x.meta.Deadline} {
		if limit > 0 {
			x.until = earlier(x.until, x.received.Add(limit))
		}
	}
	x.waited = x.r.patience.waited(x.kind(), x.meta.Deadline)
	return x.readBody(index.Config.Limits.MaxBodyBytes)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (x *exchange) authorise(index *catalog.Index) bool {
	if x.meta.Key != "" {
		if c := index.Customer(x.meta.Key); c != nil {
			x.customer = c.Name
			return true
		}
	}
	return x.route.Public || !index.HasCustomers()
}

// urgency orders requests, 0 first: by the customer's priority, which replaces that of the route, then by that of the route.
func (x *exchange) urgency(index *catalog.Index) int {
	priority := x.route.Priority
	if c := index.Customer(x.meta.Key); c != nil && c.HasPriority {
		priority = c.Priority
	}
	last := routePriorities - 1
	return min(max(priority, 0), last)*routePriorities + min(max(x.route.Priority, 0), last)
}

// routePriorities is the number of priorities that are told apart. An upstream knows ten ranks: nine for these, one for requests
// that are late already.
const routePriorities = 3

func (x *exchange) readBody(limit int) bool {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if x.req.ContentLength > int64(limit) {
		x.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.req.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	case err != nil:
		x.r.cfg.Log.Info("request was not read to its end", "request", x.meta.ID, "cause", err.Error())
		x.done("unread", 0)
		panic(http.ErrAbortHandler)
	}
	x.body = body
	return true
}

// run sends the request until it has a final answer.
func (x *exchange) run() {
	x.r.cfg.Budget.Request(x.service)
	x.events.last = x.meta.LastEvent
	for {
		d := x.place()
		if d.Upstream == nil {
			x.giveUp(d)
			return
		}
		result := x.attempt(d)
		x.logAttempt(d, result)
		if result.final {
			x.done(result.outcome, result.status)
			return
		}
		if cause := context.Cause(x.ctx); cause != nil {
			x.expired(cause)
			return
		}
		if errors.Is(result.cause, errCallerGone) {
			x.expired(errCallerGone)
			return
		}
		if !x.mayTryAgain(result) {
			x.fail(result)
			return
		}
	}
}

// place decides where the next attempt goes.
func (x *exchange) place() placement.Decision {
	now := time.Now()
	x.snap = x.r.cfg.State.Snapshot()
	var list []placement.Candidate
	seen := 0
	for _, u := range x.snap.Upstreams(x.service) {
		if u.State != catalog.Ready || x.tried[u.ID] {
			continue
		}
		seen++
		if c, ok := x.candidate(u, now); ok {
			list = append(list, c)
		}
	}
	q := placement.Query{Engine: x.engine, Prompt: float64(x.meta.PromptTokens), Target: x.route.LatencyTarget,
		Elapsed: now.Sub(x.received) + x.waited, Left: x.until.Sub(now), MustPlace: x.begun || x.runs > 0,
		Room: x.r.cfg.Floors.Room(x.kind(), x.route.Priority, x.snap.Index.ShortestLatencyTarget(x.service))}
	d := placement.Choose(q, list)
	if d.Reason == placement.NoUpstream && seen > 0 {
		d.Reason = placement.NoVersion
	}
	return d
}

// kind is the kind of request for floors: routes of one service with equal priority and target are one kind.
func (x *exchange) kind() string {
	return x.service + "/" + strconv.Itoa(x.route.Priority) + "/" + x.route.LatencyTarget.String()
}

// candidate describes an upstream, and returns false if it cannot take the request.
func (x *exchange) candidate(u *catalog.Upstream, now time.Time) (placement.Candidate, bool) {
	c := placement.Candidate{Upstream: u, Local: u.DataCentre == x.r.cfg.DataCentre,
		Suspect: x.r.cfg.Tracker.IsSuspect(u.ID)}
	if x.r.cfg.Tracker.Replaced(u.ID, u.Sequence) {
		return c, false
	}
	load, age, known := x.r.cfg.Loads.Get(u.Address)
	if known && age < swapBelief && u.Born != 0 && load.Born > u.Born {
		return c, false // The upstream has been restarted, the list does not say so yet.
	}
	known = known && age < loadRetention && (load.Born == 0 || u.Born == 0 || load.Born == u.Born)
	if known {
		c.Work = placement.Work{Known: true, Running: load.Active, Waiting: load.Queued, Age: age, Pace: load.Pace}
		c.Suspect = c.Suspect || load.Down || x.silent(u, c.Local, age)
	}
	reported := now.Add(-age)
	if !known {
		reported = time.Time{}
	}
	x.r.cfg.Tracker.Fill(&c.Work, u.ID, x.rank, reported)
	others := x.r.cfg.Others.At(u.ID)
	if !c.Local {
		c.Work.Remote = true
		if there, told, ok := x.r.cfg.Loads.Entries(u.Address); ok {
			others = there
			c.Work.Age = max(c.Work.Age, told)
		}
	}
	c.Work.OthersRunning, c.Work.OthersWaiting, c.Work.OthersTokens = others.Running, others.Waiting, float64(others.Tokens)
	if x.engine == nil {
		return c, true
	}
	models := u.Models
	if known {
		models = load.Models
		if load.Swapping && age < swapBelief {
			return c, false
		}
	}
	begins := now.Add(beginFactor * placement.FirstEvent(x.engine, c.Work, float64(x.meta.PromptTokens)))
	required := x.snap.MinVersion(x.meta.Model, begins, x.r.cfg.VersionApply-VersionMargin)
	return c, holdsWhole(models, x.meta.Model, x.engine.Layers, required)
}

// silent tells whether neither the agent beside an upstream nor the upstream itself has been heard of for too long: its machine stands
// still or is cut off. An upstream whose agent alone is gone goes on serving.
func (x *exchange) silent(u *catalog.Upstream, local bool, loadAge time.Duration) bool {
	limit := silentAfter
	if !local {
		limit = remoteSilentAfter
	}
	return loadAge > limit && x.r.cfg.Tracker.HeardAge(u.ID) > limit
}

const (
	// silentAfter is longer than the time between two reports of an agent, remoteSilentAfter than that with the way over other
	// entries.
	silentAfter       = 750 * time.Millisecond
	remoteSilentAfter = 1500 * time.Millisecond
	// loadRetention is the age up to which a load describes an upstream.
	loadRetention = 3 * time.Second
	// swapBelief is the age up to which an upstream is believed to load weights.
	swapBelief = time.Second
)

// holdsWhole tells whether all layers of one version that may be used are loaded.
func holdsWhole(models []catalog.LoadedLayers, model string, layers int, required int64) bool {
	return versionOf(models, model, layers) >= max(required, 1)
}

// versionOf returns the newest version of which all layers are loaded, 0 if there is none.
func versionOf(models []catalog.LoadedLayers, model string, layers int) int64 {
	held := map[int64]int{}
	var best int64
	for _, m := range models {
		if m.Model != model && model != "" {
			continue
		}
		held[m.Version] += m.To - m.From
		if held[m.Version] >= layers && m.Version > best {
			best = m.Version
		}
	}
	return best
}

// mayTryAgain tells whether another attempt is allowed after one without a final answer.
func (x *exchange) mayTryAgain(res result) bool {
	const maxSends = 4
	switch {
	case res.kind == notSent:
		return len(x.tried) < maxSends
	case x.sends >= maxSends || x.begun && x.route.Kind != catalog.Stream:
		return false
	case res.kind == broken && (!x.route.MayRepeat() || x.runs >= max(x.route.MaxAttempts, 1)+res.excused):
		return false
	default:
		return x.r.cfg.Budget.Spend(x.service)
	}
}
