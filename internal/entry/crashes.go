package entry

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/quarantine"
)

const (
	// crashQueueSize bounds the queue of reports to send. Reports beyond it are dropped: each entry still counts the crashes that it
	// detects itself.
	crashQueueSize = 256
	// crashSendTimeout bounds the time to send a report on one link.
	crashSendTimeout = 200 * time.Millisecond
)

// crashReport describes an upstream crash that this entry did not know of before.
type crashReport struct {
	// fingerprint identifies the request that the upstream ran.
	fingerprint string
	crash       quarantine.Crash
	detectedAt  time.Time
	// source is the link on which the report arrived, nil when this entry detected the crash.
	source *link.Conn
}

// crashQueue holds the crash reports that are still to be sent to other entries.
type crashQueue struct{ queue chan crashReport }

func newCrashQueue() *crashQueue { return &crashQueue{queue: make(chan crashReport, crashQueueSize)} }

// enqueue adds a report, or drops it when the queue is full.
func (c *crashQueue) enqueue(report crashReport) {
	select {
	case c.queue <- report:
	default:
	}
}

// reportCrash queues the report of a crash that this entry has detected, to be sent to the other entries.
func (e *Entry) reportCrash(fingerprint string, crash quarantine.Crash) {
	e.log.Info("upstream crashed while it ran a request", "agent", crash.AgentID, "fingerprint", fingerprint)
	e.crashReports.enqueue(crashReport{fingerprint: fingerprint, crash: crash, detectedAt: time.Now()})
}

// broadcastCrashes sends each report once to every linked entry except the one from which it came. An entry forwards only reports
// that are new to it, so reports also reach entries without a link to the first one, and forwarding ends.
func (e *Entry) broadcastCrashes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case report := <-e.crashReports.queue:
			for _, conn := range e.links.byRole(message.RoleEntry) {
				if conn != report.source {
					sendCrash(ctx, conn, report)
				}
			}
		}
	}
}

// sendCrash sends one report on one link. If that fails, the report is dropped, as it is when the queue is full.
func sendCrash(ctx context.Context, conn *link.Conn, report crashReport) {
	ctx, stop := context.WithTimeout(ctx, crashSendTimeout)
	defer stop()
	_ = conn.Send(ctx, &message.CrashReport{
		Fingerprint: report.fingerprint, AgentID: report.crash.AgentID, UpstreamIncarnation: report.crash.Incarnation,
		BesideSuspect: report.crash.BesideSuspect,
		AgeMillis:     time.Since(report.detectedAt).Milliseconds(),
	})
}
