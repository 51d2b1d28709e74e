package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
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
