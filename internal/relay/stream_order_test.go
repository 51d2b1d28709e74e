package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against a stream in which the first events are missing: they had arrived when the time of their version ended, were not forwarded, and
// the next upstream was asked to go on behind them.
func TestEventsReadAfterTheEndOfTheirVersionAreSentByTheNextUpstream(t *testing.T) {
	g := NewWithT(t)
	var e *entry
	outdated := newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		events := event(1) + event(2)
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
			req.Header.Get("Id"), len(events), events)
		waitUntilClosed(nc)
	})
	current := newUpstream(t, "u2", streamUpTo(4))
	ended := false
	e = engineEntryWithCodec(t, codec{answered: func() {
		if ended {
			return
		}
		ended = true
		e.nameVersion(2, rolloutTime)
		e.announce(current, 2, 2)
		time.Sleep(400 * time.Millisecond) // Longer than the interval between checks of the version.
	}})
	e.announce(outdated, 1, 1)
	a := generate(e)
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(event(1) + event(2) + event(3) + event(4)))
}

// Guards against a stream that begins with a later event than the one that the caller needs, and is complete for the caller.
func TestStreamThatBeginsWithALaterEventIsNotForwarded(t *testing.T) {
	for name, after := range map[string]int{"from the start": 0, "resumed by the caller": 2} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			script := inOrder(func(nc net.Conn, req *http.Request) {
				streamHead(nc, req)
				chunk(nc, event(after+2))
				chunk(nc, event(after+3))
				_, _ = io.WriteString(nc, "0\r\n\r\n")
			}, streamUpTo(after+3))
			e := newEntry(t, newUpstream(t, "u1", script), newUpstream(t, "u2", script))
			a := e.send(context.Background(), "/stream/", func(r *http.Request) { r.Header.Set("After", fmt.Sprint(after)) })
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(Equal(event(after+1) + event(after+2) + event(after+3)))
		})
	}
}

// unframedStream returns a script that streams two events without a length, and then ends the connection.
func unframedStream(end func(net.Conn)) func(net.Conn, *http.Request) {
	return func(nc net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n%s", req.Header.Get("Id"), event(1)+event(2))
		time.Sleep(20 * time.Millisecond)
		end(nc)
	}
}

// Guards against a stream without a length that ends as complete before its last event, because its upstream ended between two events, or
// interrupted its requests to load a version. One that leaves may end while it still serves a long stream.
func TestUnframedStreamOfAnUpstreamThatEndedGoesOn(t *testing.T) {
	for name, end := range map[string]func(*entry, catalog.Upstream, net.Listener){
		"crashed": func(_ *entry, _ catalog.Upstream, l net.Listener) { _ = l.Close() },
		"left": func(e *entry, u catalog.Upstream, l net.Listener) {
			u.State = catalog.Draining
			e.state.ApplyUpstream(fleet.UpstreamRecord{ID: u.ID, Revision: 100, Announcement: &u})
			_ = l.Close()
		},
		"interrupted": func(e *entry, u catalog.Upstream, _ net.Listener) {
			e.loads.Apply([]message.UpstreamLoad{{Address: u.Address, Swapping: true}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var e *entry
			listeners := map[string]net.Listener{}
			script := startOrResume(unframedStream(func(nc net.Conn) {
				address := nc.LocalAddr().String()
				for _, u := range e.state.Snapshot().Upstreams("s") {
					if u.Address == address {
						end(e, *u, listeners[address])
					}
				}
				_ = nc.Close()
			}), streamUpTo(4))
			u1, l1 := listenUpstream(t, "u1", script)
			u2, l2 := listenUpstream(t, "u2", script)
			listeners[u1.addr], listeners[u2.addr] = l1, l2
			e = newEntry(t, u1, u2)
			a := e.send(context.Background(), "/long/", nil)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(Equal(event(1) + event(2) + event(3) + event(4)))
		})
	}
}

// Guards against a complete stream without a length that is taken for a broken one, and run once more.
func TestUnframedStreamOfALiveUpstreamIsComplete(t *testing.T) {
	g := NewWithT(t)
	script := unframedStream(func(nc net.Conn) { _ = nc.Close() })
	u1, u2 := newUpstream(t, "u1", script), newUpstream(t, "u2", script)
	a := newEntry(t, u1, u2).send(context.Background(), "/long/", nil)
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(event(1) + event(2)))
	g.Expect(totalRequests(u1, u2)).To(Equal(1))
	g.Expect(a.elapsed).To(BeNumerically("<", time.Second))
}

