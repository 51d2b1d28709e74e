package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/h1"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/relay"
	"github.com/pimentohead/pimentohead/internal/request"
)

// codec is a minimal codec with names of its own.
type codec struct{}

func (codec) Meta(h http.Header) request.Meta {
	ms, _ := strconv.Atoi(h.Get("Wait"))
	last, _ := strconv.ParseInt(h.Get("After"), 10, 64)
	return request.Meta{ID: h.Get("Id"), Deadline: time.Duration(ms) * time.Millisecond, Key: h.Get("Key"), LastEvent: last, PromptTokens: 100}
}

func (codec) Prepare(h http.Header, out request.Outgoing) {
	h.Del("Key")
	h.Set("Customer", out.Customer)
	h.Set("For", out.Instance)
	h.Set("Left", strconv.FormatInt(out.Left.Milliseconds(), 10))
	h.Set("After", strconv.FormatInt(out.LastEvent, 10))
}

func (codec) Answer(status int, h http.Header) request.Answer {
	return request.Answer{ID: h.Get("Id"), Stamped: h.Get("Stamp") != "", NotRun: h.Get("Not-Run") != "",
		WrongInstance: status == http.StatusMisdirectedRequest, Instance: h.Get("Instance")}
}

func (codec) Refuse(h http.Header, _ string, retryAfter time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
}

// upstream answers with a script and counts what reached it.
type upstream struct {
	id, addr string
	mu       sync.Mutex
	got      []*http.Request
}

func (u *upstream) requests() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*http.Request(nil), u.got...)
}

func newUpstream(t *testing.T, id string, script func(nc net.Conn, req *http.Request)) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
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
					u.got = append(u.got, req)
					u.mu.Unlock()
					script(nc, req)
				}
			}()
		}
	}()
	return u
}

func whole(nc net.Conn, req *http.Request, status int, body string) {
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 %d x\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", status, req.Header.Get("Id"), len(body), body)
}

func ok(nc net.Conn, req *http.Request) { whole(nc, req, 200, "fine") }

func declines(nc net.Conn, req *http.Request) {
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
}

func breaks(nc net.Conn, _ *http.Request) { _ = nc.Close() }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id) }

func streamHead(nc net.Conn, req *http.Request) {
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		req.Header.Get("Id"))
}

func chunk(nc net.Conn, text string) { _, _ = fmt.Fprintf(nc, "%x\r\n%s\r\n", len(text), text) }

// streams sends the events after the one that the request names, up to last.
func streams(last int) func(net.Conn, *http.Request) {
	return func(nc net.Conn, req *http.Request) {
		after, _ := strconv.Atoi(req.Header.Get("After"))
		streamHead(nc, req)
		for id := after + 1; id <= last; id++ {
			chunk(nc, event(id))
		}
		_, _ = io.WriteString(nc, "0\r\n\r\n")
	}
}

// entry is a relay in front of upstreams, with one route for each kind of request.
type entry struct {
	url   string
	state *fleet.State
	host  string
}

func newEntry(t *testing.T, ups ...*upstream) *entry {
	state := fleet.NewState(nil)
	targets := []catalog.Target{{Service: "s", Weight: 1}}
	routes := []catalog.Route{
		{Name: "order", Host: "h", Prefix: "/order/", Kind: catalog.AtMostOnce, Timeout: time.Second, LatencyTarget: 150 * time.Millisecond, MaxAttempts: 1},
		{Name: "look", Host: "h", Prefix: "/look/", Kind: catalog.Idempotent, Timeout: time.Second, LatencyTarget: 150 * time.Millisecond, MaxAttempts: 2},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: catalog.Stream, Resumable: true, Timeout: 3 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: catalog.Stream, Timeout: 3 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2},
	}
	for i := range routes {
		routes[i].Targets = targets
	}
	state.ApplyConfig(&catalog.Config{Version: 1, Routes: routes, Services: []catalog.Service{{Name: "s"}},
		Customers: []catalog.Customer{{Name: "tailor", Keys: []string{"k"}}}}, 1)
	var list []fleet.UpstreamRecord
	for i, u := range ups {
		list = append(list, fleet.UpstreamRecord{ID: u.id, Revision: int64(2 + i), Announcement: &catalog.Upstream{ID: u.id, Service: "s", Address: u.addr,
			DataCentre: "z", State: catalog.Ready, Slots: 6}})
	}
	state.ApplyListing(list, 9)
	r := relay.New(relay.Config{Codec: codec{}, State: state, Loads: loadview.NewTable(nil), Others: loadview.NewWorkTable(nil),
		Tracker: placement.NewTracker(nil), Floors: placement.NewFloors(nil), Pool: h1.NewPool(), Log: logr.Discard(), DataCentre: "z", VersionApply: 8 * time.Second,
		Budget:  relay.NewBudget(0.2, 100, 10*time.Second, func() int { return 1 }, nil),
		Leaving: func() bool { return false }})
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return &entry{url: server.URL, state: state, host: "h"}
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

