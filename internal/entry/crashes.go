package entry

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/quarantine"
)

const (
	// crashRing bounds reports that wait to be sent. More are dropped: each entry still counts the crashes it sees.
	crashRing = 256
	// crashSendTimeout bounds the wait for one link.
	crashSendTimeout = 200 * time.Millisecond
)

// crashNews is a crash that this entry has learnt of for the first time.
type crashNews struct {
	fingerprint string
	crash       quarantine.Crash
	at          time.Time
	// from is the link that brought it, nil when it was seen first-hand.
	from *link.Conn
}

// crashes is the ring of reports to send.
type crashes struct{ ring chan crashNews }

func newCrashes() *crashes { return &crashes{ring: make(chan crashNews, crashRing)} }

func (c *crashes) enqueue(news crashNews) {
	select {
	case c.ring <- news:
	default:
	}
}

// reportCrash tells the other entries of a crash seen here.
func (e *Entry) reportCrash(fingerprint string, crash quarantine.Crash) {
	e.log.Info("upstream crashed while it ran a request", "agent", crash.AgentID, "fingerprint", fingerprint)
	e.crashes.enqueue(crashNews{fingerprint: fingerprint, crash: crash, at: time.Now()})
}

// runCrashes sends each crash once to every entry but the one that reported it. An entry passes on only what is new to it,
// so reports reach entries that have no link to the first one and end there.
func (e *Entry) runCrashes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case news := <-e.crashes.ring:
			for _, conn := range e.links.all(message.RoleEntry) {
				if conn != news.from {
					sendCrash(ctx, conn, news)
				}
			}
		}
	}
}

func sendCrash(ctx context.Context, conn *link.Conn, news crashNews) {
	ctx, stop := context.WithTimeout(ctx, crashSendTimeout)
	defer stop()
	_ = conn.Send(ctx, &message.CrashReport{
		Fingerprint: news.fingerprint, AgentID: news.crash.AgentID, UpstreamIncarnation: news.crash.Incarnation,
		BesideSuspect: news.crash.BesideSuspect,
		AgeMillis:     time.Since(news.at).Milliseconds(),
	})
}