// Guards against a stream without a length that ends as complete before its last event, because the check for bytes of its silent upstream had
// received the error of the connection, so that the next read returned the end of the stream.
func TestResetOfASilentUnframedStreamIsNoEnd(t *testing.T) {
	g := NewWithT(t)
	reset := func(nc net.Conn) {
		time.Sleep(600 * time.Millisecond)
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
	}
	// The next upstream has not begun when the silent one is reset.
	script := startOrResume(unframedStream(func(nc net.Conn) { time.Sleep(500 * time.Millisecond); reset(nc) }), func(nc net.Conn, req *http.Request) {
		time.Sleep(700 * time.Millisecond)
		decline(nc, req)
	})
	u1, u2 := newUpstream(t, "u1", script), newUpstream(t, "u2", script)
	a := newEntry(t, u1, u2).send(context.Background(), "/long/", nil)
	g.Expect(a.err).To(HaveOccurred(), "body %s", strings.TrimSpace(a.body))
	g.Expect(totalRequests(u1, u2)).To(Equal(2))
}

// Guards against a short answer without a length that passes as complete, with a length that the entry adds, because its upstream ended.
func TestUnframedAnswerOfAnUpstreamThatEndedIsNotComplete(t *testing.T) {
	for path, want := range map[string]int{"/order/": http.StatusBadGateway, "/look/": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			listeners := map[string]net.Listener{}
			script := inOrder(func(nc net.Conn, req *http.Request) {
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\n\r\nfi", req.Header.Get("Id"))
				_ = listeners[nc.LocalAddr().String()].Close()
				_ = nc.Close()
			}, respondOK)
			u1, l1 := listenUpstream(t, "u1", script)
			u2, l2 := listenUpstream(t, "u2", script)
			listeners[u1.addr], listeners[u2.addr] = l1, l2
			a := newEntry(t, u1, u2).send(context.Background(), path, nil)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(want), a.body)
			g.Expect(a.body).NotTo(Equal("fi"))
		})
	}
}

// Guards against a stream that breaks off and looks complete to a caller of HTTP/1.0, whose responses end with the connection.
func TestBrokenStreamOfHTTP10EndsWithAReset(t *testing.T) {
	g := NewWithT(t)
	e := newEntry(t, newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		streamHead(nc, req)
		chunk(nc, event(1))
	}))
	nc, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = nc.Close() }()
	_, err = io.WriteString(nc, "POST /stream/ HTTP/1.0\r\nHost: h\r\nId: r1\r\nKey: k\r\nWait: 500\r\nContent-Length: 0\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	received, err := io.ReadAll(nc)
	g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%s %v", received, err)
}

// eventOf is event from a run of the request that its data names.
func eventOf(run string, id int) string {
	return fmt.Sprintf("id: %d\ndata: event %d of run %s\n\n", id, id, run)
}

