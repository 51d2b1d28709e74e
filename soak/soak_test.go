package main

import (
	"os"
	"testing"
	"time"

	"github.com/pimentohead/pimentohead/internal/testbed"
)

func TestMain(m *testing.M) {
	code := m.Run()
	testbed.RemoveBinaries()
	os.Exit(code)
}

// keptSeeds are seeds that once failed, with the cause, and one that never did.
var keptSeeds = map[uint64]string{
	37: "the harness waited for the end of a process that another fault had started again",
	1:  "no failure so far; covers stops, pauses, a silent and a refusing store, a version and a configuration",
}

// Guards against promises that hold only while nothing fails: at-most-once, true refusals, whole answers, return to full service.
func TestKeptSeeds(t *testing.T) {
	for seed, cause := range keptSeeds {
		findings, summary, err := Play(seed, 6*time.Second, "")
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range findings {
			t.Errorf("seed %d (%s): %s", seed, cause, f)
		}
		t.Log(summary)
	}
}
