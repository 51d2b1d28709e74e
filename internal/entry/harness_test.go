package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/entry"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/settings"
)

const (
	apiKey  = "key-of-tailor-row"
	secret  = "0123456789abcdef"
	chat    = "/v1/chat/completions"
	orders  = "/orders"
	waitFor = 10 * time.Second
)

func fleetConfig() *config.Config {
	sum := sha256.Sum256([]byte(apiKey))
	return &config.Config{
		Limits:     config.Limits{MaxBodyBytes: 4096, MaxHeaderBytes: 4096, RequestTimeout: config.Duration(20 * time.Second)},
		Priorities: []config.Priority{{Name: "urgent"}, {Name: "quote"}},
		Pools:      []config.Pool{{Name: "assistant", Kind: config.KindModel}, {Name: "desk", Kind: config.KindService}},
		Routes: []config.Route{
			{Path: chat, Pool: "assistant", Priority: "quote", Idempotent: true},
			{Path: orders, Pool: "desk", Priority: "urgent", Methods: []string{"POST"}},
			{Path: "/stock/", Pool: "desk", Priority: "urgent", Idempotent: true},
		},
		Callers: []config.Caller{{Name: "tailor-row", KeySHA256: hex.EncodeToString(sum[:]), Weight: 1}},
	}
}

// startEntry runs an entry until the test ends. The returned function starts the graceful shutdown and waits for its end.
func startEntry(t *testing.T, id, dataCentre string, peers ...string) (*entry.Entry, func() error) {
	t.Helper()
	return startEntryWaiting(t, 50*time.Millisecond, id, dataCentre, peers...)
}

// startEntryWaiting is startEntry with a time for which the entry waits for upstreams before it is ready.
func startEntryWaiting(t *testing.T, startup time.Duration, id, dataCentre string, peers ...string) (*entry.Entry, func() error) {
	t.Helper()
	s := &settings.Settings{
		Role: message.RoleEntry, ID: id, DataCentre: dataCentre, Region: "prairie",
		Listen: settings.Listen{Caller: "127.0.0.1:0", Admin: "127.0.0.1:0", Link: "127.0.0.1:0"},
		// No test waits for the silence timeout: silent links have to be found by probes.
		Link:  settings.Link{Secret: secret, SilenceTimeout: settings.Duration(time.Minute)},
		Entry: settings.Entry{Peers: peers, MaxConnections: 100},
	}
	s.Shutdown.Timeout = settings.Duration(waitFor)
	e, err := entry.New(entry.Options{
		Settings: s, Log: logr.Discard(), ShutdownDelay: 50 * time.Millisecond, StartupTimeout: startup, BodyTimeout: 300 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Holder().Apply(&config.Active{Envelope: config.Envelope{Revision: 1}, Config: fleetConfig()}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	var result error
	stop := func() error {
		cancel()
		if done != nil {
			result, done = <-done, nil
		}
		return result
	}
	t.Cleanup(func() { _ = stop() })
	return e, stop
}

// fakeAgent is an agent that answers as the test says.
type fakeAgent struct {
	t        *testing.T
	hello    message.Hello
	announce message.Announce
	messages chan received
	submits  chan received
	runs     atomic.Int32
}

type received struct {
	conn *link.Conn
	m    message.Message
}

func newAgent(t *testing.T, id, dataCentre, pool string, incarnation uint64) *fakeAgent {
	return &fakeAgent{
		t:        t,
		hello:    message.Hello{NodeID: id, Role: message.RoleAgent, DataCentre: dataCentre, Incarnation: incarnation},
		announce: message.Announce{Pool: pool, Kind: "service", State: message.StateServing, LoadedVersion: "v1", Limit: 10},
		messages: make(chan received, 1024), submits: make(chan received, 1024),
	}
}

// connect links the agent to e, announces, and waits until e knows. onSubmit answers attempts; nil leaves them to the test.
func (a *fakeAgent) connect(e *entry.Entry, onSubmit func(conn *link.Conn, s *message.Submit)) *link.Conn {
	a.t.Helper()
	g := NewWithT(a.t)
	conn, err := link.Dial(context.Background(), e.LinkAddress(), a.hello, link.Config{Secret: []byte(secret)},
		func() message.Heartbeat { return message.Heartbeat{} })
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	a.t.Cleanup(cancel)
	go func() {
		_ = conn.Serve(ctx, func(c *link.Conn, m message.Message) {
			if s, ok := m.(*message.Submit); ok {
				a.runs.Add(1)
				if onSubmit != nil {
					go onSubmit(c, s)
				}
				a.submits <- received{c, m}
				return
			}
			switch m.(type) {
			case *message.Heartbeat, *message.PeerView:
			default:
				a.messages <- received{c, m}
			}
		})
	}()
	send(a.t, conn, &a.announce)
	g.Eventually(func() bool {
		u, ok := e.Table().Upstream(a.hello.NodeID)
		return ok && u.Node.Incarnation == a.hello.Incarnation && u.Conn.Err() == nil
	}, waitFor).Should(BeTrue())
	return conn
}

// next returns the next message that is no submit, heartbeat or view.
func (a *fakeAgent) next() received { return a.receive(a.messages) }

func (a *fakeAgent) nextSubmit() (*link.Conn, *message.Submit) {
	r := a.receive(a.submits)
	return r.conn, r.m.(*message.Submit)
}

func (a *fakeAgent) receive(from <-chan received) received {
	a.t.Helper()
	select {
	case r := <-from:
		return r
	case <-time.After(waitFor):
		a.t.Fatal("no message reached the agent")
		return received{}
	}
}

func send(t *testing.T, conn *link.Conn, messages ...message.Message) {
	t.Helper()
	for _, m := range messages {
		if err := conn.Send(context.Background(), m); err != nil {
			t.Errorf("send: %v", err)
		}
	}
}

// answer is the whole answer of an attempt.
func answer(a message.Attempt, body string) []message.Message {
	return []message.Message{
		&message.ResponseHead{Attempt: a, Status: 200, Version: "v1"},
		&message.ResponseBody{Attempt: a, Data: []byte(body)},
		&message.ResponseEnd{Attempt: a, Outcome: message.OutcomeOK, Length: int64(len(body))},
	}
}

func echo(t *testing.T) func(*link.Conn, *message.Submit) {
	return func(c *link.Conn, s *message.Submit) { send(t, c, answer(s.Attempt, string(s.Body))...) }
}

func fail(t *testing.T, reason message.Reason, incarnation uint64) func(*link.Conn, *message.Submit) {
	return func(c *link.Conn, s *message.Submit) {
		send(t, c, &message.ResponseEnd{Attempt: s.Attempt, Outcome: message.OutcomeFailed, Reason: reason, UpstreamIncarnation: incarnation})
	}
}

func reject(t *testing.T, reason message.Reason) func(*link.Conn, *message.Submit) {
	return func(c *link.Conn, s *message.Submit) {
		send(t, c, &message.Reject{Attempt: s.Attempt, Reason: reason})
	}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r reply) outcome() string { return r.header.Get("Pimentohead-Outcome") }

func request(e *entry.Entry, method, path, body string, header ...string) *http.Request {
	r, err := http.NewRequest(method, "http://"+e.CallerAddress()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func call(e *entry.Entry, method, path, body string, header ...string) reply {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request(e, method, path, body, header...))
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(text), err}
}

// start makes a call in the background.
func start(e *entry.Entry, method, path, body string, header ...string) <-chan reply {
	done := make(chan reply, 1)
	go func() { done <- call(e, method, path, body, header...) }()
	return done
}
