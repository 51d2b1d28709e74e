package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/relay"
)

// rolloutTime is the time allowed for a rollout in newEntry.
const rolloutTime = 8 * time.Second

// timeLeft is the part of rolloutTime that is left when a version is named in a test. It is enough to send a request to an upstream with
// the previous version.
const timeLeft = 1600 * time.Millisecond

// engineEntry starts a relay whose upstreams are engines with one layer.
func engineEntry(t *testing.T) *entry { return engineEntryWithCodec(t, codec{}) }

// engineEntryWithCodec is engineEntry with a codec.
func engineEntryWithCodec(t *testing.T, c codec) *entry {
	e := newEntryWithCodec(t, c)
	e.useEngine(t, 0)
	return e
}

// useEngine makes the upstreams of an entry engines with one layer, and sets the pause limit of all routes.
func (e *entry) useEngine(t *testing.T, maxPause time.Duration) {
	config := *e.state.Snapshot().Index.Config
	config.Version, config.Services = 2, []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 16, Layers: 1,
		StepTime: time.Millisecond, StepsPerPass: 1, PrefillTokensPerSecond: 1e6, MeanPromptTokens: 100, MeanAnswerTokens: 10,
		Models: []string{"m"}}}}
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].MaxPause = maxPause
	}
	NewWithT(t).Expect(e.state.ApplyConfig(&config, 100)).To(BeTrue())
}

// announce adds an upstream that has loaded a version, or changes the version of a known one.
func (e *entry) announce(u *upstream, version, sequence int64) {
	e.state.ApplyUpstream(fleet.UpstreamRecord{ID: u.id, Revision: 100 + sequence, Announcement: &catalog.Upstream{ID: u.id,
		Service: "s", Address: u.addr, DataCentre: "z", State: catalog.Ready, Slots: 16, Sequence: sequence,
		Models: []catalog.LoadedLayers{{Model: "m", Version: version, From: 0, To: 1}}}})
}

// nameVersion records that a version was named the given time ago.
func (e *entry) nameVersion(version int64, age time.Duration) {
	e.state.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: version}, Revision: 100 + version,
		NamedAt: time.Now().Add(-age)})
}

func generate(e *entry) callResult {
	return e.send(context.Background(), "/stream/", func(r *http.Request) { r.Header.Set("Model", "m"); r.Header.Set("Wait", "3000") })
}

// waitsFor returns a script that sends to received, does not answer for the given time, and then streams. If the entry closes the
// connection in that time, the script sends the time of that to closed instead.
func waitsFor(d time.Duration, received chan<- struct{}, closed chan<- time.Time) func(net.Conn, *http.Request) {
	return func(nc net.Conn, req *http.Request) {
		received <- struct{}{}
		_ = nc.SetReadDeadline(time.Now().Add(d))
		if _, err := nc.Read(make([]byte, 1)); !isTimeout(err) {
			closed <- time.Now()
			return
		}
		streamUpTo(3)(nc, req)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// entryWithOutdatedUpstream returns an entry with an upstream on which attempts wait until the time of its version ends, timeLeft from now. The
// upstream sends to closed when its attempt is ended. Another upstream with the newer version, current, is announced once the attempt waits.
func entryWithOutdatedUpstream(t *testing.T) (e *entry, current *upstream, closed chan time.Time) {
	received, closed := make(chan struct{}, 1), make(chan time.Time, 1)
	outdated := newUpstream(t, "u1", waitsFor(1800*time.Millisecond, received, closed))
	current = newUpstream(t, "u2", streamUpTo(3))
	e = engineEntry(t)
	e.announce(outdated, 1, 1)
	e.nameVersion(2, rolloutTime-timeLeft)
	go func() {
		<-received
		e.announce(current, 2, 2)
	}()
	return e, current, closed
}

// Guards against a request that begins on an outdated version: it was sent in time, waited in the queue of its upstream, and would
// begin there after the time of the version.
func TestAttemptThatHasNotBegunEndsWithTheTimeOfItsVersion(t *testing.T) {
	g := NewWithT(t)
	e, current, closed := entryWithOutdatedUpstream(t)
	mustEndBy := time.Now().Add(timeLeft)
	a := generate(e)
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(event(1) + event(2) + event(3)))
	var at time.Time
	g.Eventually(closed, "1s").Should(Receive(&at), "the entry lets the attempt begin on version 1")
	g.Expect(at).To(BeTemporally("<", mustEndBy.Add(-relay.VersionMargin-200*time.Millisecond)),
		"the close needs as long to reach the upstream as the attempt has waited")
	g.Expect(current.requests()).To(HaveLen(1))
}

// Guards against ending attempts for which there is no reason: the upstream has loaded the newer version while they waited, or they
// have begun.
func TestAttemptGoesOnIfItsVersionIsAllowed(t *testing.T) {
	for name, test := range map[string]struct {
		script     func(received chan<- struct{}, closed chan<- time.Time) func(net.Conn, *http.Request)
		loadsNewer bool
	}{
		"loaded meanwhile": {loadsNewer: true, script: func(received chan<- struct{}, closed chan<- time.Time) func(net.Conn, *http.Request) {
			return waitsFor(1700*time.Millisecond, received, closed)
		}},
		"begun": {script: func(received chan<- struct{}, _ chan<- time.Time) func(net.Conn, *http.Request) {
			return func(nc net.Conn, req *http.Request) {
				received <- struct{}{}
				streamHead(nc, req)
				for id := 1; id <= 3; id++ {
					chunk(nc, event(id))
					time.Sleep(600 * time.Millisecond)
				}
				_, _ = fmt.Fprint(nc, "0\r\n\r\n")
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			received, closed := make(chan struct{}, 1), make(chan time.Time, 1)
			u := newUpstream(t, "u1", test.script(received, closed))
			e := engineEntry(t)
			e.announce(u, 1, 1)
			e.nameVersion(2, rolloutTime-timeLeft)
			go func() {
				<-received
				if test.loadsNewer {
					e.announce(u, 2, 2)
				}
			}()
			a := generate(e)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(Equal(event(1) + event(2) + event(3)))
			g.Expect(u.requests()).To(HaveLen(1))
			g.Expect(closed).NotTo(Receive())
		})
	}
}

// Guards against an attempt that waits on an older version while a newer one is named, whose time then ends.
func TestVersionNamedDuringAnAttemptEndsIt(t *testing.T) {
	g := NewWithT(t)
	received, closed := make(chan struct{}, 1), make(chan time.Time, 1)
	outdated := newUpstream(t, "u1", waitsFor(1800*time.Millisecond, received, closed))
	current := newUpstream(t, "u2", streamUpTo(3))
	e := engineEntry(t)
	e.announce(outdated, 1, 1)
	go func() {
		<-received
		e.nameVersion(2, rolloutTime-timeLeft) // The record arrived late.
		e.announce(current, 2, 2)
	}()
	a := generate(e)
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(event(1) + event(2) + event(3)))
	g.Eventually(closed, "1s").Should(Receive(), "the entry lets the attempt begin on version 1")
}

// Guards against a request that is sent to an upstream with the previous version although it will not begin there in time: the reports
// show an idle server, but attempts reach it late, for example over a slow link behind the chunks of the new version.
func TestUpstreamOnWhichAttemptsBeginLateIsLeftOutEarlier(t *testing.T) {
	g := NewWithT(t)
	slow := newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		time.Sleep(900 * time.Millisecond)
		streamUpTo(3)(nc, req)
	})
	current := newUpstream(t, "u2", streamUpTo(3))
	e := engineEntry(t)
	e.announce(slow, 1, 1)
	g.Expect(generate(e).err).NotTo(HaveOccurred())
	e.announce(current, 2, 2)
	e.nameVersion(2, rolloutTime-timeLeft-time.Second)
	for range 8 {
		g.Expect(generate(e).err).NotTo(HaveOccurred())
	}
	g.Expect(slow.requests()).To(HaveLen(1), "only the request before the version was named")
	g.Expect(current.requests()).To(HaveLen(8))
}

