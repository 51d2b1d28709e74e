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

// noConfigRetry is the Retry-After of an entry that has no configuration yet.
const noConfigRetry = time.Second

// Authentication finds the caller by the hash of its API key, in the configuration in force.
type Authentication struct {
	Holder *config.Holder
}

// Apply implements Filter.
func (f Authentication) Apply(ctx context.Context, x *Exchange, next Handler) error {
	x.Active = f.Holder.Current()
	if x.Active == nil {
		failure := refuse(http.StatusServiceUnavailable, "no-configuration", "this entry has no configuration yet")
		failure.RetryAfter = noConfigRetry
		return failure
	}
	scheme, key, ok := strings.Cut(x.Request.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return refuse(http.StatusUnauthorized, "no-credentials", "an API key is required: Authorization: Bearer <key>")
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	hash := hex.EncodeToString(sum[:])
	for i := range x.Active.Config.Callers {
		// The comparison is of hashes, so its timing reveals nothing that helps to find a key.
		if strings.EqualFold(x.Active.Config.Callers[i].KeySHA256, hash) {
			x.Caller = x.Active.Config.Callers[i]
			return next(ctx, x)
		}
	}
	return refuse(http.StatusUnauthorized, "unknown-caller", "the API key is not known")
}
