package main

import (
	"math/rand/v2"
	"time"
)

// restoreStore restores the store from copies of itself at random times, for the given time, beside the other faults. It does so with a
// generator of its own, so that the sequence of the other faults of a seed stays the same. The channel receives the number of restores.
func (fleet *testFleet) restoreStore(rng *rand.Rand, length time.Duration) <-chan int {
	// A copy is restored after a random time: at least minAge, and less than the sum of minAge and ageSpread.
	const minAge, ageSpread = 100 * time.Millisecond, 4 * time.Second
	done := make(chan int, 1)
	deadline := time.Now().Add(length)
	go func() {
		restores := 0
		for {
			copied := fleet.store.Copy()
			time.Sleep(minAge + time.Duration(rng.Int64N(int64(ageSpread))))
			if time.Now().After(deadline) {
				done <- restores
				return
			}
			fleet.store.Restore(copied)
			fleet.writeAgain()
			restores++
		}
	}()
	return done
}

// writeAgain writes again what the operator wrote last, as it does after a restore of the store. Servers announce themselves periodically.
func (fleet *testFleet) writeAgain() {
	fleet.operatorMu.Lock()
	defer fleet.operatorMu.Unlock()
	fleet.writeConfig(fleet.configVersion.Load())
	if fleet.newestVersion > 1 {
		fleet.writeVersion()
	}
}
