package loader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	// orderTimeout is how long a load order may run before it is repeated.
	orderTimeout = 8 * time.Second
	// maxOrderAttempts is how often an order is tried that was not sent: upstreams close some connections after an answer, and a silent upstream
	// makes the verification too old.
	maxOrderAttempts = 3
)

// errLoadedMeanwhile means that an earlier order, whose outcome was unknown, was carried out.
var errLoadedMeanwhile = errors.New("loader: load not ordered because the version is loaded")

// errTooLate means that a version was not loaded because it may not be used any more once it is loaded.
var errTooLate = errors.New("loader: load not ordered because the version may not be used any more when it completes")

// waitTurn waits until an upstream that serves another version may interrupt its requests. DrainLead before that, it reports the
// upstream as swapping and verifies the staged chunks again, so that little is left to do in its turn. An upstream without a version, or with one
// that must not serve requests, need not wait.
func (l *Loader) waitTurn(ctx context.Context, target Target, verified *verification) error {
	if report, _ := l.current(); !servesAnyVersion(report, target.Model) || l.isBad(report) {
		return nil
	}
	turn := target.turnAt(time.Now())
	l.setNextTurn(turn)
	pause.For(ctx, time.Until(turn.Add(-target.DrainLead)))
	if ctx.Err() == nil {
		l.setSwapping(true)
		l.pollOnce(ctx)
		if err := l.verifyAgain(ctx, target, verified); err != nil {
			return err
		}
		pause.For(ctx, time.Until(turn))
	}
	return ctx.Err()
}

// plannedLoad is a load of which all chunks are staged.
type plannedLoad struct {
	Target
	// startedAtMillis is the start time of the upstream's process, beside which the chunks are staged.
	startedAtMillis int64
	verified        *verification
	// verifiedAt is when the verification ended.
	verifiedAt time.Time
	// repeat is set if the version is loaded already, but has to be loaded again, see doubtfulLoad.
	repeat bool
}

// load verifies the staged chunks again, sends the load order and waits until the load has completed. An order with an unknown outcome is treated as
// accepted. The order is not cancelled when ctx ends, so that it is not carried out while a newer version is staged. Without an order, it returns
// nil if the upstream has loaded the version meanwhile, or an error of order. A doubtful load is checked; errBadLoad means that it has to be repeated.
func (l *Loader) load(ctx context.Context, p plannedLoad) error {
	var ordersBefore int64
	var err error
	for attempt := 1; attempt <= maxOrderAttempts; attempt++ {
		if err := l.verifyAgain(ctx, p.Target, p.verified); err != nil {
			return err
		}
		p.verifiedAt = time.Now()
		ordersBefore, err = l.order(ctx, p, attempt == maxOrderAttempts)
		if !errors.IsAny(err, ErrSessionEnded, errNotVerified) {
			break
		}
		l.log.Info("load not ordered", "model", p.Model, "version", p.Version, "born", p.startedAtMillis, "cause", err.Error())
	}
	switch {
	case errors.Is(err, errLoadedMeanwhile):
		return l.confirmLoad(ctx, p.Target)
	case errors.Is(err, ErrUnknownOutcome):
		l.recordUnanswered()
		l.log.Info("load order outcome unknown", "cause", err.Error())
	case err != nil:
		return err
	}
	if err := l.awaitLoad(ctx, p, ordersBefore); err != nil {
		return err
	}
	if p.repeat {
		l.replaceDoubt(p.newDoubt())
	}
	return l.confirmLoad(ctx, p.Target)
}

// newDoubt returns the load as a doubtful one that has not been checked.
func (p plannedLoad) newDoubt() *doubtfulLoad {
	return &doubtfulLoad{model: p.Model, version: p.Version, startedAtMillis: p.startedAtMillis}
}

