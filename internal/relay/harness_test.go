package relay_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/callerconn"
	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/h1"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/membudget"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/poison"
	"github.com/pimentohead/pimentohead/internal/refusal"
	"github.com/pimentohead/pimentohead/internal/relay"
	"github.com/pimentohead/pimentohead/internal/request"
)

// codec is a minimal request.Codec with its own header names. Wait is the caller's timeout in milliseconds.
type codec struct {
	// prepared, if not nil, is called with the headers of each request that is about to be sent to an upstream.
	prepared func(http.Header)
	// answered, if not nil, is called when the head of a response from an upstream has been read.
	answered func()
	// checked, if not nil, is called when the relay asks how long the entry serves.
	checked func()
	// budget, if not nil, is the memory budget of the entry, which bounds the buffers of its sockets then.
	budget *membudget.Budget
}

func (codec) ParseRequest(h http.Header) request.Metadata {
	ms, _ := strconv.Atoi(h.Get("Wait"))
	last, _ := strconv.ParseInt(h.Get("After"), 10, 64)
	return request.Metadata{ID: h.Get("Id"), Model: h.Get("Model"), Timeout: time.Duration(ms) * time.Millisecond, Key: h.Get("Key"), LastEventID: last,
		PromptTokens: 100, PromptParts: strings.Split(h.Get("Parts"), ",")}
}

func (c codec) PrepareUpstreamHeaders(h http.Header, out request.UpstreamMetadata) {
	h.Del("Key")
	h.Set("Customer", out.Customer)
	h.Set("For", out.Instance)
	h.Set("Left", strconv.FormatInt(out.Remaining.Milliseconds(), 10))
	h.Set("After", strconv.FormatInt(out.LastEventID, 10))
	if c.prepared != nil {
		c.prepared(h)
	}
}

func (c codec) ParseResponse(status int, h http.Header) request.Response {
	if c.answered != nil {
		c.answered()
	}
	pause, _ := time.ParseDuration(h.Get("Pause"))
	limit, err := strconv.ParseFloat(h.Get("Limit"), 64)
	load := request.Response{}
	if _, err := fmt.Sscanf(h.Get("Load"), "%d,%d,%d,%g", &load.Running, &load.Waiting, &load.Slots, &load.Slowdown); err != nil {
		load = request.Response{UnreadableLoad: h.Get("Load")}
	}
	load.HasLoad = load.UnreadableLoad == "" && h.Get("Load") != ""
	return request.Response{Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown, HasLoad: load.HasLoad,
		UnreadableLoad: load.UnreadableLoad, ID: h.Get("Id"), Leaving: h.Get("Leaving") != "", RetryAfter: pause, Signed: h.Get("Stamp") != "",
		NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest, Instance: h.Get("Instance"), RateLimit: limit,
		HasRateLimit: err == nil, RateLimitUnreadable: err != nil && h.Get("Limit") != ""}
}

func (codec) SetRefusalHeaders(h http.Header, _ string, retryAfter time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
}

// upstream is a scripted server that records the requests it receives.
type upstream struct {
	id, addr string
	// dataCentre is the data centre of the upstream; empty selects that of the entry.
	dataCentre string
	mu         sync.Mutex
	received   []*http.Request
}

func (u *upstream) requests() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*http.Request(nil), u.received...)
}

// newUpstream starts an upstream that calls script for each request after its body has been read.
func newUpstream(t testing.TB, id string, script func(nc net.Conn, req *http.Request)) *upstream {
	u, _ := listenUpstream(t, id, script)
	return u
}

// listenUpstream is newUpstream and returns the listener too.
func listenUpstream(t testing.TB, id string, script func(nc net.Conn, req *http.Request)) (*upstream, net.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveUpstream(t, id, l, script), l
}

// serveUpstream is newUpstream on a listener.
func serveUpstream(t testing.TB, id string, l net.Listener, script func(nc net.Conn, req *http.Request)) *upstream {
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{id: id, addr: l.Addr().String()}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					u.mu.Lock()
					u.received = append(u.received, req)
					u.mu.Unlock()
					script(nc, req)
				}
			}()
		}
	}()
	return u
}

// respond sends a complete signed response.
func respond(nc net.Conn, req *http.Request, status int, body string) {
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 %d x\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s",
		status, req.Header.Get("Id"), len(body), body)
}

func respondOK(nc net.Conn, req *http.Request) { respond(nc, req, 200, "fine") }

// decline sends a refusal which states that the request has not run.
func decline(nc net.Conn, req *http.Request) {
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
}

func closeConn(nc net.Conn, _ *http.Request) { _ = nc.Close() }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id) }

func streamHead(nc net.Conn, req *http.Request) {
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		req.Header.Get("Id"))
}

func chunk(nc net.Conn, text string) { _, _ = fmt.Fprintf(nc, "%x\r\n%s\r\n", len(text), text) }

// streamUpTo returns a script that streams the events after the one in the After header, up to last.
func streamUpTo(last int) func(net.Conn, *http.Request) {
	return func(nc net.Conn, req *http.Request) {
		after, _ := strconv.Atoi(req.Header.Get("After"))
		streamHead(nc, req)
		for id := after + 1; id <= last; id++ {
			chunk(nc, event(id))
		}
		_, _ = io.WriteString(nc, "0\r\n\r\n")
	}
}

