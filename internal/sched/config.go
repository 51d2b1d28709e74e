// Package sched decides which request an upstream runs next.
//
// Each upstream has one bounded queue for the requests of all entries. The queue serves priorities in order of urgency up to each
// one's reserved share, guarantees every priority a minimum share (its floor), is work conserving, and uses start-time fair
// queueing across the callers of a priority. An adaptive concurrency limit bounds the requests in progress.
package sched

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Priority holds the scheduling parameters of one priority. Lists of priorities are ordered by urgency, most urgent first.
type Priority struct {
	// Share is the fraction of the upstream reserved for this priority while others wait, 0..1.
	Share float64
	// Floor is the minimum fraction guaranteed even when another priority floods the queue, 0..1.
	Floor float64
}

// Config holds the parameters of a Queue. The zero value of a field selects its default.
type Config struct {
	// QueueLimit bounds the number of waiting requests. Default 1024.
	QueueLimit int
	// MaxConcurrency bounds the number of requests in progress. Default 64.
	MaxConcurrency int
	// SharedFIFO selects one first-in first-out queue for all callers, without priorities or first-byte targets. It is the baseline
	// that the scheduler is compared with.
	SharedFIFO bool
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Defaults of Config.
const (
	DefaultQueueLimit     = 1024
	DefaultMaxConcurrency = 64
)

func (c Config) withDefaults() Config {
	if c.QueueLimit <= 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.MaxConcurrency <= 0 {
		c.MaxConcurrency = DefaultMaxConcurrency
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Item is one queued or running request. The caller must not change its exported fields after Push.
type Item struct {
	// Priority is the index into the list of priorities, 0 being the most urgent.
	Priority int
	Caller   string
	// Weight is the caller's weight in fair queueing, at least 1.
	Weight int
	// Cost is the estimated work in tokens, at least 1.
	Cost int
	// Stream is set when the response is streamed: its first byte arrives long before the last one.
	Stream bool
	// Suspect is set when the request may crash an upstream. Suspect requests run one at a time.
	Suspect bool
	// Deadline is when the whole response is due, FirstByteTarget when its first byte is. The zero time means none.
	Deadline        time.Time
	FirstByteTarget time.Time
	// Start is called once when the request may run, on the goroutine whose call to the queue made that possible. It must not
	// block, and must be followed by one call of Queue.Done.
	Start func()
	// Drop is called once when the queue refuses or evicts the request, which is then never started. retryAfter is the estimated
	// time to serve the backlog, or 0 if the queue was closed when the request was pushed. Drop must not block.
	Drop func(reason message.Reason, retryAfter time.Duration)

	state         itemState
	sequence      uint64
	started       time.Time
	firstByteSeen bool
	flow          *flow
	// chargedClass is the class whose usage includes the item since it was started.
	chargedClass *class
	next, prev   *Item
}

type itemState uint8

const (
	stateNew itemState = iota
	stateWaiting
	stateRunning
	stateFinished
)

// Stats is a snapshot of a Queue.
type Stats struct {
	// ConcurrencyLimit is the current adaptive limit, without the headroom of the most urgent priority.
	ConcurrencyLimit int
	Queued           int
	InFlight         int
	// QueuedByPriority holds the number of waiting requests of each priority.
	QueuedByPriority []int
	// FirstByteBounds and StreamFirstByteBounds hold the time in which the first byte of almost every response of a priority is
	// expected. Requests with less time left are dropped with ReasonDeadline while others of the priority are in progress.
	FirstByteBounds, StreamFirstByteBounds []time.Duration
}
