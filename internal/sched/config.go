// Package sched decides which request an upstream runs next.
//
// One bounded queue serves all entries. It applies strict urgency up to each priority's reserved share, guarantees a floor
// to every priority, is work conserving, and uses start-time fair queueing across the callers of a priority. An adaptive
// limit bounds the requests in progress.
package sched

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Priority holds the scheduling parameters of one priority. The position in a list is its urgency.
type Priority struct {
	// Share is the reserved share of the upstream while others wait, 0..1.
	Share float64
	// Floor is the share kept in a flood of any other priority, 0..1.
	Floor float64
}

// Config holds the parameters of a Queue. The zero value of a field selects its default.
type Config struct {
	// QueueLimit bounds waiting requests. Default 1024.
	QueueLimit int
	// MaxConcurrency bounds requests in progress. Default 64.
	MaxConcurrency int
	// SharedFIFO selects one shared first-in first-out queue.
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

// Item is one request. The fields must not change after Push.
type Item struct {
	Priority int
	Caller   string
	// Weight is the caller's weight, at least 1.
	Weight int
	// Cost is the estimated work in tokens, at least 1.
	Cost int
	// Stream tells that the answer begins long before it is whole.
	Stream bool
	// Suspect requests run one at a time.
	Suspect bool
	// Deadline bounds the whole answer, Target its first byte. Zero means none.
	Deadline        time.Time
	FirstByteTarget time.Time
	// Start is called once when the request may run, on the goroutine that freed or filled the queue. It must not block and
	// must lead to one call of Queue.Done.
	Start func()
	// Drop is called once when the queue refuses the request. A dropped request is never started. It must not block.
	Drop func(reason message.Reason, retryAfter time.Duration)

	state     itemState
	sequence  uint64
	started   time.Time
	firstByte bool
	flow      *flow
	// ran is the class that is charged for the item.
	ran        *class
	next, prev *Item
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
	ConcurrencyLimit int
	Queued           int
	InFlight         int
	// QueuedByPriority has one element per priority.
	QueuedByPriority []int
}
