package engine_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/engine"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against a panic, a hang or an unclassified error on arbitrary responses of an upstream, and against treating an event stream
// as complete without its final event.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 26\r\n\r\ndata: {}\n\ndata: [DONE]\n\n\n\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\na\r\ndata: {}\n\n\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"))
	f.Add([]byte("HTTP/1.0 200 OK\r\n\r\nno length"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nX-Model-Version: v\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nabc"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = listener.Close() })
	f.Fuzz(func(t *testing.T, raw []byte) {
		// Each run has its own client, so that no request is sent on a connection that an earlier response has closed.
		upstream := engine.New(engine.Config{BaseURL: "http://" + listener.Addr().String(), IdleTimeout: 10 * time.Second})
		defer upstream.Close()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			answerOnce(listener, raw)
		}()
		resp, err := upstream.Do(t.Context(), &message.Submit{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte("{}")})
		<-answered
		if err != nil {
			if !errors.Is(err, engine.ErrMayHaveRun) || errors.Is(err, engine.ErrIdleTimeout) {
				t.Fatalf("error %v", err)
			}
			return
		}
		defer resp.Close()
		body, err := io.ReadAll(resp)
		if err != nil && !errors.Is(err, engine.ErrIncompleteResponse) {
			t.Fatalf("error %v", err)
		}
		if err == nil && isEventStream(resp) && !bytes.HasSuffix(bytes.TrimSpace(body), []byte("data: [DONE]")) {
			t.Fatalf("an incomplete stream counts as complete: %q", body)
		}
	})
}

// answerOnce reads one request, writes raw and closes the connection.
func answerOnce(listener net.Listener, raw []byte) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = conn.Write(raw)
}

func isEventStream(r *engine.Response) bool {
	for _, field := range r.Header {
		if field.Name == "Content-Type" {
			return field.Value == "text/event-stream"
		}
	}
	return false
}