// holdEvents sends events and a part of the end of the body, so that the entry's read of the events waits for the rest.
func holdEvents(nc net.Conn, events ...string) {
	text := ""
	for _, e := range events {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	_, _ = io.WriteString(nc, text+"0\r\n")
}

// Guards against events of an attempt from which another one has taken over, or that has ended for the silent one: they were read before and
// forwarded then, so that the stream went back to an earlier run, or ended although the silent upstream went on.
func TestEventsOfAnEndedAttemptAreNotForwarded(t *testing.T) {
	held := make(chan struct{})
	for name, c := range map[string]struct {
		scripts []func(net.Conn, *http.Request)
		want    string
	}{
		"taken over": {[]func(net.Conn, *http.Request){
			func(nc net.Conn, req *http.Request) {
				streamHead(nc, req)
				chunk(nc, eventOf("a", 1))
				time.Sleep(100 * time.Millisecond)
				holdEvents(nc, eventOf("a", 2), eventOf("a", 3))
				waitUntilClosed(nc)
			},
			func(nc net.Conn, req *http.Request) {
				streamHead(nc, req)
				chunk(nc, eventOf("b", 2))
				time.Sleep(50 * time.Millisecond)
				_ = nc.Close()
			},
			streamUpTo(4),
		}, eventOf("a", 1) + eventOf("b", 2) + event(3) + event(4)},
		"silent one goes on": {[]func(net.Conn, *http.Request){
			func(nc net.Conn, req *http.Request) {
				streamHead(nc, req)
				chunk(nc, eventOf("a", 1))
				<-held
				time.Sleep(100 * time.Millisecond)
				chunk(nc, eventOf("a", 2))
				_, _ = io.WriteString(nc, "0\r\n\r\n")
			},
			func(nc net.Conn, req *http.Request) {
				streamHead(nc, req)
				holdEvents(nc, eventOf("b", 2))
				close(held)
				waitUntilClosed(nc)
			},
			streamUpTo(4),
		}, eventOf("a", 1) + eventOf("a", 2)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			script := inOrder(c.scripts...)
			e := newEntry(t, newUpstream(t, "u1", script), newUpstream(t, "u2", script), newUpstream(t, "u3", script))
			e.setMaxAttempts(3)
			a := e.send(context.Background(), "/long/", withLongTimeout)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(Equal(c.want))
		})
	}
}

// Guards against a stream without a length that ends as complete because its request was ended, here by a shutdown, before it was known whether
// the upstream had.
func TestUnframedStreamOfAnEndedRequestIsNotComplete(t *testing.T) {
	g := NewWithT(t)
	var e *entry
	var l net.Listener
	u, listener := listenUpstream(t, "u1", unframedStream(func(nc net.Conn) {
		_ = l.Close()
		_ = nc.Close()
		time.AfterFunc(100*time.Millisecond, e.relay.EndRequests)
	}))
	l, e = listener, newEntry(t, u)
	e.loads.Apply([]message.UpstreamLoad{{Address: u.addr, StartedAtMillis: 1}}) // The upstream may yet be reported alive.
	a := e.send(context.Background(), "/long/", nil)
	g.Expect(a.err).To(HaveOccurred(), "body %s", strings.TrimSpace(a.body))
}

// Guards against events that are dropped because the caller names a last event on a route whose streams cannot be resumed: the upstream begins
// anew.
func TestLastEventOfAStreamThatCannotResumeDropsNoEvents(t *testing.T) {
	for _, path := range []string{"/once/", "/search/"} {
		g := NewWithT(t)
		u := newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
			req.Header.Del("After")
			streamUpTo(3)(nc, req)
		})
		a := newEntry(t, u).send(context.Background(), path, func(r *http.Request) { r.Header.Set("After", "2") })
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.body).To(Equal(event(1)+event(2)+event(3)), path)
	}
}

// Guards against evidence against a request whose answer without a length was complete, because its upstream restarts shortly afterwards.
func TestRestartAfterACompleteUnframedAnswerIsNoCrashOfItsRequest(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, "u", unframedStream(func(nc net.Conn) { _ = nc.Close() }))
	e := newEntry(t, u)
	e.announceProcess(u, 1, 1)
	g.Expect(sendParts(e, "first,other,own").body).To(Equal(event(1) + event(2)))
	e.announceProcess(u, 2, 2)
	g.Consistently(e.poison.Export, 300*time.Millisecond).Should(BeNil())
}

// Guards against an event that is forwarded only once the rest of the next one has arrived.
func TestEventBeforeAPartOfAChunkIsForwardedAtOnce(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		streamHead(nc, req)
		text := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s", len(event(1)), event(1), len(event(2)), event(2))
		_, _ = io.WriteString(nc, text[:len(text)-5])
		time.Sleep(700 * time.Millisecond)
		_, _ = io.WriteString(nc, text[len(text)-5:]+"\r\n0\r\n\r\n")
	})
	req, _ := http.NewRequest(http.MethodPost, newEntry(t, u).url+"/stream/", strings.NewReader("body"))
	req.Host, req.Header = "h", http.Header{"Id": {"r1"}, "Key": {"k"}, "Wait": {"2000"}}
	started := time.Now()
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	first := make([]byte, len(event(1)))
	_, err = io.ReadFull(resp.Body, first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
	rest, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(first) + string(rest)).To(Equal(event(1) + event(2)))
}
