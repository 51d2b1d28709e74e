package dispatch

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// maxRelays bounds forwarded requests in progress.
	maxRelays = 4096
	// maxOutcomes bounds the remembered outcomes of forwarded attempts.
	maxOutcomes = 16384
)

// relays keeps the forwarded attempts that this entry serves.
//
// Invariant: an attempt that was revoked by a Query is never started, and an attempt is started at most once. Remembered
// outcomes make both hold for a late or repeated Submit.
type relays struct {
	// mu guards the fields below.
	mu       sync.Mutex
	active   map[message.Attempt]*relay
	outcomes *lru.Cache[message.Attempt, message.QueryReply]
}

func newRelays() *relays {
	outcomes, err := lru.New[message.Attempt, message.QueryReply](maxOutcomes)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &relays{active: make(map[message.Attempt]*relay), outcomes: outcomes}
}

// admission is the answer to a forwarded Submit.
type admission int

const (
	admitted admission = iota
	// duplicate attempts are in progress or done; answering them would contradict the first answer.
	duplicate
	revoked
	full
)

func (r *relays) admit(l *relay) admission {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := l.submit.Attempt
	if reply, ok := r.outcomes.Get(attempt); ok {
		if reply.State == message.AttemptRevoked {
			return revoked
		}
		return duplicate
	}
	if r.active[attempt] != nil {
		return duplicate
	}
	if len(r.active) >= maxRelays {
		return full
	}
	r.active[attempt] = l
	return admitted
}

func (r *relays) find(attempt message.Attempt) *relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active[attempt]
}

// done remembers the outcome of an attempt.
func (r *relays) done(attempt message.Attempt, outcome message.Outcome) {
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

// query returns what is known of an attempt. One that was never seen is revoked.
func (r *relays) query(attempt message.Attempt) message.QueryReply {
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

// count returns the number of attempts in progress.
func (r *relays) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active)
}