func (e *entry) send(ctx context.Context, path string, edit func(*http.Request)) answer {
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
		return answer{err: err, took: time.Since(started)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, took: time.Since(started)}
}

func total(ups ...*upstream) (n int) {
	for _, u := range ups {
		n += len(u.requests())
	}
	return n
}

// Guards against requests that reach the upstream changed, with the caller's key, or without customer, instance or time left.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, "u1", ok)
	a := newEntry(t, u).send(context.Background(), "/look/a%2Fb?q=%20x", func(r *http.Request) { r.Header.Set("Other", "kept") })
	g.Expect(a.status).To(Equal(200))
	g.Expect(a.body).To(Equal("fine"))
	g.Expect(a.header.Get("Stamp")).To(Equal("s"))
	got := u.requests()[0]
	g.Expect(got.RequestURI).To(Equal("/look/a%2Fb?q=%20x"))
	g.Expect(got.Host).To(Equal("h"))
	g.Expect(got.Header.Get("Key")).To(BeEmpty())
	g.Expect(got.Header.Get("Other")).To(Equal("kept"))
	g.Expect(got.Header.Get("Customer")).To(Equal("tailor"))
	g.Expect(got.Header.Get("For")).To(Equal("u1"))
	g.Expect(strconv.Atoi(got.Header.Get("Left"))).To(And(BeNumerically(">", 800), BeNumerically("<=", 1000)), "the route's limit is shorter")
}

// Guards against requests that are answered by an entry that does not know, or with the wrong refusal.
func TestRefusalsOfTheEntryItself(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, "u1", ok)
	e := newEntry(t, u)
	g.Expect(e.send(context.Background(), "/none/", nil).status).To(Equal(404))
	g.Expect(e.send(context.Background(), "/look/", func(r *http.Request) { r.Header.Set("Key", "wrong") }).status).To(Equal(401))
	g.Expect(total(u)).To(BeZero())
	e.state = fleet.NewState(nil)
	empty := newEntry(t)
	a := empty.send(context.Background(), "/look/", nil)
	g.Expect(a.status).To(Equal(503))
	g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
}

// Guards against an order that runs twice, and against a claim that it has not run although it may have.
func TestOrderIsSentOnceWhateverHappens(t *testing.T) {
	g := NewWithT(t)
	a1, a2 := newUpstream(t, "u1", breaks), newUpstream(t, "u2", breaks)
	a := newEntry(t, a1, a2).send(context.Background(), "/order/", nil)
	g.Expect(a.status).To(Equal(502))
	g.Expect(total(a1, a2)).To(Equal(1))
}

// Guards against giving up an order that an upstream has declined, and against claiming that it may have run.
func TestDeclinedOrderGoesElsewhere(t *testing.T) {
	g := NewWithT(t)
	full1, full2 := newUpstream(t, "u1", declines), newUpstream(t, "u2", declines)
	a := newEntry(t, full1, full2).send(context.Background(), "/order/", nil)
	g.Expect(a.status).To(Equal(503))
	g.Expect(a.header.Get("Retry-After")).NotTo(Equal("0.00"))
	g.Expect(total(full1, full2)).To(Equal(2))
	full, free := newUpstream(t, "u1", declines), newUpstream(t, "u2", ok)
	e := newEntry(t, full, free)
	for range 5 {
		g.Expect(e.send(context.Background(), "/order/", nil).status).To(Equal(200))
	}
}

// Guards against look-ups that fail though another upstream could answer.
func TestLookUpIsRepeatedElsewhere(t *testing.T) {
	for name, script := range map[string]func(net.Conn, *http.Request){
		"breaks": breaks,
		"fails":  func(nc net.Conn, r *http.Request) { whole(nc, r, 500, "broken") },
		"cut": func(nc net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nContent-Length: 99\r\n\r\npart", r.Header.Get("Id"))
			_ = nc.Close()
		},
		"unsigned": func(nc net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nContent-Length: 4\r\n\r\nlies", r.Header.Get("Id"))
		},
		"garbage": func(nc net.Conn, _ *http.Request) {
			_, _ = io.WriteString(nc, "no answer at all\r\n\r\n")
			_ = nc.Close()
		},
		"silent": func(net.Conn, *http.Request) { time.Sleep(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			bad, good := newUpstream(t, "u1", script), newUpstream(t, "u2", ok)
			e := newEntry(t, bad, good)
			for range 4 {
				a := e.send(context.Background(), "/look/", nil)
				g.Expect(a.status).To(Equal(200))
				g.Expect(a.body).To(Equal("fine"))
			}
		})
	}
}

// Guards against a failure of the upstream's own being replaced by one of the system's.
func TestUpstreamsOwnFailureIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, "u1", func(nc net.Conn, r *http.Request) { whole(nc, r, 500, "broken") })
	a := newEntry(t, u).send(context.Background(), "/order/", nil)
	g.Expect(a.status).To(Equal(500))
	g.Expect(a.header.Get("Stamp")).To(Equal("s"))
	g.Expect(a.body).To(Equal("broken"))
}

