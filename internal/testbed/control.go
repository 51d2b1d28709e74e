package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/platform/instancelist"
)

// SubmitError is returned when an entry refuses a configuration.
type SubmitError struct {
	// Status is the HTTP status of the refusal.
	Status int
	Detail admin.ErrorDetail
}

// Error implements the error interface.
func (e *SubmitError) Error() string {
	return fmt.Sprintf("entry refused the configuration with status %d: %s", e.Status, e.Detail.Message)
}

// Config returns the configuration in force on an entry. Its revision is 0 if there is none.
func (c *Cluster) Config(ctx context.Context, entry string) (config.Envelope, error) {
	var envelope config.Envelope
	status, body, err := c.callAdmin(ctx, entry, http.MethodGet, admin.PathConfig, nil)
	if err != nil || status == http.StatusNotFound {
		return envelope, err
	}
	return envelope, decode(status, body, http.StatusOK, &envelope)
}

// SubmitConfig submits the configuration text to an entry, based on the revision in force there. It returns a *SubmitError if the
// entry refuses the configuration, as do SubmitConfigOnBase and SubmitConfigWithID.
func (c *Cluster) SubmitConfig(ctx context.Context, entry, text string) (config.Envelope, error) {
	current, err := c.Config(ctx, entry)
	if err != nil {
		return config.Envelope{}, err
	}
	return c.SubmitConfigOnBase(ctx, entry, current.Revision, text)
}

// SubmitConfigOnBase submits the configuration text based on a given revision.
func (c *Cluster) SubmitConfigOnBase(ctx context.Context, entry string, base uint64, text string) (config.Envelope, error) {
	return c.SubmitConfigWithID(ctx, entry, base, uuid.NewString(), text)
}

// SubmitConfigWithID submits the configuration text based on a given revision under a submission ID.
func (c *Cluster) SubmitConfigWithID(ctx context.Context, entry string, base uint64, id, text string) (config.Envelope, error) {
	submission := struct {
		Base         uint64 `json:"base"`
		Digest       string `json:"digest"`
		SubmissionID string `json:"submission_id"`
		Text         string `json:"text"`
	}{base, config.Digest(text), id, text}
	status, body, err := c.callAdmin(ctx, entry, http.MethodPost, admin.PathConfig, submission)
	if err != nil {
		return config.Envelope{}, err
	}
	if status != http.StatusCreated {
		var refused admin.ErrorBody
		_ = json.Unmarshal(body, &refused) // Any other body leaves the detail empty.
		return config.Envelope{}, errors.WithStack(&SubmitError{Status: status, Detail: refused.Error})
	}
	var envelope config.Envelope
	return envelope, decode(status, body, http.StatusCreated, &envelope)
}

// Status returns the fleet status that an entry reports.
func (c *Cluster) Status(ctx context.Context, entry string) (admin.Status, error) {
	var out admin.Status
	status, body, err := c.callAdmin(ctx, entry, http.MethodGet, admin.PathStatus, nil)
	if err != nil {
		return out, err
	}
	return out, decode(status, body, http.StatusOK, &out)
}

// FakeURL returns the base URL of a fake, bypassing the fault proxies.
func (c *Cluster) FakeURL(name string) string { return "http://" + c.fakeAddresses[name] }

// EngineStatus returns the status that a model engine reports, bypassing the fault proxies.
func (c *Cluster) EngineStatus(ctx context.Context, engine string) (fake.EngineStatus, error) {
	var out fake.EngineStatus
	status, body, err := c.sendWithToken(ctx, c.fleet.Engine.Token, http.MethodGet, c.FakeURL(engine)+"/control/status", nil)
	if err != nil {
		return out, err
	}
	return out, decode(status, body, http.StatusOK, &out)
}

// SendLoadOrder sends a load order to a model engine directly, bypassing its agent. It simulates an order that an earlier
// agent process sent and that arrives late.
func (c *Cluster) SendLoadOrder(ctx context.Context, engine string, order fake.LoadOrder) error {
	status, body, err := c.sendWithToken(ctx, c.fleet.Engine.Token, http.MethodPost, c.FakeURL(engine)+"/control/load", order)
	if err == nil && status != http.StatusAccepted {
		err = errors.Newf("testbed: load order: unexpected status %d: %s", status, body)
	}
	return err
}

// CreateVersion creates a model version on the origin and on the weight store.
func (c *Cluster) CreateVersion(ctx context.Context, spec fake.VersionSpec) (fake.VersionInfo, error) {
	var info fake.VersionInfo
	for _, name := range []string{WeightStoreName, OriginName} {
		if err := c.callFake(ctx, name, http.MethodPost, "/fake/version", spec, &info); err != nil {
			return info, err
		}
	}
	return info, nil
}

