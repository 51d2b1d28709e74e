package main

import (
	"math/rand/v2"
	"time"
)

// injectStatements makes random servers say that they pause or leave, until stop is closed. A server that leaves restarts later. It uses
// its own generator, so that it does not affect the sequence of faults.
func (fleet *testFleet) injectStatements(rng *rand.Rand, stop <-chan struct{}) {
	const (
		minInterval, intervalSpread = 500 * time.Millisecond, time.Second
		refusalTime, leavingTime    = 200 * time.Millisecond, time.Second
	)
	for {
		select {
		case <-stop:
			return
		case <-time.After(minInterval + time.Duration(rng.Int64N(int64(intervalSpread)))):
		}
		fleet.statements.Add(1)
		model, desk := fleet.models[rng.IntN(len(fleet.models))], fleet.desks[rng.IntN(len(fleet.desks))]
		switch rng.IntN(3) {
		case 0:
			model.Availability.SetLeaving("1")
			time.Sleep(leavingTime)
			model.Restart()
		case 1:
			model.Availability.SetPause("1.5")
			time.Sleep(refusalTime)
			model.Availability.SetPause("")
		default:
			desk.Availability.SetPause("0.8")
			time.Sleep(refusalTime)
			desk.Availability.SetPause("")
		}
	}
}
