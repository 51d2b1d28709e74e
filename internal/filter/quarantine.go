package filter

import (
	"context"
	"net/http"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/quarantine"
)

// Quarantine refuses requests whose fingerprint has crashed two upstreams, and marks as suspect those whose fingerprint has crashed
// one.
type Quarantine struct {
	List *quarantine.List
}

// Apply implements Filter.
func (f Quarantine) Apply(ctx context.Context, x *Exchange, next Handler) error {
	x.Fingerprint = quarantine.Fingerprint(x.Caller.Name, x.Request.URL.RequestURI(), x.Body)
	switch f.List.Level(x.Fingerprint) {
	case quarantine.Refused:
		failure := refuse(http.StatusServiceUnavailable, string(message.ReasonQuarantined),
			"this request crashed two upstreams and is refused for a while")
		failure.RetryAfter = f.List.Retention()
		return failure
	case quarantine.Suspect:
		x.Suspect = true
	}
	return next(ctx, x)
}
