package sched

import (
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Bounds of the retry hint.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Queue is the admission queue of one upstream. It is safe for concurrent use.
//
// Invariant: an item is started or dropped, never both. Callbacks run without the lock.
type Queue struct {
	cfg Config

	// mu guards all fields below.
	mu       sync.Mutex
	open     bool
	classes  []*class
	waiting  int
	inFlight int
	suspects int
	sequence uint64
	limiter  *limiter
}

// New returns a closed queue with one priority that has the whole upstream.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{cfg: cfg, limiter: newLimiter(cfg.MaxConcurrency)}
	q.resize([]Priority{{Share: 1}})
	return q
}

// drop is a refusal that is delivered after the lock is released.
type drop struct {
	item       *Item
	reason     message.Reason
	retryAfter time.Duration
}

// actions collects callbacks while the lock is held.
type actions struct {
	starts []*Item
	drops  []drop
}

func (a *actions) run() {
	for _, d := range a.drops {
		d.item.Drop(d.reason, d.retryAfter)
	}
	for _, it := range a.starts {
		it.Start()
	}
}

// SetPriorities replaces the parameters. Waiting items whose priority no longer exists move to the least urgent one.
func (q *Queue) SetPriorities(priorities []Priority) {
	if len(priorities) == 0 || q.cfg.SharedFIFO {
		return
	}
	var a actions
	q.mu.Lock()
	q.resize(priorities)
	q.dispatch(&a)
	q.mu.Unlock()
	a.run()
}

func (q *Queue) resize(priorities []Priority) {
	for i, p := range priorities {
		if i < len(q.classes) {
			q.classes[i].params = p
			continue
		}
		q.classes = append(q.classes, newClass(i, p))
	}
	last := q.classes[len(priorities)-1]
	for _, c := range q.classes[len(priorities):] {
		for c.count > 0 {
			it := c.pick(true)
			c.remove(it)
			last.push(it)
		}
	}
	q.classes = q.classes[:len(priorities)]
}

// class returns the class of an item, which may name a priority that does not exist.
func (q *Queue) class(it *Item) *class {
	return q.classes[min(max(it.Priority, 0), len(q.classes)-1)]
}

// SetBatchSize tells how many requests the upstream runs at once; 0 is unknown.
func (q *Queue) SetBatchSize(batch int) {
	var a actions
	q.mu.Lock()
	q.limiter.setBatch(batch)
	q.dispatch(&a)
	q.mu.Unlock()
	a.run()
}

// Push adds an item. Start or Drop may be called before Push returns.
func (q *Queue) Push(it *Item) {
	it.Weight, it.Cost = max(it.Weight, 1), max(it.Cost, 1)
	var a actions
	q.mu.Lock()
	if q.open {
		q.add(it, &a)
		q.dispatch(&a)
	} else {
		it.state = stateFinished
		a.drops = append(a.drops, drop{it, message.ReasonNotServing, 0})
	}
	q.mu.Unlock()
	a.run()
}

func (q *Queue) add(it *Item, a *actions) {
	q.sequence++
	it.sequence = q.sequence
	if q.cfg.SharedFIFO && q.waiting >= q.cfg.QueueLimit {
		it.state = stateFinished
		a.drops = append(a.drops, drop{it, message.ReasonQueueFull, q.retryAfter()})
		return
	}
	c := q.class(it)
	if c.count == 0 {
		q.forgiveFloor(c)
	}
	it.state = stateWaiting
	if q.cfg.SharedFIFO {
		q.pushShared(it)
	} else {
		c.push(it)
	}
	q.waiting++
	if q.waiting > q.cfg.QueueLimit {
		q.discard(q.victim(), message.ReasonQueueFull, a)
	}
}

// pushShared files all callers under one flow, which makes the class a first-in first-out queue.
func (q *Queue) pushShared(it *Item) {
	it.Caller, it.Suspect = "", false
	q.classes[0].push(it)
}

