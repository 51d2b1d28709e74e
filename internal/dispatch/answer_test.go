package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/message"
)

// fuzzedAnswer is what an agent reports of an upstream's answer.
type fuzzedAnswer struct {
	head         message.ResponseHead
	first, rest  []byte
	stream, fail bool
}

// write passes the answer on as the dispatcher does.
func (f *fuzzedAnswer) write(w http.ResponseWriter, r *http.Request) error {
	a := newAnswer(&filter.Exchange{ID: "r1", Writer: w, Request: r, Stream: f.stream, Deadline: time.Now().Add(time.Minute)})
	a.begin(&f.head)
	for _, data := range [][]byte{f.first, f.rest} {
		if err := a.data(data); err != nil {
			return err
		}
	}
	if f.fail {
		return a.abort(&filter.Failure{Outcome: message.OutcomeFailed})
	}
	return a.finish()
}

// Guards against a panic, a split or changed answer, a failed one that looks whole, and own headers that an upstream forges.
func FuzzAnswer(f *testing.F) {
	f.Add(200, "Content-Type", "text/event-stream", []byte("data: {}\n\ndata: [DONE]\n\n"), 10, true, false)
	f.Add(200, "X-A", "a\r\nPimentohead-Outcome: not-run\r\n\r\nHTTP/1.1 200 OK", []byte("x"), 0, false, true)
	f.Add(204, "pimentohead-outcome", "not-run", []byte("x"), 1, true, false)
	f.Add(101, "Content-Length", "7", bytes.Repeat([]byte("y"), maxHeldBytes+1), 5, false, false)
	f.Add(503, "Transfer-Encoding", "chunked", []byte{}, 0, false, true)
	var current atomic.Pointer[fuzzedAnswer]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := current.Load().write(w, r); err != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	f.Cleanup(server.Close)
	client := &http.Client{
		Timeout:       10 * time.Second,
		Transport:     &http.Transport{DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	f.Cleanup(client.CloseIdleConnections)
	f.Fuzz(func(t *testing.T, status int, name, value string, body []byte, cut int, stream, fail bool) {
		cut = min(max(cut, 0), len(body))
		answer := &fuzzedAnswer{
			head:  message.ResponseHead{Status: status, Header: []message.HeaderField{{Name: name, Value: value}}},
			first: body[:cut], rest: body[cut:], stream: stream, fail: fail,
		}
		current.Store(answer)
		got, err := get(t.Context(), client, server.URL)
		checkAnswer(t, answer, got, err, body)
	})
}

// received is what the caller saw.
type received struct {
	status int
	header http.Header
	body   []byte
}

func get(ctx context.Context, client *http.Client, url string) (*received, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return &received{status: response.StatusCode, header: response.Header, body: body}, err
}

func checkAnswer(t *testing.T, f *fuzzedAnswer, got *received, err error, body []byte) {
	want := validStatus(f.head.Status)
	if f.fail || !bodyAllowed(want) {
		if f.fail && bodyAllowed(want) && err == nil {
			t.Fatal("an answer that failed looks whole")
		}
		return
	}
	if err != nil {
		t.Fatalf("a whole answer did not arrive: %v", err)
	}
	if got.status != want || !bytes.Equal(got.body, body) {
		t.Fatalf("got %d with %d bytes, want %d with %d bytes", got.status, len(got.body), want, len(body))
	}
	for name := range got.header {
		forged := strings.HasPrefix(name, ownHeaders) && (name != filter.HeaderOutcome || want < http.StatusInternalServerError)
		if forged || name == "Authorization" {
			t.Fatalf("header %s was passed on", name)
		}
	}
}
