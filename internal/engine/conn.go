package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/bodyread"
)

// countingConn is a connection that counts its reads that returned bytes.
type countingConn struct {
	net.Conn
	reads atomic.Uint64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// dialCounting wraps a dial function so that it returns connections of type *countingConn.
func dialCounting(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: nc}, nil
	}
}

// requestTrace observes the connection of one request.
//
// It detects a response whose first bytes arrived before the request was sent. Such bytes, which an upstream has sent after an earlier
// response, answer no request. net/http closes an idle connection on which they arrive, but if the next request takes the connection first,
// it takes them for the response to that request.
type requestTrace struct {
	// mu guards the fields below.
	mu   sync.Mutex
	conn *countingConn
	// readsBefore is the number of reads of conn when the request took it.
	readsBefore uint64
	// sent is set when the request took a connection, foreign when the response began before that.
	sent, foreign bool
	interim       interimCounter
}

// hooks returns the hooks by which net/http reports to t.
func (t *requestTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn, GotFirstResponseByte: t.gotFirstResponseByte, Got1xxResponse: t.interim.add}
}

func (t *requestTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent, t.foreign = true, false
	if conn, ok := info.Conn.(*countingConn); ok {
		t.conn, t.readsBefore = conn, conn.reads.Load()
	}
}

func (t *requestTrace) gotFirstResponseByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.foreign = t.conn != nil && t.conn.reads.Load() == t.readsBefore
}

// wasSent reports whether the request took a connection, so that it may have been sent.
func (t *requestTrace) wasSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent
}

// check returns an error if the response is not that of the request or has no valid status. It closes the connection then, as what follows on
// it may be anything.
func (t *requestTrace) check(resp *http.Response) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := bodyread.CheckStatus(resp)
	if t.foreign {
		err = errors.WithStack(ErrForeignResponse)
	}
	if err == nil {
		return nil
	}
	if t.conn != nil {
		_ = t.conn.Close()
	}
	_ = resp.Body.Close()
	return err
}

// maxInterimResponses is the number of interim responses to one request that are read before its response.
const maxInterimResponses = 2

// interimCounter counts the interim responses to one request. The zero value is ready for use.
type interimCounter struct{ n atomic.Int32 }

// add is a Got1xxResponse hook. An error ends the request.
func (c *interimCounter) add(status int, _ textproto.MIMEHeader) error {
	if c.n.Add(1) > maxInterimResponses {
		return errors.Newf("engine: more than %d interim responses, the last with status %d", maxInterimResponses, status)
	}
	return nil
}
