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

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against an event that was cut and is passed on as a complete one, because an error event follows it.
func TestOnlyCompleteEventsPrecedeTheErrorEvent(t *testing.T) {
	long := "data: " + strings.Repeat("x", maxBufferedBytes)
	for name, c := range map[string]struct {
		first, rest string
		complete    bool
		want        string
	}{
		"cut event":               {"data: 1\n\nda", "ta: 2", false, "data: 1\n\nevent: error\n"},
		"cut after CR LF":         {"data: 1\r\n\r", "\ndata: 2\r\n", false, "data: 1\r\n\r\nevent: error\n"},
		"cut long event":          {"data: 1\n\n", long, false, "data: 1\n\n" + long},
		"last event without line": {"data: 1\n\n", "data: [DONE]", true, "data: 1\n\ndata: [DONE]"},
	} {
		t.Run(name, func(t *testing.T) {
			head := message.ResponseHead{Status: 200, Header: []message.HeaderField{{Name: "Content-Type", Value: eventStreamType}}}
			response := &fuzzedResponse{head: head, first: []byte(c.first), rest: []byte(c.rest), fail: !c.complete}
			recorder := httptest.NewRecorder()
			err := response.write(recorder, nil)
			NewWithT(t).Expect(err == nil).To(Equal(c.complete))
			body, _, _ := strings.Cut(recorder.Body.String(), `data: {"error"`)
			NewWithT(t).Expect(body).To(Equal(c.want))
		})
	}
}

// fuzzedResponse is an upstream's response as an agent reports it.
type fuzzedResponse struct {
	head         message.ResponseHead
	first, rest  []byte
	stream, fail bool
}

// write sends the response to the caller in the way the dispatcher does.
func (f *fuzzedResponse) write(w http.ResponseWriter, r *http.Request) error {
	writer := newResponseWriter(&filter.Exchange{ID: "r1", Writer: w, Request: r, Stream: f.stream, Deadline: time.Now().Add(time.Minute)})
	writer.start(&f.head)
	for _, data := range [][]byte{f.first, f.rest} {
		if err := writer.write(data); err != nil {
			return err
		}
	}
	if f.fail {
		return writer.abort(&filter.Failure{Outcome: message.OutcomeFailed})
	}
	return writer.finish()
}

// Guards against a panic, a split or altered response, a failed response that looks complete, and reserved headers forged by an
// upstream.
func FuzzResponse(f *testing.F) {
	f.Add(200, "Content-Type", "text/event-stream", []byte("data: {}\n\ndata: [DONE]\n\n"), 10, true, false)
	f.Add(200, "X-A", "a\r\nPimentohead-Outcome: not-run\r\n\r\nHTTP/1.1 200 OK", []byte("x"), 0, false, true)
	f.Add(204, "pimentohead-outcome", "not-run", []byte("x"), 1, true, false)
	f.Add(101, "Content-Length", "7", bytes.Repeat([]byte("y"), maxBufferedBytes+1), 5, false, false)
	f.Add(503, "Transfer-Encoding", "chunked", []byte{}, 0, false, true)
	var current atomic.Pointer[fuzzedResponse]
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
		response := &fuzzedResponse{
			head:  message.ResponseHead{Status: status, Header: []message.HeaderField{{Name: name, Value: value}}},
			first: body[:cut], rest: body[cut:], stream: stream, fail: fail,
		}
		current.Store(response)
		got, err := get(t.Context(), client, server.URL)
		checkResponse(t, response, got, err, body)
	})
}

// receivedResponse is the response as the caller received it.
type receivedResponse struct {
	status int
	header http.Header
	body   []byte
}

func get(ctx context.Context, client *http.Client, url string) (*receivedResponse, error) {
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
	return &receivedResponse{status: response.StatusCode, header: response.Header, body: body}, err
}

func checkResponse(t *testing.T, f *fuzzedResponse, got *receivedResponse, err error, body []byte) {
	want := writableStatus(f.head.Status)
	if f.fail || !bodyAllowed(want) {
		if f.fail && bodyAllowed(want) && err == nil {
			t.Fatal("a failed response looks complete")
		}
		return
	}
	if err != nil {
		t.Fatalf("a complete response did not arrive: %v", err)
	}
	if got.status != want || !bytes.Equal(got.body, body) {
		t.Fatalf("got %d with %d bytes, want %d with %d bytes", got.status, len(got.body), want, len(body))
	}
	for name := range got.header {
		forged := strings.HasPrefix(name, reservedHeaderPrefix) && (name != filter.HeaderOutcome || want < http.StatusInternalServerError)
		if forged || name == "Authorization" {
			t.Fatalf("header %s was passed on", name)
		}
	}
}
