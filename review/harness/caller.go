//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// traffic sends requests to the entries in turn and counts those that are served.
type traffic struct {
	fleet *fleet
	// host, path, method and deadline describe the requests.
	host, path, method string
	deadline           time.Duration
	// generates is set for requests to a model server.
	generates bool
	// to is the entry that gets all requests, nil for all entries in turn. key is the API key.
	to  *process
	key string

	count  atomic.Int64
	served atomic.Int64
	sent   atomic.Int64
	wg     sync.WaitGroup
	times  sync.Map
}

// quotes returns traffic to the model servers.
func quotes(f *fleet) *traffic {
	return &traffic{fleet: f, host: "quote.example", path: "/quote/1", method: http.MethodPost, deadline: 6 * time.Second, generates: true, key: "key-1"}
}

// run sends requests at a pace for a time, and waits for their answers.
func (t *traffic) run(perSecond int, length time.Duration) (sent, served int64) {
	t.sent.Store(0)
	t.served.Store(0)
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); {
		<-ticker.C
		n := t.count.Add(1)
		t.wg.Add(1)
		go func() { defer t.wg.Done(); t.send(n) }()
	}
	t.wg.Wait()
	return t.sent.Load(), t.served.Load()
}

// sentAt returns when a request was sent.
func (t *traffic) sentAt(id string) (time.Time, bool) {
	at, ok := t.times.Load(id)
	if !ok {
		return time.Time{}, false
	}
	return at.(time.Time), true
}

// send sends one request on a new channel and reads its answer.
func (t *traffic) send(n int64) {
	entry := t.to
	if entry == nil {
		entry = t.fleet.entries[int(n)%len(t.fleet.entries)]
	}
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+n)
	ctx, cancel := context.WithTimeout(context.Background(), t.deadline)
	defer cancel()
	var body io.Reader
	if t.generates {
		body = strings.NewReader("a quote")
	}
	req, err := http.NewRequestWithContext(ctx, t.method, "http://"+entry.frontend+t.path, body)
	if err != nil {
		cannotRun(err)
	}
	req.Host = t.host
	headers := map[string]string{wire["attempt_id"]: id, wire["deadline"]: strconv.FormatInt(t.deadline.Milliseconds(), 10),
		"Authorization": "Bearer " + t.key}
	if t.generates {
		headers[wire["model"]], headers[wire["token_counts"]] = "m", "100,20"
		headers[wire["prompt_parts"]] = fmt.Sprintf("%08x:100", n)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	t.sent.Add(1)
	t.times.Store(id, time.Now())
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(req)
	if err != nil {
		t.fleet.record.printf("request %s to %s: no answer: %v", id, entry.name, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	t.fleet.record.printf("request %s to %s: %d, stamp %q, %d bytes, error %v", id, entry.name, resp.StatusCode,
		resp.Header.Get(wire["server_stamp"]), len(answer), err)
	if err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get(wire["server_stamp"]) != "" {
		t.served.Add(1)
	}
}
