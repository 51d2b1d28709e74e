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
	callerName = "tailor-row"
	callerKey  = "larkspur-demo-" + callerName
	orderBody  = `{"item":"hem-tape-25mm","rolls":12}`
	orderKey   = "demo-order-1"
	stockPath  = "/stock/hem-tape-25mm"
	chatTokens = 24
	prompt     = "Which hem tape suits a wool skirt of 400 g/m2?"
)

// entryID returns the ID of the entry with the given index.
func (d *demo) entryID(i int) string { return d.bed.Nodes(message.RoleEntry)[i].ID }

// call sends a request of the demo's caller and prints what came back.
func (d *demo) call(ctx context.Context, r testbed.Request, want int) (testbed.Reply, error) {
	if r.Key == "" {
		r.Key = callerKey
	}
	reply, err := d.bed.Call(ctx, r)
	if err != nil {
		return reply, err
	}
	d.report.detail("%s %s through %s as %s: status %d after %s", r.Method, r.Path, r.Entry, callerName, reply.Status, rounded(reply.Total))
	if reply.Status != want {
		return reply, errors.Newf("status %d, expected %d: %s", reply.Status, want, bytes.TrimSpace(reply.Body))
	}
	return reply, nil
}

func (d *demo) chat(ctx context.Context) error {
	body := testbed.ChatBody(prompt, chatTokens, true)
	reply, err := d.call(ctx, testbed.Request{Entry: d.entryID(0), Method: http.MethodPost, Path: testbed.ChatPath, Body: body}, http.StatusOK)
	if err != nil {
		return err
	}
	events := strings.Count(string(reply.Body), "data: ")
	version := reply.Header.Get("Pimentohead-Version")
	d.report.detail("%d events, the first after %s, served by version %s", events, rounded(reply.FirstByte), short(version))
	switch {
	case !strings.HasSuffix(strings.TrimSpace(string(reply.Body)), "data: [DONE]"):
		return errors.New("the stream does not end in data: [DONE]")
	case events <= chatTokens:
		return errors.Newf("%d events for %d tokens and the end", events, chatTokens)
	case version != d.version:
		return errors.Newf("served by version %q, expected %s", version, d.version)
	}
	return nil
}

func (d *demo) order(ctx context.Context, entry string) (testbed.Reply, error) {
	return d.call(ctx, testbed.Request{
		Entry: entry, Method: http.MethodPost, Path: testbed.OrderPath, OrderKey: orderKey, Body: []byte(orderBody),
	}, http.StatusCreated)
}

func (d *demo) placeOrder(ctx context.Context) error {
	var err error
	if d.firstOrder, err = d.order(ctx, d.entryID(0)); err != nil {
		return err
	}
	d.report.detail("answer %s", bytes.TrimSpace(d.firstOrder.Body))
	return nil
}

func (d *demo) repeatOrder(ctx context.Context) error {
	reply, err := d.order(ctx, d.entryID(1))
	if err != nil {
		return err
	}
	if reply.Header.Get("Pimentohead-Replayed") != "true" || !bytes.Equal(reply.Body, d.firstOrder.Body) {
		return errors.Newf("expected the recorded answer %s, got %s", d.firstOrder.Body, reply.Body)
	}
	runs, err := d.runsOf(orderKey)
	if err != nil {
		return err
	}
	d.report.detail("the recorded answer; the order desk ran the order %d time(s)", runs)
	if runs != 1 {
		return errors.New("the order did not run exactly once")
	}
	return nil
}

// runsOf counts the runs of an order in the journals of the upstreams.
func (d *demo) runsOf(key string) (int, error) {
	journals, err := d.bed.Journals()
	if err != nil {
		return 0, err
	}
	runs := 0
	for _, entries := range journals {
		for _, e := range entries {
			if e.OrderKey == key {
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

func (d *demo) wrongKey(ctx context.Context) error {
	reply, err := d.call(ctx, testbed.Request{
		Entry: d.entryID(0), Method: http.MethodGet, Path: stockPath, Key: "wrong",
	}, http.StatusUnauthorized)
	if err == nil && reply.Outcome != string(message.OutcomeNotRun) {
		return errors.Newf("outcome %q, expected not-run", reply.Outcome)
	}
	return err
}