// OriginStats returns the transfer counts of the origin or the weight store, selected by process name.
func (c *Cluster) OriginStats(ctx context.Context, name string) (fake.OriginStats, error) {
	var out fake.OriginStats
	err := c.callFake(ctx, name, http.MethodGet, "/fake/served", nil, &out)
	return out, err
}

// CacheStats returns the prefix cache statistics of an engine.
func (c *Cluster) CacheStats(ctx context.Context, engine string) (fake.CacheStats, error) {
	var out fake.CacheStats
	err := c.callFake(ctx, engine, http.MethodGet, "/fake/cache", nil, &out)
	return out, err
}

// StoreStats returns the numbers of calls and watches that the store received.
func (c *Cluster) StoreStats(ctx context.Context) (fake.StoreStats, error) {
	var out fake.StoreStats
	err := c.callFake(ctx, StoreName, http.MethodGet, "/fake/stats", nil, &out)
	return out, err
}

// SetFault replaces the injected faults of a fake.
func (c *Cluster) SetFault(ctx context.Context, name string, fault fake.Fault) error {
	return c.callFake(ctx, name, http.MethodPost, "/fake/fault", fault, nil)
}

// SetInstances replaces the instance list with all nodes. Nodes whose IDs are in leaving get the state leaving, the others live.
func (c *Cluster) SetInstances(ctx context.Context, leaving map[string]bool) error {
	var document instancelist.Document
	for _, n := range c.nodes {
		instance := instancelist.Instance{
			ID: n.ID, Role: string(n.Role), DataCentre: n.DataCentre, Region: n.Region,
			Address: n.AdvertiseAddress, State: instancelist.StateLive,
		}
		if leaving[n.ID] {
			instance.State = instancelist.StateLeaving
		}
		document.Instances = append(document.Instances, instance)
	}
	return c.callFake(ctx, InstanceListName, http.MethodPut, "/fake/instances", document, nil)
}

// Journal returns the requests that ran on an upstream, including those before a crash. It reads the journal file, so it also
// works while the upstream is not running.
func (c *Cluster) Journal(upstream string) ([]fake.JournalEntry, error) {
	entries, err := fake.ReadJournal(c.journalPath(upstream))
	if os.IsNotExist(err) {
		return nil, nil
	}
	return entries, err
}

// Journals returns the journals of all upstreams, by upstream name.
func (c *Cluster) Journals() (map[string][]fake.JournalEntry, error) {
	out := make(map[string][]fake.JournalEntry)
	for _, n := range c.nodes {
		if n.Upstream == "" {
			continue
		}
		entries, err := c.Journal(n.Upstream)
		if err != nil {
			return nil, err
		}
		out[n.Upstream] = entries
	}
	return out, nil
}

// callAdmin sends a request to the admin listener of a node and returns the status and the body of the response.
func (c *Cluster) callAdmin(ctx context.Context, node, method, path string, body any) (int, []byte, error) {
	return c.send(ctx, method, "http://"+c.Node(node).AdminAddress+path, body)
}

// callFake sends a control request to a fake. It decodes the response into out, or expects status 204 if out is nil.
func (c *Cluster) callFake(ctx context.Context, name, method, path string, body, out any) error {
	status, answer, err := c.send(ctx, method, "http://"+c.fakeAddresses[name]+path, body)
	if err != nil {
		return err
	}
	if out == nil {
		if status != http.StatusNoContent {
			return errors.Newf("testbed: %s%s: unexpected status %d: %s", name, path, status, answer)
		}
		return nil
	}
	return decode(status, answer, http.StatusOK, out)
}

// send is sendWithToken with the operator token.
func (c *Cluster) send(ctx context.Context, method, url string, body any) (int, []byte, error) {
	return c.sendWithToken(ctx, OperatorToken, method, url, body)
}

// sendWithToken sends a request with a bearer token and body encoded as JSON. It returns the status and the body of the response.
func (c *Cluster) sendWithToken(ctx context.Context, token, method, url string, body any) (int, []byte, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil, errors.Wrap(err, "testbed: encode the request body")
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return 0, nil, errors.Wrap(err, "testbed: build the request")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "testbed: send the request")
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, errors.Wrap(err, "testbed: read the response")
}

// decode decodes a JSON body into out, or returns an error if the status is not the wanted one.
func decode(status int, body []byte, want int, out any) error {
	if status != want {
		return errors.Newf("testbed: unexpected status %d: %s", status, body)
	}
	return errors.Wrap(json.Unmarshal(body, out), "testbed: decode the response")
}
