package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/poison"
)

// mortalUpstream is an upstream whose process ends when it begins to answer a request with a deadly part: it closes its listener and
// all its connections.
type mortalUpstream struct {
	*upstream
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	ended    bool
}

// deadlyPart is the part of a prompt on which mortalUpstream ends.
const deadlyPart = "deadly"

// newMortalUpstreams starts n upstreams that stream three events in answer to other requests.
func newMortalUpstreams(t *testing.T, n int) (all []*mortalUpstream, plain []*upstream) {
	for i := range n {
		m := &mortalUpstream{}
		m.upstream, m.listener = listenUpstream(t, fmt.Sprintf("m%d", i), func(nc net.Conn, req *http.Request) {
			m.mu.Lock()
			m.conns = append(m.conns, nc)
			m.mu.Unlock()
			if strings.Contains(req.Header.Get("Parts"), deadlyPart) {
				streamHead(nc, req)
				m.end()
				return
			}
			streamUpTo(3)(nc, req)
		})
		all, plain = append(all, m), append(plain, m.upstream)
	}
	return all, plain
}

// end closes the listener and all connections.
func (m *mortalUpstream) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	_ = m.listener.Close()
	for _, nc := range m.conns {
		_ = nc.Close()
	}
}

// countEnded returns the number of upstreams that have ended.
func countEnded(all []*mortalUpstream) (n int) {
	for _, m := range all {
		m.mu.Lock()
		if m.ended {
			n++
		}
		m.mu.Unlock()
	}
	return n
}

// sendParts sends a request for a stream whose prompt has the given parts, the last one being its own.
func sendParts(e *entry, parts string) callResult {
	return e.send(context.Background(), "/stream/1", func(r *http.Request) {
		r.Header.Set("Parts", parts)
		r.Header.Set("Id", parts)
	})
}

// Guards against requests with one part that ends upstreams being sent to upstream after upstream, because nothing links the end of an
// upstream with what the requests there had in common; and against sound requests being refused for the parts that they share with
// them.
func TestPartThatEndsUpstreamsIsRefused(t *testing.T) {
	g := NewWithT(t)
	all, upstreams := newMortalUpstreams(t, 12)
	e := newEntry(t, upstreams...)
	g.Expect(sendParts(e, "first,own0").status).To(Equal(http.StatusOK))
	for i := range 8 {
		g.Expect(sendParts(e, fmt.Sprintf("first,%s,own%d", deadlyPart, i)).status).NotTo(Equal(http.StatusOK))
		sound := sendParts(e, fmt.Sprintf("first,sound,own%d", i))
		g.Expect(sound.err).NotTo(HaveOccurred())
		g.Expect(sound.status).To(Equal(http.StatusOK))
	}
	g.Expect(countEnded(all)).To(BeNumerically("<=", 5))
	refused := sendParts(e, "other,"+deadlyPart+",own")
	g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(refused.body).To(ContainSubstring(`"outcome":"not-run"`))
}

// breakStream is a script of an upstream that begins to answer, closes the connection and goes on running.
func breakStream(nc net.Conn, req *http.Request) {
	streamHead(nc, req)
	_ = nc.Close()
}

// Guards against connections that an upstream resets being taken for crashes: the requests on them are sound.
func TestResetsAreNoCrashes(t *testing.T) {
	g := NewWithT(t)
	var broken atomic.Int32
	var upstreams []*upstream
	for i := range 4 {
		upstreams = append(upstreams, newUpstream(t, fmt.Sprintf("u%d", i), func(nc net.Conn, req *http.Request) {
			if broken.Add(1) <= 9 {
				breakStream(nc, req)
				return
			}
			streamUpTo(3)(nc, req)
		}))
	}
	e := newEntry(t, upstreams...)
	for i := range 4 {
		sendParts(e, fmt.Sprintf("first,new,own%d", i))
	}
	g.Expect(sendParts(e, "first,new,own").status).To(Equal(http.StatusOK))
	g.Expect(e.poison.Export()).To(BeNil())
}

// Guards against an order that callers repeat, is answered each time, and is refused for minutes because upstreams ended under it for other causes.
func TestOrderThatIsAnsweredIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	const crashes = 3
	var upstreams []*upstream
	for i := range crashes + 1 {
		m := &mortalUpstream{}
		m.upstream, m.listener = listenUpstream(t, fmt.Sprint("m", i), func(nc net.Conn, req *http.Request) {
			if req.Header.Get("Crash") != "" {
				_ = nc.Close()
				m.end()
				return
			}
			respondOK(nc, req)
		})
		upstreams = append(upstreams, m.upstream)
	}
	e := newEntry(t, upstreams...)
	for i := range crashes {
		g.Expect(e.send(context.Background(), "/order/same", nil).status).To(Equal(http.StatusOK), "before crash %d", i)
		e.send(context.Background(), "/order/same", func(r *http.Request) { r.Header.Set("Crash", "1") })
		g.Eventually(func() int {
			if evidence := e.poison.Export(); evidence != nil {
				return len(evidence.Crashes)
			}
			return 0
		}, "5s").Should(Equal(i+1), "crashes that are known")
	}
	g.Expect(e.poison.Verdicts()).To(BeEmpty())
	g.Expect(e.send(context.Background(), "/order/same", nil).status).To(Equal(http.StatusOK))
}

