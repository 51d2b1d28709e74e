package main

import (
	"fmt"
	"io"
	"time"
)

// report prints the results of steps as they come.
type report struct {
	out           io.Writer
	begin         time.Time
	steps, failed int
}

// step runs one step and prints its result. It returns false when the step failed.
func (r *report) step(name string, run func() error) bool {
	if r.steps == 0 {
		r.begin = time.Now()
	}
	r.steps++
	r.printf("\n%d. %s\n", r.steps, name)
	begin := time.Now()
	if err := run(); err != nil {
		r.failed++
		r.printf("   FAILED after %s: %v\n", rounded(time.Since(begin)), err)
		return false
	}
	r.printf("   ok, %s\n", rounded(time.Since(begin)))
	return true
}

// detail prints one line within a step.
func (r *report) detail(format string, args ...any) { r.printf("   "+format+"\n", args...) }

// printf writes to the report. There is nobody to tell when standard output is closed.
func (r *report) printf(format string, args ...any) { _, _ = fmt.Fprintf(r.out, format, args...) }

// finish prints the sum and tells whether every step went as expected.
func (r *report) finish() bool {
	if r.failed > 0 {
		r.printf("\nFAILED: %d of %d steps did not go as expected.\n", r.failed, r.steps)
		return false
	}
	r.printf("\nAll %d steps went as expected, %s.\n", r.steps, rounded(time.Since(r.begin)))
	return true
}

func rounded(d time.Duration) time.Duration {
	if d < time.Second {
		return d.Round(time.Millisecond)
	}
	return d.Round(100 * time.Millisecond)
}
