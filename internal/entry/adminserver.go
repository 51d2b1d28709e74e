package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/admin"
)

// Reasons why the entry is not ready.
var (
	errLeaving  = errors.New("leaving")
	errNoConfig = errors.New("no configuration yet")
	errStarting = errors.New("not all pools have an upstream yet")
)

func (e *Entry) adminServer() *http.Server {
	handler := admin.NewHandler(admin.Config{
		Tokens: e.settings.Entry.OperatorTokensSHA256, Configuration: e.syncer, Status: e, Ready: e.ready,
		Metrics: e.telemetry.Handler(), Log: e.log,
	})
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: hardHeaderBytes,
	}
}

// ready returns why the balancer should not send requests here, or nil.
func (e *Entry) ready() error {
	switch {
	case e.leaving.Load():
		return errLeaving
	case e.holder.Current() == nil:
		return errNoConfig
	case !e.startup.over(e.knowsAllPools):
		return errStarting
	default:
		return nil
	}
}

// knowsAllPools tells whether each pool of the configuration has an upstream that accepts work, here or behind another entry.
func (e *Entry) knowsAllPools() bool {
	for _, pool := range e.holder.Current().Config.Pools {
		if !e.router.Accepting(pool.Name, pool.Kind) && len(e.Accepting(pool.Name, pool.Kind)) == 0 {
			return false
		}
	}
	return true
}

// startup is the time from the first configuration until the entry has learnt of the upstreams. Without it the balancer sends
// requests to an entry that has to refuse them.
type startup struct {
	bound time.Duration
	// mu guards the fields below.
	mu       sync.Mutex
	began    time.Time
	finished bool
}

// over tells whether the startup has ended: known returned true once, or the bound has passed, as a pool may have no upstream.
func (s *startup) over(known func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() {
		s.began = time.Now()
	}
	s.finished = s.finished || time.Since(s.began) >= s.bound || known()
	return s.finished
}