// Guards against the end of an upstream that was leaving being blamed on the requests that were still running there.
func TestPlannedExitIsNoCrash(t *testing.T) {
	g := NewWithT(t)
	var e *entry
	var upstreams []*upstream
	for i := range 4 {
		id := fmt.Sprintf("u%d", i)
		var l net.Listener
		var u *upstream
		u, l = listenUpstream(t, id, func(nc net.Conn, req *http.Request) {
			streamHead(nc, req)
			e.state.ApplyUpstream(fleet.UpstreamRecord{ID: id, Revision: int64(100 + i), Announcement: &catalog.Upstream{ID: id, Service: "s",
				Address: u.addr, DataCentre: "z", State: catalog.Draining, Slots: 6, Sequence: 1}})
			_ = l.Close()
			_ = nc.Close()
		})
		upstreams = append(upstreams, u)
	}
	e = newEntry(t, upstreams...)
	g.Expect(sendParts(e, "first,new,own").status).NotTo(Equal(http.StatusOK))
	time.Sleep(400 * time.Millisecond)
	g.Expect(e.poison.Export()).To(BeNil())
}

// Guards against attempts with a part that crashes upstreams that wait at an upstream until they begin there, although the verdict on the
// part has been reached.
func TestVerdictEndsWaitingAttempts(t *testing.T) {
	g := NewWithT(t)
	arrived := make(chan struct{}, 2)
	u := newUpstream(t, "u", func(nc net.Conn, _ *http.Request) {
		arrived <- struct{}{}
		_, _ = nc.Read(make([]byte, 1)) // Returns when the connection is closed.
	})
	e := newEntry(t, u)
	result := make(chan callResult, 1)
	go func() { result <- sendParts(e, "first,"+deadlyPart+",own") }()
	g.Eventually(arrived).Should(Receive())
	for i := range 3 {
		e.poison.Record(message.CrashedAttempt{Upstream: fmt.Sprintf("m%d", i), Request: "r", Begun: true,
			Subjects: []string{poison.PartSubject(deadlyPart)}})
	}
	var got callResult
	g.Eventually(result, "1s").Should(Receive(&got))
	g.Expect(got.status).To(Equal(http.StatusBadGateway))
	g.Expect(got.body).To(ContainSubstring(`"outcome":"unknown"`))
}

// Guards against a sound stream that is not resumed, or is blamed, when its upstream ends under a request that ran beside it.
func TestSoundStreamSurvivesTheEndOfItsUpstream(t *testing.T) {
	g := NewWithT(t)
	all, upstreams := newMortalUpstreams(t, 4)
	e := newEntry(t, upstreams...)
	for i := range 3 {
		g.Expect(sendParts(e, fmt.Sprintf("beside,own%d", i)).status).To(Equal(http.StatusOK))
	}
	var wg sync.WaitGroup
	results := make([]callResult, 12)
	for i := range results {
		wg.Go(func() {
			part := "beside"
			if i == 5 {
				part = deadlyPart
			}
			results[i] = sendParts(e, fmt.Sprintf("%s,concurrent%d", part, i))
		})
	}
	wg.Wait()
	g.Expect(countEnded(all)).To(BeNumerically("<=", 3))
	for i, r := range results {
		if i != 5 {
			g.Expect(r.status).To(Equal(http.StatusOK), "request %d", i)
			g.Expect(strings.Count(r.body, "data:")).To(Equal(3))
		}
	}
}

// Guards against all requests of a customer being taken for one request that is repeated, because their bodies are equal and only the
// prompts tell them apart: sound ones were refused after three crashes beside which they ran.
func TestRequestsWithEqualBodiesAreToldApartByTheirPrompts(t *testing.T) {
	g := NewWithT(t)
	_, upstreams := newMortalUpstreams(t, 6)
	e := newEntry(t, upstreams...)
	var mu sync.Mutex
	shared := map[string]map[string]bool{} // the requests by subject
	e.poison.Observe(func(news *message.CrashEvidence) {
		mu.Lock()
		defer mu.Unlock()
		for _, a := range news.Crashes {
			for _, s := range a.Subjects {
				if shared[s] == nil {
					shared[s] = map[string]bool{}
				}
				shared[s][a.Request] = true
			}
		}
	})
	for _, first := range []string{"a", "b"} {
		sendParts(e, first+","+deadlyPart+",own")
	}
	mu.Lock()
	defer mu.Unlock()
	g.Expect(shared[poison.PartSubject(deadlyPart)]).To(HaveLen(2))
	for subject, requests := range shared {
		if subject != poison.PartSubject(deadlyPart) {
			g.Expect(requests).To(HaveLen(1), subject)
		}
	}
}