// expectStreams sends at least 4 requests, and more until broken has had one: equal upstreams are chosen at random, so that 4 requests
// pass by one of two in 6 of 100 runs.
func expectStreams(g Gomega, e *entry, broken *upstream, want string) {
	const least, most = 4, 64
	for i := 0; i < least || len(broken.requests()) == 0 && i < most; i++ {
		a := e.send(context.Background(), "/stream/", nil)
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.body).To(Equal(want))
	}
	g.Expect(broken.requests()).NotTo(BeEmpty())
}

// Guards against streams with missing or doubled events when an upstream ends midway, even within an event.
func TestStreamGoesOnElsewhere(t *testing.T) {
	g := NewWithT(t)
	half := newUpstream(t, "u1", func(nc net.Conn, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("After"))
		streamHead(nc, r)
		chunk(nc, event(after+1)+event(after+2)+"id: 9\nda")
		time.Sleep(20 * time.Millisecond)
		_ = nc.Close()
	})
	rest := newUpstream(t, "u2", streams(5))
	e := newEntry(t, half, rest)
	want := event(1) + event(2) + event(3) + event(4) + event(5)
	expectStreams(g, e, half, want)
}

// Guards against a stream without a length that ends within an event and looks whole.
func TestUnframedStreamThatEndsWithinAnEventGoesOnElsewhere(t *testing.T) {
	g := NewWithT(t)
	half := newUpstream(t, "u1", func(nc net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n%sid: 2\nda", r.Header.Get("Id"), event(1))
		_ = nc.Close()
	})
	e := newEntry(t, half, newUpstream(t, "u2", streams(3)))
	expectStreams(g, e, half, event(1)+event(2)+event(3))
}

// Guards against a stream that looks whole though its end is missing, where it may not be continued.
func TestStreamThatCannotBeContinuedIsBrokenOff(t *testing.T) {
	g := NewWithT(t)
	cut := func(nc net.Conn, r *http.Request) {
		streamHead(nc, r)
		chunk(nc, event(1))
		time.Sleep(20 * time.Millisecond)
		_ = nc.Close()
	}
	u1, u2 := newUpstream(t, "u1", cut), newUpstream(t, "u2", cut)
	a := newEntry(t, u1, u2).send(context.Background(), "/once/", nil)
	g.Expect(a.err).To(HaveOccurred())
	g.Expect(total(u1, u2)).To(Equal(1))
}

// Guards against a continued stream that leaves out events.
func TestContinuationWithAGapIsNotJoined(t *testing.T) {
	g := NewWithT(t)
	skips := func(nc net.Conn, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("After"))
		streamHead(nc, r)
		if after == 0 {
			chunk(nc, event(1))
			time.Sleep(20 * time.Millisecond)
			_ = nc.Close()
			return
		}
		chunk(nc, event(after+2))
		_, _ = io.WriteString(nc, "0\r\n\r\n")
	}
	a := newEntry(t, newUpstream(t, "u1", skips), newUpstream(t, "u2", skips)).send(context.Background(), "/stream/", nil)
	g.Expect(a.err).To(HaveOccurred())
	g.Expect(a.body).To(Equal(event(1)))
}

// Guards against an upstream that still works for a caller that has left.
func TestCallerWhoLeavesEndsTheAttempt(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	u := newUpstream(t, "u1", func(nc net.Conn, r *http.Request) {
		streamHead(nc, r)
		chunk(nc, event(1))
		_, _ = nc.Read(make([]byte, 1))
		close(ended)
	})
	e := newEntry(t, u)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	g.Expect(e.send(ctx, "/stream/", nil).err).To(HaveOccurred())
	g.Eventually(ended, "500ms").Should(BeClosed())
	g.Expect(total(u)).To(Equal(1))
}

// Guards against callers who wait longer than their route allows, or than they can.
func TestAnswerComesAtTheEndOfTheTime(t *testing.T) {
	g := NewWithT(t)
	mute := func(net.Conn, *http.Request) { time.Sleep(3 * time.Second) }
	e := newEntry(t, newUpstream(t, "u1", mute))
	a := e.send(context.Background(), "/order/", nil)
	g.Expect(a.status).To(Equal(504))
	g.Expect(a.took).To(BeNumerically("~", time.Second, 200*time.Millisecond))
	a = e.send(context.Background(), "/order/", func(r *http.Request) { r.Header.Set("Wait", "300") })
	g.Expect(a.status).To(Equal(504))
	g.Expect(a.took).To(BeNumerically("~", 300*time.Millisecond, 200*time.Millisecond))
}

// Pattern: addresses are used again. An upstream that has another ID is left out at once.
func TestWrongInstanceIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	other := newUpstream(t, "u1", func(nc net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 421 x\r\nId: %s\r\nInstance: u9\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	})
	right := newUpstream(t, "u2", ok)
	e := newEntry(t, other, right)
	for range 10 {
		g.Expect(e.send(context.Background(), "/order/", nil).status).To(Equal(200))
	}
	g.Expect(len(other.requests())).To(BeNumerically("<=", 1))
}
