package loader

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	// reportInterval is the time between requests for a report. They cost nothing, as the upstream runs on the same instance.
	reportInterval = 100 * time.Millisecond
	// maxFailedReports is the number of consecutive failed report requests after which the upstream counts as down.
	maxFailedReports = 2
	// MaxSilence bounds a call to the upstream. It is longer than the 1.5 s for which a sound upstream may be silent.
	MaxSilence = 2 * time.Second
	// confirmTimeout bounds a request for a report once there was none for MaxSilence. An upstream that does not answer this one either
	// counts as down, whereas one whose instance has stood still answers.
	confirmTimeout = 600 * time.Millisecond
)

// poll fetches and publishes a report every reportInterval.
func (l *Loader) poll(ctx context.Context) {
	for ctx.Err() == nil {
		l.pollOnce(ctx)
		pause.For(ctx, reportInterval)
	}
}

// pollOnce fetches one report, records it, logs changes of the upstream's reachability, and publishes the result. Several may run at once: the
// result of a request that was sent before another one that was answered is dropped, as it is older.
func (l *Loader) pollOnce(ctx context.Context) {
	requestedAt := time.Now()
	report, err := l.requestReport(ctx, requestedAt)
	if ctx.Err() != nil {
		return
	}
	l.publishMu.Lock()
	defer l.publishMu.Unlock()
	l.mu.Lock()
	if requestedAt.Before(l.reportRequestedAt) {
		l.mu.Unlock()
		l.log.Info("late result of a request for a report dropped", "after_ms", time.Since(requestedAt).Milliseconds(), "failed", err != nil,
			"born", report.StartedAtMillis)
		return
	}
	wasDown := l.failures >= maxFailedReports
	restarted := false
	switch {
	case err == nil:
		restarted = l.hasReport && l.report.StartedAtMillis != report.StartedAtMillis
		l.report, l.hasReport, l.failures, l.answeredAt = report, true, 0, time.Now()
		l.reportRequestedAt = requestedAt
		l.calls.recordAnswer(requestedAt, l.answeredAt)
	case requestedAt.After(l.failedAt): // Requests that fail at the same time count once.
		l.failures, l.failedAt = l.failures+1, time.Now()
	}
	down, swapping, last := l.failures >= maxFailedReports, l.swapping, l.report
	doubtful := l.doubt.concerns(last)
	l.mu.Unlock()
	switch {
	case down && !wasDown:
		l.log.Info("upstream does not answer", "cause", err.Error())
	case wasDown && !down:
		l.log.Info("upstream answers again", "born", report.StartedAtMillis)
	case restarted:
		l.log.Info("upstream was restarted", "born", report.StartedAtMillis)
	}
	if err != nil && !down {
		return // The last report is not news: published again, it would show an upstream that has just ended as running.
	}
	l.publish(last, swapping || doubtful || last.OrderRunning, down)
}

// requestReport requests a report and waits for it until the upstream has been silent for MaxSilence, but at least for confirmTimeout.
func (l *Loader) requestReport(ctx context.Context, now time.Time) (Report, error) {
	l.mu.Lock()
	limit := max(l.answeredAt.Add(MaxSilence).Sub(now), confirmTimeout)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return l.engine.Report(ctx)
}

// ServesVersion reports whether any layers of a version are loaded, according to the newest report.
func (l *Loader) ServesVersion(model string, version int64) bool {
	report, _ := l.current()
	return CountLoadedLayers(report.Models, model, version) > 0
}

// ServesAnyVersion reports whether layers of any version of a model are loaded, according to the newest report.
func (l *Loader) ServesAnyVersion(model string) bool {
	report, _ := l.current()
	return servesAnyVersion(report, model)
}

// current returns the newest report, and whether the upstream is answering: false if the last request for a report failed or none
// has succeeded yet.
func (l *Loader) current() (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report, l.hasReport && l.failures == 0
}

// lastReportFailed reports whether the last report request failed. It is false before the first one.
func (l *Loader) lastReportFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures > 0
}

// servesAnyVersion reports whether layers of any version of a model are loaded.
func servesAnyVersion(r Report, model string) bool {
	for _, m := range r.Models {
		if m.Model == model && (m.To > m.From || m.From == 0 && m.To == 0 && m.Version > 0) {
			return true
		}
	}
	return false
}