// refusedOnce returns an entry that knows that deadlyPart crashes upstreams and has refused a request with it.
func refusedOnce(t *testing.T) *entry {
	e := engineEntry(t)
	for i := range 3 {
		e.poison.Record(message.CrashedAttempt{Upstream: fmt.Sprint("u", i), Request: fmt.Sprint("r", i), Begun: true,
			Subjects: []string{poison.PartSubject(deadlyPart)}})
	}
	result := sendParts(e, deadlyPart+",own")
	g := NewWithT(t)
	g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(result.body).To(ContainSubstring("crashes-upstreams"))
	return e
}

// Guards against sound requests that yield to more urgent ones, beside requests of their class that crash upstreams, until fewer than
// half of them are served.
func TestClassBesideDeadlyRequestsIsProtected(t *testing.T) {
	g := NewWithT(t)
	e := refusedOnce(t)
	const class = "s/0/1s" // The service, priority and target of the route.
	for i := range 100 {
		e.limiter.Record("quotes", placement.Finished{Served: i < 70})
		e.limiter.Record(class, placement.Finished{Served: i < 55})
		e.limiter.Record("unrelated", placement.Finished{Served: i < 55})
	}
	g.Expect(e.limiter.MaxWait("unrelated", 2, time.Second)).NotTo(BeZero())
	g.Expect(e.limiter.MaxWait(class, 2, time.Second)).To(BeZero())
}

// Guards against requests that are refused for crashing upstreams and count as served badly: less urgent classes were refused in favour
// of theirs, and their own counted as starved.
func TestRequestsThatCrashUpstreamsAreNotMissed(t *testing.T) {
	g := NewWithT(t)
	e := refusedOnce(t)
	for i := range 20 {
		g.Expect(sendParts(e, fmt.Sprintf("%s,own%d", deadlyPart, i)).status).To(Equal(http.StatusServiceUnavailable))
	}
	g.Expect(e.limiter.MaxWait("another class", 2, time.Second)).To(BeZero())
}

// Guards against losing the crash of an upstream that accepts connections again at once, because no report of its agent was known then:
// the part that crashed it reached one upstream more for each such crash.
func TestRestartThatBecomesKnownLaterIsACrash(t *testing.T) {
	for name, learn := range map[string]func(*entry, *upstream){
		"from its agent": func(e *entry, u *upstream) {
			e.loads.Apply([]message.UpstreamLoad{{Address: u.addr, StartedAtMillis: 2}})
		},
		"from the list": func(e *entry, u *upstream) { e.announceProcess(u, 2, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			u := newUpstream(t, "u", breakStream)
			e := newEntry(t, u)
			e.announceProcess(u, 1, 1)
			g.Expect(sendParts(e, "first,"+deadlyPart+",own").status).NotTo(Equal(http.StatusOK))
			g.Expect(e.poison.Export()).To(BeNil())
			learn(e, u)
			g.Eventually(e.poison.Export, "5s").Should(HaveField("Crashes", ConsistOf(
				And(HaveField("Upstream", "u"), HaveField("StartedAtMillis", int64(1)), HaveField("Begun", true)))))
		})
	}
}

// Guards against a retry that crashes one upstream more at an entry that has just started, because it has no reports yet and takes an
// upstream that accepts connections again for one that goes on running: the verdict of the other entries arrives meanwhile.
func TestRetryWaitsForVerdictWithoutReports(t *testing.T) {
	g := NewWithT(t)
	var e *entry
	var runs atomic.Int32
	var upstreams []*upstream
	for i := range 3 {
		upstreams = append(upstreams, newUpstream(t, fmt.Sprint("u", i), func(nc net.Conn, req *http.Request) {
			runs.Add(1)
			breakStream(nc, req)
			time.Sleep(20 * time.Millisecond)
			for j := range 3 {
				e.poison.Record(message.CrashedAttempt{Upstream: fmt.Sprint("m", j), Request: "r", Begun: true,
					Subjects: []string{poison.PartSubject(deadlyPart)}})
			}
		}))
	}
	e = newEntry(t, upstreams...)
	result := sendParts(e, "first,"+deadlyPart+",own")
	g.Expect(result.status).To(Equal(http.StatusBadGateway))
	g.Expect(result.body).To(ContainSubstring("crashes-upstreams"))
	g.Expect(runs.Load()).To(Equal(int32(1)))
}
