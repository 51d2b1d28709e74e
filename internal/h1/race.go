package h1

import "context"

// Race opens connections to several addresses, at most one to each, for a request that needs one of them. It is not safe for concurrent
// use.
type Race struct {
	pool   *Pool
	ctx    context.Context
	cancel context.CancelFunc
	// cancelDial ends the newest dial, by address.
	cancelDial map[string]context.CancelFunc
	results    chan DialResult
}

// DialResult is the result of a dial: a connection to an address, or an error marked ErrNotSent.
type DialResult struct {
	Addr string
	Conn *Conn
	Err  error
}

// NewRace returns a race without dials. The caller closes it. ctx ends its dials.
func (p *Pool) NewRace(ctx context.Context) *Race {
	r := &Race{pool: p, cancelDial: map[string]context.CancelFunc{}, results: make(chan DialResult)}
	r.ctx, r.cancel = context.WithCancel(ctx)
	return r
}

// Dial begins to open a connection. It replaces an earlier dial to the address: a lost packet of that is repeated after a second only.
func (r *Race) Dial(addr string) {
	if cancel := r.cancelDial[addr]; cancel != nil {
		cancel()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancelDial[addr] = cancel
	go func() {
		conn, err := r.pool.dial(ctx, addr)
		if ctx.Err() == nil {
			select {
			case r.results <- DialResult{Addr: addr, Conn: conn, Err: err}:
				return
			case <-ctx.Done():
			}
		}
		if conn != nil {
			r.pool.Put(conn, 0)
		}
	}()
}

// Results returns the channel on which the results of dials arrive, except those of replaced ones.
func (r *Race) Results() <-chan DialResult { return r.results }

// Close ends the dials. A connection that opens all the same is kept for other requests.
func (r *Race) Close() { r.cancel() }
