package main

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

const (
	// callerName is one of the callers in the questionnaire. The API key of each of them is "larkspur-demo-" followed by its name.
	callerName     = "tailor-row"
	callerKey      = "larkspur-demo-" + callerName
	orderBody      = `{"item":"hem-tape-25mm","rolls":12}`
	idempotencyKey = "demo-order-1"
	stockPath      = "/stock/hem-tape-25mm"
	chatTokens     = 24
	prompt         = "Which hem tape suits a wool skirt of 400 g/m2?"
)

// entryID returns the ID of the entry with the given index.
func (d *demo) entryID(i int) string { return d.bed.Nodes(message.RoleEntry)[i].ID }

// call sends r and prints the response. A request without a key is sent with the demo caller's API key. A status other than
// wantStatus is an error.
func (d *demo) call(ctx context.Context, r testbed.Request, wantStatus int) (testbed.Reply, error) {
	if r.APIKey == "" {
		r.APIKey = callerKey
	}
	reply, err := d.bed.Call(ctx, r)
	if err != nil {
		return reply, err
	}
	d.report.detail("%s %s through %s as %s: status %d after %s",
		r.Method, r.Path, r.Entry, callerName, reply.Status, roundForDisplay(reply.Total))
	if reply.Status != wantStatus {
		return reply, errors.Newf("status %d, expected %d: %s", reply.Status, wantStatus, bytes.TrimSpace(reply.Body))
	}
	return reply, nil
}

// streamChat checks that a streamed answer is complete, has an event for each token and one for its end, and comes from the version
// that was rolled out.
func (d *demo) streamChat(ctx context.Context) error {
	body := testbed.ChatBody(prompt, chatTokens, true)
	reply, err := d.call(ctx,
		testbed.Request{Entry: d.entryID(0), Method: http.MethodPost, Path: testbed.ChatPath, Body: body}, http.StatusOK)
	if err != nil {
		return err
	}
	events := strings.Count(string(reply.Body), "data: ")
	version := reply.Header.Get("Pimentohead-Version")
	d.report.detail("%d events, the first after %s, served by version %s", events, roundForDisplay(reply.FirstByte), shortVersion(version))
	switch {
	case !strings.HasSuffix(strings.TrimSpace(string(reply.Body)), "data: [DONE]"):
		return errors.New("the stream does not end in data: [DONE]")
	case events <= chatTokens:
		return errors.Newf("%d events, expected one for each of %d tokens and one for the end", events, chatTokens)
	case version != d.version:
		return errors.Newf("served by version %q, expected %s", version, d.version)
	}
	return nil
}

// sendOrder sends the demo's order, always with the same idempotency key, through the given entry.
func (d *demo) sendOrder(ctx context.Context, entry string) (testbed.Reply, error) {
	return d.call(ctx, testbed.Request{
		Entry: entry, Method: http.MethodPost, Path: testbed.OrderPath, IdempotencyKey: idempotencyKey, Body: []byte(orderBody),
	}, http.StatusCreated)
}

func (d *demo) placeOrder(ctx context.Context) error {
	var err error
	if d.firstOrder, err = d.sendOrder(ctx, d.entryID(0)); err != nil {
		return err
	}
	d.report.detail("answer %s", bytes.TrimSpace(d.firstOrder.Body))
	return nil
}

// repeatOrder sends the order again through the second entry, and checks that the recorded answer came back and that the order ran
// once.
func (d *demo) repeatOrder(ctx context.Context) error {
	reply, err := d.sendOrder(ctx, d.entryID(1))
	if err != nil {
		return err
	}
	if reply.Header.Get("Pimentohead-Replayed") != "true" || !bytes.Equal(reply.Body, d.firstOrder.Body) {
		return errors.Newf("expected the recorded answer %s, got %s", d.firstOrder.Body, reply.Body)
	}
	runs, err := d.countOrderRuns(idempotencyKey)
	if err != nil {
		return err
	}
	d.report.detail("the recorded answer; the order desk ran the order %d time(s)", runs)
	if runs != 1 {
		return errors.New("the order did not run exactly once")
	}
	return nil
}

// countOrderRuns counts the executions of an order, by its idempotency key, in the journals of the upstreams.
func (d *demo) countOrderRuns(key string) (int, error) {
	journals, err := d.bed.Journals()
	if err != nil {
		return 0, err
	}
	runs := 0
	for _, entries := range journals {
		for _, e := range entries {
			if e.IdempotencyKey == key {
				runs++
			}
		}
	}
	return runs, nil
}

func (d *demo) lookUpStock(ctx context.Context) error {
	reply, err := d.call(ctx, testbed.Request{Entry: d.entryID(0), Method: http.MethodGet, Path: stockPath}, http.StatusOK)
	if err == nil {
		d.report.detail("answer %s", bytes.TrimSpace(reply.Body))
	}
	return err
}

// sendWrongKey checks that a request with an unknown API key is refused and not executed.
func (d *demo) sendWrongKey(ctx context.Context) error {
	reply, err := d.call(ctx, testbed.Request{
		Entry: d.entryID(0), Method: http.MethodGet, Path: stockPath, APIKey: "wrong",
	}, http.StatusUnauthorized)
	if err == nil && reply.Outcome != string(message.OutcomeNotRun) {
		return errors.Newf("outcome %q, expected not-run", reply.Outcome)
	}
	return err
}