// entry is a relay in front of upstreams, with a route for each kind of request.
type entry struct {
	url   string
	state *fleet.State
	loads *loadview.Table
	// poison holds the evidence on requests that crash upstreams.
	poison *poison.Ledger
	// refusals holds the requests that the entry has refused.
	refusals *refusal.Table
	limiter  *placement.PriorityLimiter
	host     string
	relay    *relay.Relay
	// servedUntil is when the entry ends its requests because it shuts down; nil while it does not.
	servedUntil *atomic.Pointer[time.Time]
	conns       *callerconn.Tracker
}

// newEntry starts a relay with the given upstreams in its own data centre.
func newEntry(t testing.TB, upstreams ...*upstream) *entry {
	return newEntryWithCodec(t, codec{}, upstreams...)
}

// newEntryWithCodec is newEntry with a codec.
func newEntryWithCodec(t testing.TB, c codec, upstreams ...*upstream) *entry {
	return newEntryWithConfig(t, c, func(*relay.Config) {}, upstreams...)
}

// newEntryWithLog is newEntryWithCodec with a log.
func newEntryWithLog(t testing.TB, c codec, log logr.Logger, upstreams ...*upstream) *entry {
	return newEntryWithConfig(t, c, func(cfg *relay.Config) { cfg.Log = log }, upstreams...)
}

// newEntryWithConfig is newEntryWithCodec with changes to the configuration of the relay.
func newEntryWithConfig(t testing.TB, c codec, edit func(*relay.Config), upstreams ...*upstream) *entry {
	state := fleet.NewState(nil)
	targets := []catalog.Target{{Service: "s", Weight: 1}}
	routes := []catalog.Route{
		{Name: "order", Host: "h", Prefix: "/order/", Kind: catalog.AtMostOnce,
			Timeout: time.Second, LatencyTarget: 150 * time.Millisecond, MaxAttempts: 1},
		{Name: "look", Host: "h", Prefix: "/look/", Kind: catalog.Idempotent,
			Timeout: time.Second, LatencyTarget: 150 * time.Millisecond, MaxAttempts: 2},
		{Name: "search", Host: "h", Prefix: "/search/", Kind: catalog.Idempotent,
			Timeout: 3 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: catalog.Stream, Resumable: true,
			Timeout: 3 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2},
		{Name: "long", Host: "h", Prefix: "/long/", Kind: catalog.Stream, Resumable: true,
			Timeout: 20 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: catalog.Stream,
			Timeout: 3 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2},
	}
	for i := range routes {
		routes[i].Targets = targets
	}
	state.ApplyConfig(&catalog.Config{Version: 1, Routes: routes, Services: []catalog.Service{{Name: "s"}},
		Customers: []catalog.Customer{{Name: "tailor", Keys: []string{"k"}}}}, 1)
	var list []fleet.UpstreamRecord
	for i, u := range upstreams {
		list = append(list, fleet.UpstreamRecord{ID: u.id, Revision: int64(2 + i), Announcement: &catalog.Upstream{ID: u.id, Service: "s",
			Address: u.addr, DataCentre: cmp.Or(u.dataCentre, "z"), State: catalog.Ready, Slots: 6}})
	}
	state.ApplyListing(fleet.Listing{Upstreams: list, Revision: 9})
	loads, ledger, refusals := loadview.NewTable(nil), poison.New(nil), refusal.New(nil)
	limiter := placement.NewPriorityLimiter(nil)
	servedUntil, pool := &atomic.Pointer[time.Time]{}, h1.NewPool()
	cfg := relay.Config{Codec: c, State: state, Loads: loads, Poison: ledger, Refusals: refusals, PeerWork: loadview.NewWorkTable(nil),
		Tracker: placement.NewTracker(nil), PriorityLimiter: limiter, Pool: pool, Log: logr.Discard(), MemoryBudget: c.budget,
		DataCentre: "z", VersionApplyWindow: 8 * time.Second,
		RetryBudget: relay.NewRetryBudget(0.2, 100, 10*time.Second, func() int { return 1 }, nil),
		ServedUntil: func() time.Time {
			if c.checked != nil {
				c.checked()
			}
			if until := servedUntil.Load(); until != nil {
				return *until
			}
			return time.Time{}
		}}
	edit(&cfg)
	r := relay.New(cfg)
	conns := callerconn.NewTracker(func() time.Duration { return 0 })
	if c.budget != nil {
		conns.LimitBuffers()
		pool.LimitBuffers()
	}
	server := httptest.NewUnstartedServer(r)
	server.Listener = conns.Listener(server.Listener)
	server.Config.ConnState, server.Config.ConnContext = conns.ConnState, conns.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return &entry{url: server.URL, state: state, loads: loads, poison: ledger, refusals: refusals, limiter: limiter,
		host: "h", relay: r, servedUntil: servedUntil, conns: conns}
}

// callResult is the caller's view of a response.
type callResult struct {
	status  int
	header  http.Header
	body    string
	err     error
	elapsed time.Duration
	// closes is set if the response states that the connection is closed after it.
	closes bool
}

// send posts a request to the entry. edit, if not nil, changes it first.
func (e *entry) send(ctx context.Context, path string, edit func(*http.Request)) callResult {
	started := time.Now()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.url+path, strings.NewReader("body"))
	req.Host = e.host
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "k")
	req.Header.Set("Wait", "2000")
	if edit != nil {
		edit(req)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResult{err: err, elapsed: time.Since(started)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, elapsed: time.Since(started),
		closes: resp.Close}
}

// totalRequests returns the number of requests that the upstreams have received.
func totalRequests(upstreams ...*upstream) (n int) {
	for _, u := range upstreams {
		n += len(u.requests())
	}
	return n
}
