package dispatch

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// maxForwarded bounds the number of forwarded attempts in progress.
	maxForwarded = 4096
	// maxOutcomes bounds the number of stored outcomes of forwarded attempts. The least recently used outcome is evicted.
	maxOutcomes = 16384
)

// forwardedRegistry tracks the attempts that other entries forwarded to this one.
//
// Invariant: an attempt that a Query or a Cancel has revoked is never started, and no attempt is started twice. The stored
// outcomes ensure both when a Submit arrives late or repeatedly, unless the outcome has been evicted by then.
type forwardedRegistry struct {
	// mu guards the fields below.
	mu       sync.Mutex
	active   map[message.Attempt]*forwardedAttempt
	outcomes *lru.Cache[message.Attempt, message.QueryReply]
}

func newForwardedRegistry() *forwardedRegistry {
	outcomes, err := lru.New[message.Attempt, message.QueryReply](maxOutcomes)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &forwardedRegistry{active: make(map[message.Attempt]*forwardedAttempt), outcomes: outcomes}
}

// admission is the decision on a forwarded Submit.
type admission int

const (
	admissionAccepted admission = iota
	// admissionDuplicate means that the attempt is in progress or done. It gets no reply, because a second reply would
	// contradict the first one.
	admissionDuplicate
	admissionRevoked
	admissionFull
)

// admit decides on the Submit of f. If it accepts the attempt, it adds f to those in progress.
func (r *forwardedRegistry) admit(f *forwardedAttempt) admission {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := f.submit.Attempt
	if reply, ok := r.outcomes.Get(attempt); ok {
		if reply.State == message.AttemptRevoked {
			return admissionRevoked
		}
		return admissionDuplicate
	}
	if r.active[attempt] != nil {
		return admissionDuplicate
	}
	if len(r.active) >= maxForwarded {
		return admissionFull
	}
	r.active[attempt] = f
	return admissionAccepted
}

// find returns the attempt if it is in progress, or nil.
func (r *forwardedRegistry) find(attempt message.Attempt) *forwardedAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active[attempt]
}

// recordOutcome removes an attempt from those in progress and stores its outcome for later queries. An attempt that was not run
// is stored as revoked, because it will never be started.
func (r *forwardedRegistry) recordOutcome(attempt message.Attempt, outcome message.Outcome) {
	reply := message.QueryReply{Attempt: attempt, State: message.AttemptDone, Outcome: outcome}
	switch outcome {
	case message.OutcomeNotRun:
		reply.State = message.AttemptRevoked
	case message.OutcomeUnknown:
		reply.State = message.AttemptUnknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, attempt)
	r.outcomes.Add(attempt, reply)
}

// queryOrRevoke returns the state of an attempt. An attempt that has not been seen is revoked, so that it can never start.
func (r *forwardedRegistry) queryOrRevoke(attempt message.Attempt) message.QueryReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[attempt] != nil {
		return message.QueryReply{Attempt: attempt, State: message.AttemptRunning}
	}
	if reply, ok := r.outcomes.Get(attempt); ok {
		return reply
	}
	reply := message.QueryReply{Attempt: attempt, State: message.AttemptRevoked}
	r.outcomes.Add(attempt, reply)
	return reply
}
