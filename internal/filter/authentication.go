package filter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/pimentohead/pimentohead/internal/config"
)

// noConfigRetryAfter is the Retry-After sent while the entry has no configuration yet.
const noConfigRetryAfter = time.Second

// Authentication identifies the caller by the SHA-256 hash of its API key, and sets the caller and the configuration in force.
type Authentication struct {
	Holder *config.Holder
}

// Apply implements Filter.
func (f Authentication) Apply(ctx context.Context, x *Exchange, next Handler) error {
	x.Active = f.Holder.Current()
	if x.Active == nil {
		failure := refuse(http.StatusServiceUnavailable, "no-configuration", "this entry has no configuration yet")
		failure.RetryAfter = noConfigRetryAfter
		return failure
	}
	scheme, key, ok := strings.Cut(x.Request.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return refuse(http.StatusUnauthorized, "no-credentials", "an API key is required: Authorization: Bearer <key>")
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	hash := hex.EncodeToString(sum[:])
	for i := range x.Active.Config.Callers {
		// Hashes are compared, so the timing of the comparison does not help to guess a key.
		if strings.EqualFold(x.Active.Config.Callers[i].KeySHA256, hash) {
			x.Caller = x.Active.Config.Callers[i]
			return next(ctx, x)
		}
	}
	return refuse(http.StatusUnauthorized, "unknown-caller", "the API key is not known")
}
