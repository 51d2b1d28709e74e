package testbed

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/admin"
)

// Metrics returns the metrics of a node by name. The value of a metric is the sum over all its label sets.
func (c *Cluster) Metrics(ctx context.Context, node string) (map[string]float64, error) {
	status, body, err := c.callAdmin(ctx, node, http.MethodGet, admin.PathMetrics, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Newf("testbed: metrics of %s: unexpected status %d", node, status)
	}
	out := make(map[string]float64)
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		// Label values may contain spaces, so the value follows the last space of the line.
		name, text, found := strings.Cut(lines.Text(), " ")
		if i := strings.LastIndexByte(lines.Text(), ' '); i >= 0 {
			text = lines.Text()[i+1:]
		}
		value, err := strconv.ParseFloat(text, 64)
		if !found || err != nil || strings.HasPrefix(name, "#") {
			continue
		}
		name, _, _ = strings.Cut(name, "{")
		out[name] += value
	}
	return out, errors.Wrap(lines.Err(), "testbed: read the metrics")
}

// Readiness returns the status and the body of a node's response to the readiness check.
func (c *Cluster) Readiness(ctx context.Context, node string) (int, string, error) {
	status, body, err := c.callAdmin(ctx, node, http.MethodGet, admin.PathReady, nil)
	return status, string(body), err
}

// ConfigEvent is a log record of a node that states that a configuration came into force.
type ConfigEvent struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Revision uint64    `json:"revision"`
	// Digest is the digest of the configuration text.
	Digest string `json:"digest"`
	// From is the source from which the node received the configuration, "store" or "peer".
	From string `json:"from"`
}

// ConfigEvents returns the configurations that came into force on a node, in the order of its log, which covers all runs of the
// process.
func (c *Cluster) ConfigEvents(node string) []ConfigEvent {
	var out []ConfigEvent
	for line := range strings.Lines(c.Process(node).Log()) {
		var event ConfigEvent
		if json.Unmarshal([]byte(line), &event) == nil && event.Message == "configuration in force" {
			out = append(out, event)
		}
	}
	return out
}
