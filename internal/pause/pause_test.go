package pause_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/pause"
)

// Guards against a shutdown that is delayed until a pause has elapsed, and against a negative duration that blocks.
func TestForEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	started := time.Now()
	pause.For(ctx, time.Minute)
	g.Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
	started = time.Now()
	pause.For(context.Background(), -time.Second)
	g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	pause.For(context.Background(), 30*time.Millisecond)
	g.Expect(time.Since(started)).To(BeNumerically(">=", 30*time.Millisecond))
}
