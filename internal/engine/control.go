package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/bodyread"
	"github.com/pimentohead/pimentohead/internal/swap"
)

// maxControlResponseBytes bounds the response body of a control request. A longer body is an error.
const maxControlResponseBytes = 64 << 10

var _ swap.Engine = (*Upstream)(nil)

// Health returns nil when the upstream answers GET /health with a success status. Otherwise the error matches ErrUnhealthy or
// ErrControl, and also ErrDisconnected when the connection could not be opened or was lost.
func (u *Upstream) Health(ctx context.Context) error {
	_, err := u.HealthConnReused(ctx)
	return err
}

// HealthConnReused is like Health and also reports whether the check reused a connection. If a check opens a new connection soon after
// another check, the upstream has closed the earlier connection.
func (u *Upstream) HealthConnReused(ctx context.Context) (reused bool, err error) {
	var reusedConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reusedConn.Store(i.Reused) }}
	code, _, err := u.doControl(httptrace.WithClientTrace(ctx, trace), http.MethodGet, "/health", nil)
	if err != nil {
		return false, err
	}
	if code >= http.StatusMultipleChoices {
		return false, errors.Wrapf(ErrUnhealthy, "status %d", code)
	}
	return reusedConn.Load(), nil
}

// Status implements swap.Engine.
func (u *Upstream) Status(ctx context.Context) (swap.EngineStatus, error) {
	var status swap.EngineStatus
	code, answer, err := u.doControl(ctx, http.MethodGet, "/control/status", nil)
	if err != nil {
		return status, err
	}
	if code != http.StatusOK {
		return status, errors.Wrapf(ErrControl, "status: HTTP %d", code)
	}
	if err := json.Unmarshal(answer, &status); err != nil {
		return status, errors.Mark(errors.Wrap(err, "engine: status"), ErrControl)
	}
	return status, nil
}

// loadRequest is the body of POST /control/load.
type loadRequest struct {
	Version string `json:"version"`
	Source  string `json:"source"`
	Fence   uint64 `json:"fence"`
}

// Load implements swap.Engine. The error matches ErrStaleFencingToken when the engine refused the fencing token, and otherwise
// ErrControl.
func (u *Upstream) Load(ctx context.Context, version, source string, fencingToken uint64) error {
	payload, err := json.Marshal(loadRequest{Version: version, Source: source, Fence: fencingToken})
	if err != nil {
		return errors.Mark(err, ErrControl)
	}
	code, _, err := u.doControl(ctx, http.MethodPost, "/control/load", payload)
	if err != nil {
		return err
	}
	switch {
	case code == http.StatusConflict:
		return errors.Wrapf(ErrStaleFencingToken, "fencing token %d", fencingToken)
	case code >= http.StatusMultipleChoices:
		return errors.Wrapf(ErrControl, "load: HTTP %d", code)
	}
	return nil
}

// doControl sends a control request or a health check, and returns the status code and the body of the response.
func (u *Upstream) doControl(ctx context.Context, method, path string, payload []byte) (int, []byte, error) {
	var interim interimCounter
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: interim.add})
	req, err := http.NewRequestWithContext(ctx, method, u.cfg.BaseURL+path, bytes.NewReader(payload))
	if err != nil {
		return 0, nil, errors.Mark(err, ErrControl)
	}
	if u.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+u.cfg.Token)
	}
	if payload != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := u.control.Do(req)
	if err != nil {
		return 0, nil, errors.Mark(classify(ctx, errors.Wrapf(err, "engine: %s", path)), ErrControl)
	}
	defer func() { _ = resp.Body.Close() }()
	if err = bodyread.CheckStatus(resp); err != nil {
		return 0, nil, errors.Mark(errors.Wrapf(err, "engine: %s", path), ErrControl)
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxControlResponseBytes+1))
	if err != nil {
		return 0, nil, errors.Mark(classify(ctx, errors.Wrapf(err, "engine: %s", path)), ErrControl)
	}
	if len(answer) > maxControlResponseBytes {
		return 0, nil, errors.Wrapf(ErrControl, "engine: %s: response is larger than %d bytes", path, maxControlResponseBytes)
	}
	return resp.StatusCode, answer, nil
}