// order sends the load order to the process of the upstream whose staged data was verified, and returns that process's count of orders
// before. It sends none, and returns errAbandoned, if another process answers, errLoadedMeanwhile or
// errNewerLoaded if the version or a newer one is loaded, errTooLate if the version could not be used any more, and errNotVerified if the
// upstream has been silent since the verification, unless lastAttempt is set.
func (l *Loader) order(ctx context.Context, p plannedLoad, lastAttempt bool) (ordersBefore int64, err error) {
	session := l.engine.NewSession()
	defer session.Close()
	report, err := session.Report(ctx)
	switch {
	case err != nil:
		return 0, err
	case ctx.Err() != nil:
		return 0, ctx.Err()
	case report.StartedAtMillis != p.startedAtMillis:
		return 0, errAbandoned
	case report.NewestCompleteVersion(p.Model, p.Layers) > p.Version:
		return 0, errNewerLoaded
	case report.HasVersion(p.Model, p.Version, p.Layers) && !p.repeat:
		return 0, errLoadedMeanwhile
	case p.isTooLate(time.Now()):
		return 0, errTooLate
	case time.Since(p.verifiedAt) > maxVerificationAge && !lastAttempt:
		return 0, errNotVerified
	}
	order := Order{Model: p.Model, Version: p.Version, Interrupt: true, OrdersAccepted: report.OrdersAccepted}
	l.log.Info("load ordered", "model", p.Model, "version", p.Version, "born", p.startedAtMillis,
		"orders_before", report.OrdersAccepted, "active", report.Active, "queued", report.Queued,
		"oldest_verification_ms", p.verified.age(time.Now()).Milliseconds())
	return report.OrdersAccepted, l.sendOrder(context.WithoutCancel(ctx), session, order, p)
}

// sendOrder sends the load order. The load is doubtful until the upstream has accepted it within maxAgeAtLoad of the oldest verification. A load
// that is repeated stays doubtful until it has completed.
func (l *Loader) sendOrder(ctx context.Context, session Session, order Order, p plannedLoad) error {
	if p.repeat {
		return session.Load(ctx, order)
	}
	previous := l.replaceDoubt(p.newDoubt())
	err := session.Load(ctx, order)
	age := p.verified.age(time.Now())
	switch {
	case err == nil && age <= maxAgeAtLoad:
		l.replaceDoubt(nil)
	case errors.IsAny(err, ErrRefused, ErrSessionEnded): // Not carried out. An earlier order may have been.
		l.replaceDoubt(previous)
	default:
		l.log.Info("load doubtful", "model", order.Model, "version", order.Version, "born", p.startedAtMillis,
			"oldest_verification_ms", age.Milliseconds(), "answered", err == nil)
	}
	return err
}

// awaitLoad waits until the version is loaded. It returns an error if the order ended without loading the version, the upstream
// stopped answering, or orderTimeout has passed. The order counts as ended if the upstream reports no order in progress more than
// 1 s after the wait began. ordersBefore is the upstream's count of accepted orders before this order. A version that is loaded again is
// reported as loaded all the while, so that the end of its order counts.
func (l *Loader) awaitLoad(ctx context.Context, p plannedLoad, ordersBefore int64) error {
	started := time.Now()
	for time.Since(started) < orderTimeout {
		pause.For(ctx, loadingInterval)
		l.pollOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		report, answering := l.current()
		repeated := report.OrdersAccepted > ordersBefore && !report.OrderRunning
		switch {
		case !answering:
			return errors.New("loader: upstream stopped answering during a load")
		case report.HasVersion(p.Model, p.Version, p.Layers) && (repeated || !p.repeat):
			l.log.Info("version loaded", "model", p.Model, "version", p.Version,
				"took_ms", time.Since(started).Milliseconds(), "after_naming_ms", p.sinceNaming().Milliseconds())
			return nil
		case !report.OrderRunning && time.Since(started) > time.Second:
			return errors.Newf("loader: load order ended without loading the version (orders accepted: %d before, %d after)",
				ordersBefore, report.OrdersAccepted)
		}
	}
	return errors.New("loader: load order timed out")
}
