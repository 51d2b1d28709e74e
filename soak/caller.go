package main

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/platform"
)

// requestTimeout is the time that a caller waits for an answer.
const requestTimeout = 6 * time.Second

// callResult is the response to a request as the caller received it. status is 0 when no response arrived, complete is set when the
// body was read to its end.
type callResult struct {
	id string
	// streamID is the ID of the first request for the same stream, and after the last event that the caller had before this one. They are the
	// request's own ID and 0 unless the caller resumes a stream.
	streamID string
	after    int
	// key is the API key that the request carries, empty for none.
	key      string
	path     string
	entry    int
	status   int
	body     string
	complete bool
	// unsent is set if no connection could be opened, kept if the connection had carried a request before, planned if the request was
	// sent while only planned work took place.
	unsent, kept, planned bool
	// When the caller began, began to send on its connection, had sent the last byte, received the head of the answer and its end, or the end of the
	// connection. Times that were not reached are zero.
	beganAt, connectedAt, sentAt, headAt, endedAt time.Time
}

// elapsed returns the time that the request took.
func (r callResult) elapsed() time.Duration { return r.endedAt.Sub(r.beganAt) }

// caller sends one request after the other and keeps a connection to each entry open.
type caller struct {
	checker     *checker
	connections map[int]*callerConnection
}

// callerConnection is an open connection of a caller.
type callerConnection struct {
	net.Conn
	reader *bufio.Reader
}

// newCaller returns a caller without connections.
func (c *checker) newCaller() *caller {
	return &caller{checker: c, connections: map[int]*callerConnection{}}
}

// close closes all connections.
func (cl *caller) close() {
	for entry := range cl.connections {
		cl.drop(entry)
	}
}

// drop closes the connection to an entry.
func (cl *caller) drop(entry int) {
	if conn := cl.connections[entry]; conn != nil {
		_ = conn.Close()
		delete(cl.connections, entry)
	}
}

// connect returns the connection to an entry. It opens one if there is none or the entry has closed it.
func (cl *caller) connect(entry int) (conn *callerConnection, kept bool, err error) {
	if conn = cl.connections[entry]; conn != nil {
		if conn.isOpen() {
			return conn, true, nil
		}
		cl.drop(entry)
	}
	const timeout = time.Second
	opened, err := net.DialTimeout("tcp", cl.checker.fleet.entries[entry].callerAddress, timeout)
	if err != nil {
		return nil, false, errors.Wrap(err, "soak: connect to an entry")
	}
	conn = &callerConnection{opened, bufio.NewReader(opened)}
	cl.connections[entry] = conn
	return conn, false, nil
}

// isOpen reports whether the entry has neither closed the connection nor sent anything on it.
func (conn *callerConnection) isOpen() bool {
	const wait = time.Millisecond
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := conn.reader.Peek(1)
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// sendPauses are pauses of a caller while it sends a request: after it has opened a connection, and between the halves of the body.
type sendPauses struct{ connected, halfBody time.Duration }

// send sends one request to an entry and returns the result.
func (cl *caller) send(entry int, path string, pauses sendPauses) callResult {
	id := cl.checker.nextID()
	return cl.sendRequest(callResult{id: id, streamID: id, key: callerKey, path: path, entry: entry}, pauses)
}

// sendRequest sends the request that a result describes and fills in the rest.
func (cl *caller) sendRequest(r callResult, pauses sendPauses) callResult {
	r.beganAt = time.Now()
	header := cl.exchange(&r, pauses)
	r.endedAt = time.Now()
	cl.checker.recordSent(r, header)
	return r
}

// exchange sends a request and reads the answer into its result. It returns the header of the answer, nil if no head arrived.
func (cl *caller) exchange(r *callResult, pauses sendPauses) http.Header {
	raw, body, err := cl.render(*r)
	if err != nil {
		cl.checker.reportf("create request: %v", err)
		return nil
	}
	var conn *callerConnection
	if conn, r.kept, err = cl.connect(r.entry); err != nil {
		r.unsent = true
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	if !r.kept {
		time.Sleep(pauses.connected)
	}
	r.connectedAt = time.Now()
	sent, answered := make(chan time.Time, 1), make(chan struct{})
	go func() { sent <- conn.write(raw, len(raw)-body/2, pauses.halfBody, answered) }()
	header, closes := conn.readAnswer(r)
	close(answered)
	r.sentAt = <-sent
	if !r.complete || r.sentAt.IsZero() || closes {
		cl.drop(r.entry)
	}
	return header
}

// render returns the bytes of a request and the length of its body.
func (cl *caller) render(r callResult) (raw []byte, bodyLength int, err error) {
	body := "body of " + r.streamID
	req, err := http.NewRequest(http.MethodPost, "http://h.example"+r.path+r.streamID, strings.NewReader(body))
	if err != nil {
		return nil, 0, errors.Wrap(err, "soak: create request")
	}
	platform.SetCallerHeaders(req.Header, r.id, r.key, "m", requestTimeout)
	if r.after > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(r.after))
	}
	var buffer bytes.Buffer
	if err := req.Write(&buffer); err != nil {
		return nil, 0, errors.Wrap(err, "soak: render request")
	}
	return buffer.Bytes(), len(body), nil
}

// write sends a request, with a pause after the first bytes of it, until it has been answered. It returns when it had sent the last byte,
// zero if it has not.
func (conn *callerConnection) write(raw []byte, first int, pause time.Duration, answered <-chan struct{}) (sentAt time.Time) {
	if pause > 0 {
		if _, err := conn.Write(raw[:first]); err != nil || !sleep(pause, answered) {
			return time.Time{}
		}
		raw = raw[first:]
	}
	if _, err := conn.Write(raw); err != nil {
		return time.Time{}
	}
	return time.Now()
}

// readAnswer reads the answer to a request into its result. It returns the header of the answer, nil if no head arrived, and whether the entry
// closes the connection after it.
func (conn *callerConnection) readAnswer(r *callResult) (header http.Header, closes bool) {
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return nil, true
	}
	r.headAt, r.status = time.Now(), resp.StatusCode
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r.body, r.complete = string(body), err == nil
	return resp.Header, resp.Close
}

// record adds a result.
func (c *checker) record(r callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// sendRequests sends requests to random entries over persistent connections until stop is closed.
func (c *checker) sendRequests(rng *rand.Rand, stop <-chan struct{}) {
	cl := c.newCaller()
	defer cl.close()
	paths := []string{"/stream/", "/long/", "/unframed/", "/order/", "/look/"}
	const minPause, pauseSpread = 20 * time.Millisecond, 60 * time.Millisecond
	for more := true; more; more = sleep(randomTime(rng, minPause, pauseSpread), stop) {
		cl.sendAll(rng, rng.IntN(len(c.fleet.entries)), paths[rng.IntN(len(paths))], sendPauses{}, false)
	}
}
