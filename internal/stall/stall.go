// Package stall notices when this process did not run for a while, for example because its instance stood still. What others have sent meanwhile
// lay unread: its age is unknown, whatever it states.
package stall

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	checkInterval = 100 * time.Millisecond
	// minStall is the shortest time without a check that counts. Shorter ones occur on a busy instance.
	minStall = 300 * time.Millisecond
	// backlogTime is the time after a stall in which what arrived meanwhile may still be read.
	backlogTime = 500 * time.Millisecond
)

// Detector notices stalls of this process. It is safe for concurrent use.
type Detector struct {
	now func() time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// checkedAt is a time at which the process certainly ran, zero before Run.
	checkedAt time.Time
	// length is the length of the last stall and those shortly before it, endedAt its end.
	length  time.Duration
	endedAt time.Time
}

// New returns a Detector. now is the clock; nil selects time.Now.
func New(now func() time.Time) *Detector {
	if now == nil {
		now = time.Now
	}
	return &Detector{now: now}
}

// Run looks for stalls until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	d.mu.Lock()
	d.checkedAt = d.now()
	d.mu.Unlock()
	for ctx.Err() == nil {
		pause.For(ctx, checkInterval)
		d.ReadDelay()
	}
}

// ReadDelay returns how long a message that is read now may have lain unread because of a stall, 0 if there was none recently. It notices a stall also
// if it is called before Run has.
func (d *Detector) ReadDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.checkedAt.IsZero() {
		return 0
	}
	now := d.now()
	if gap := now.Sub(d.checkedAt); gap >= minStall {
		if now.Sub(d.endedAt) > gap+backlogTime {
			d.length = 0 // What arrived before the last stall had been read.
		}
		d.length, d.endedAt = d.length+gap, now
	}
	d.checkedAt = now
	if now.Sub(d.endedAt) > backlogTime {
		return 0
	}
	return d.length
}
