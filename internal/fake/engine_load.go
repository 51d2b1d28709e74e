package fake

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/blake3"
)

// Limits for reading one manifest or chunk.
const (
	fetchTimeout  = 30 * time.Second
	maxFetchBytes = 256 << 20
)

// LoadOrder is the body of POST /control/load, which starts the load of a version.
type LoadOrder struct {
	Version string `json:"version"`
	// Source is the base URL from which the engine reads the manifest and the chunks.
	Source string `json:"source"`
	// Fence is the fencing token of the order.
	Fence uint64 `json:"fence"`
}

// handleLoad starts a load, which replaces a pending one, and answers 202. It answers 409 to an old fencing token if Fencing is
// set.
func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	var order LoadOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.Fencing && order.Fence < e.status.Fence {
		http.Error(w, "old fencing token", http.StatusConflict)
		return
	}
	e.cancelLoad()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancelLoad = cancel
	e.status.Fence, e.status.PendingVersion = max(e.status.Fence, order.Fence), order.Version
	e.status.FailedVersion, e.status.LoadError = "", ""
	go e.runLoad(ctx, order)
	w.WriteHeader(http.StatusAccepted)
}

// runLoad reads a version and makes it the loaded one, or records the failure. A later order cancels ctx.
func (e *Engine) runLoad(ctx context.Context, order LoadOrder) {
	err := e.readVersion(ctx, order)
	if err == nil && !sleep(ctx, e.config.LoadTime) {
		return
	}
	if !e.faults.waitWhile(ctx, func(f Fault) bool { return f.Freeze || f.HoldLoad }) {
		return
	}
	if fault, _ := e.faults.get(); err == nil && fault.FailVersion == order.Version {
		err = fmt.Errorf("load of version %s fails by fault", order.Version)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	e.status.PendingVersion = ""
	if err != nil {
		e.status.FailedVersion, e.status.LoadError = order.Version, err.Error()
		return
	}
	e.status.LoadedVersion = order.Version
}

// readVersion reads and verifies the manifest and every chunk. The chunks are not kept.
func (e *Engine) readVersion(ctx context.Context, order LoadOrder) error {
	text, err := fetch(ctx, order.Source+"/versions/"+order.Version+"/manifest")
	if err != nil {
		return err
	}
	if digest := sha256.Sum256(text); hex.EncodeToString(digest[:]) != order.Version {
		return fmt.Errorf("manifest does not match version %s", order.Version)
	}
	var manifest Manifest
	if err := json.Unmarshal(text, &manifest); err != nil {
		return fmt.Errorf("manifest: %w", err)
	}
	for _, chunk := range manifest.Chunks {
		data, err := fetch(ctx, order.Source+"/chunks/"+chunk.Hash)
		if err != nil {
			return err
		}
		if sum := blake3.Sum256(data); hex.EncodeToString(sum[:]) != chunk.Hash || int64(len(data)) != chunk.Size {
			return fmt.Errorf("chunk %s is corrupt", chunk.Hash)
		}
	}
	return nil
}

// fetch returns the body at url. It truncates a body over maxFetchBytes, which then fails verification.
func fetch(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d", url, response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxFetchBytes))
}