// forgiveFloor charges a priority that was idle as if it had received its floor. Without it, a priority that becomes busy
// would be served alone until it had caught up with the window.
func (q *Queue) forgiveFloor(c *class) {
	now := q.cfg.Now()
	total := q.total(now)
	if missing := c.params.Floor*total - c.usage(now); missing > 0 {
		c.served.add(now, missing)
	}
}

func (c *class) usage(now time.Time) float64 { return c.served.total(now) + c.running }

func (q *Queue) total(now time.Time) float64 {
	total := 0.0
	for _, c := range q.classes {
		total += c.usage(now)
	}
	return total
}

// victim selects the newest item of the caller with the largest backlog in the least urgent priority that holds more than
// its share of the queue.
func (q *Queue) victim() *Item {
	shares := 0.0
	for _, c := range q.classes {
		shares += c.params.Share
	}
	var fallback *class
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.count == 0 {
			continue
		}
		if fallback == nil {
			fallback = c
		}
		if float64(c.count) > max(1, c.params.Share/max(1, shares)*float64(q.cfg.QueueLimit)) {
			return c.largest().newest()
		}
	}
	return fallback.largest().newest()
}

func (q *Queue) discard(it *Item, reason message.Reason, a *actions) {
	it.flow.class.remove(it)
	q.waiting--
	it.state = stateFinished
	a.drops = append(a.drops, drop{it, reason, q.retryAfter()})
}

// retryAfter estimates when the present backlog has been served.
func (q *Queue) retryAfter() time.Duration {
	mean := 0.0
	for _, c := range q.classes {
		mean = max(mean, c.service.mean, c.streamService.mean)
	}
	wait := time.Duration(mean * float64(q.waiting) / q.limiter.limit * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Cancel removes a waiting item and returns true. It returns false when the item was started or dropped. Neither Start nor
// Drop is called after Cancel returned true.
func (q *Queue) Cancel(it *Item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.state != stateWaiting {
		return false
	}
	it.flow.class.remove(it)
	q.waiting--
	it.state = stateFinished
	return true
}

// SetOpen starts or stops dispatch. Closing drops all waiting items with reason.
func (q *Queue) SetOpen(open bool, reason message.Reason) {
	var a actions
	q.mu.Lock()
	q.open = open
	if !open {
		for _, c := range q.classes {
			for c.count > 0 {
				q.discard(c.pick(true), reason, &a)
			}
		}
	}
	q.dispatch(&a)
	q.mu.Unlock()
	a.run()
}

// FirstByte records that the answer of a started item began.
func (q *Queue) FirstByte(it *Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.state != stateRunning || it.firstByte {
		return
	}
	it.firstByte = true
	now := q.cfg.Now()
	latency := now.Sub(it.started)
	q.limiter.sample(now, it, latency, q.inFlight)
	head, _ := it.ran.estimates(it)
	head.add(latency.Seconds())
}

// Done ends a started item. answered tells that its answer was complete, so that its duration counts.
func (q *Queue) Done(it *Item, answered bool) {
	var a actions
	q.mu.Lock()
	if it.state == stateRunning {
		q.finish(it, answered)
		q.dispatch(&a)
	}
	q.mu.Unlock()
	a.run()
}

func (q *Queue) finish(it *Item, answered bool) {
	now := q.cfg.Now()
	it.state = stateFinished
	q.inFlight--
	if it.Suspect {
		q.suspects--
	}
	c := it.ran
	c.running -= float64(it.Cost)
	c.served.add(now, float64(it.Cost))
	if answered {
		_, service := c.estimates(it)
		service.add(now.Sub(it.started).Seconds())
	}
}

// Stats returns a snapshot.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := Stats{ConcurrencyLimit: int(q.limiter.limit), Queued: q.waiting, InFlight: q.inFlight}
	for _, c := range q.classes {
		s.QueuedByPriority = append(s.QueuedByPriority, c.count)
	}
	return s
}
