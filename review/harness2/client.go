//go:build review

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a caller has received for one request.
type answer struct {
	status   int
	stamp    string
	header   http.Header
	body     []byte
	complete bool
	// err is why the answer is not complete.
	err  error
	took time.Duration
}

// call is one request of a caller.
type call struct {
	method, path, id string
	body             string
	headers          map[string]string
	deadlineMS       int
	// key is the API key; empty selects that of the tenant t.
	key string
}

// head returns the request as it is sent.
func (c call) bytes() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		c.method, c.path, requestHost, wire["attempt_id"], c.id, wire["deadline"], c.deadlineMS, cmp.Or(c.key, apiKey))
	for name, value := range c.headers {
		text += name + ": " + value + "\r\n"
	}
	if c.body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	return text + "\r\n" + c.body
}

// send sends the request on a new connection and reads the answer as HTTP/1.1 frames it.
func (c call) send(address string) answer {
	started := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(started.Add(time.Duration(c.deadlineMS)*time.Millisecond + time.Second))
	if _, err := io.WriteString(conn, c.bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return answer{err: err, took: time.Since(started)}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get(wire["server_stamp"]), header: resp.Header, body: body,
		complete: err == nil, err: err, took: time.Since(started)}
}