// Guards against ending an attempt because of the version that the upstream held before it restarted: the newest load report is from the
// earlier process, but the upstream has announced itself again with the version that is required.
func TestReportOfEarlierProcessDoesNotEndAttempt(t *testing.T) {
	g := NewWithT(t)
	received, closed := make(chan struct{}, 1), make(chan time.Time, 1)
	u := newUpstream(t, "u1", waitsFor(300*time.Millisecond, received, closed))
	e := engineEntry(t)
	e.loads.Apply([]message.UpstreamLoad{{Address: u.addr, StartedAtMillis: 1,
		Models: []catalog.LoadedLayers{{Model: "m", Version: 1, From: 0, To: 1}}}})
	e.state.ApplyUpstream(fleet.UpstreamRecord{ID: u.id, Revision: 101, Announcement: &catalog.Upstream{ID: u.id, Service: "s",
		Address: u.addr, DataCentre: "z", State: catalog.Ready, Slots: 16, Sequence: 1, StartedAtMillis: 2,
		Models: []catalog.LoadedLayers{{Model: "m", Version: 2, From: 0, To: 1}}}})
	e.nameVersion(2, rolloutTime+time.Second)
	a := generate(e)
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.status).To(Equal(http.StatusOK))
	g.Expect(a.body).To(Equal(event(1) + event(2) + event(3)))
	g.Expect(closed).NotTo(Receive())
}

// Guards against a request that is sent to an upstream with the previous version so late that a delay that nothing has shown yet makes it
// begin after the time of that version.
func TestUpstreamIsLeftOutShortlyBeforeItsVersionEnds(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, "u1", streamUpTo(3))
	e := engineEntry(t)
	e.announce(u, 1, 1)
	e.nameVersion(2, rolloutTime-relay.VersionMargin-relay.MinVersionLead+100*time.Millisecond)
	a := generate(e)
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(u.requests()).To(BeEmpty())
}

// Guards against a request that is sent to an upstream whose version may not be used any more, because the connection to it opened late.
func TestLateConnectionToOutdatedUpstreamGetsNoRequest(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	u := serveUpstream(t, "u1", listenLate(t, 1500*time.Millisecond), streamUpTo(3))
	e := engineEntry(t)
	e.announce(u, 1, 1)
	e.nameVersion(2, 6400*time.Millisecond) // Version 1 may be used for 1.2 s more.
	a := generate(e)
	g.Expect(a.status).NotTo(Equal(http.StatusOK))
	g.Expect(u.requests()).To(BeEmpty())
}

// Guards against more runs than the route allows: an attempt that is ended with the time of its version may have begun on the upstream while
// the close is on its way.
func TestAttemptThatEndsWithItsVersionCountsAsARun(t *testing.T) {
	g := NewWithT(t)
	e, current, closed := entryWithOutdatedUpstream(t)
	e.setMaxAttempts(1)
	a := generate(e)
	g.Expect(a.status).To(Equal(http.StatusBadGateway))
	g.Expect(closed).To(Receive())
	g.Expect(current.requests()).To(BeEmpty())
}
