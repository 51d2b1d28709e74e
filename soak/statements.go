package main

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

const (
	// Time between two statements, and the time for which a server refuses requests when it asks for a pause. A random time is at least the
	// minimum, and less than the sum of minimum and spread.
	minStatementInterval, statementIntervalSpread = 500 * time.Millisecond, time.Second
	refusalTime                                   = 200 * time.Millisecond
	// Length of pauses, and the time until a server restarts that leaves, which is more than
	// standin.DrainBound, or that has asked for longPause.
	minPause, pauseSpread     = 800 * time.Millisecond, 2 * time.Second
	minLeaving, leavingSpread = 2500 * time.Millisecond, 3 * time.Second
	// longPause is longer than a run, unreadablePause no time, in seconds as they are written.
	longPause, unreadablePause = "86400", "soon"
)

// injectModelStatements makes random model servers say that they pause or leave, until stop is closed. A server that leaves restarts later.
func (fleet *testFleet) injectModelStatements(rng *rand.Rand, stop <-chan struct{}) {
	for sleep(randomTime(rng, minStatementInterval, statementIntervalSpread), stop) {
		fleet.statements.Add(1)
		model := fleet.models[rng.IntN(len(fleet.models))]
		switch rng.IntN(4) {
		case 0:
			model.Availability.SetLeaving("1")
			sleep(randomTime(rng, minLeaving, leavingSpread), stop)
			model.Restart()
		case 1:
			refuse(&model.Availability, longPause)
			sleep(randomTime(rng, minLeaving, leavingSpread), stop)
			model.Restart()
		case 2:
			refuse(&model.Availability, randomPause(rng))
			refuse(&model.Availability, unreadablePause)
		default:
			refuse(&model.Availability, randomPause(rng))
		}
	}
}

// injectDeskStatements makes random servers of the service "desk" ask for pauses until stop is closed.
func (fleet *testFleet) injectDeskStatements(rng *rand.Rand, stop <-chan struct{}) {
	for sleep(randomTime(rng, minStatementInterval, statementIntervalSpread), stop) {
		fleet.statements.Add(1)
		refuse(&fleet.desks[rng.IntN(len(fleet.desks))].Availability, randomPause(rng))
	}
}

// refuse makes a server refuse all requests for refusalTime and ask for a pause.
func refuse(server *standin.Availability, seconds string) {
	server.SetPause(seconds)
	time.Sleep(refusalTime)
	server.SetPause("")
}

// randomPause returns the length of a pause in seconds.
func randomPause(rng *rand.Rand) string {
	return strconv.FormatFloat(randomTime(rng, minPause, pauseSpread).Seconds(), 'f', 2, 64)
}

// randomTime returns a random time from shortest to less than shortest+spread.
func randomTime(rng *rand.Rand, shortest, spread time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(spread)))
}

// sleep waits for d and reports whether stop was not closed meanwhile.
func sleep(d time.Duration, stop <-chan struct{}) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}
