package load_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/loadgen"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

const (
	wait     = 30 * time.Second
	loadTime = 3 * time.Second
	// The engine serves about 58 answers of 4 tokens a second: 8 in 4 steps of 34 ms.
	batch, tokens = 8, 4
	tokenTime     = 30 * time.Millisecond
	floodRate     = 400
	urgentTarget  = 500 * time.Millisecond
	// minServed is below the target of the bench: this suite guards the mechanism, and runs beside other suites.
	minServed = 0.9
)

// limitedConfig gives one caller narrow limits and shortens the target of the least urgent priority.
func limitedConfig(version string) string {
	text := testbed.DefaultConfig(version)
	text = strings.Replace(text, `target = "10s"`, `target = "2s"`, 1)
	text = strings.Replace(text, "[limits]\n", "[limits]\nmax_body_bytes = 65536\nmax_header_bytes = 8192\n", 1)
	text = strings.Replace(text, "name = \"small-9\"\n", "name = \"small-9\"\nrate = 10.0\n", 1)
	return strings.Replace(text, "name = \"small-8\"\n", "name = \"small-8\"\nmax_in_flight = 2\npriorities = [\"quote\", \"draft\"]\n", 1)
}

func launch(ctx context.Context) *testbed.Bed {
	bed, err := testbed.Launch(ctx, testbed.Fleet{
		DataCentres: []testbed.DataCentre{{Name: "dc-1", Region: "east", Entries: 2, Models: 1, Services: 1}},
		Engine:      testbed.Engine{MaxBatch: batch, TokenTime: tokenTime}, Config: limitedConfig,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(bed.Close)
	return bed
}

// stream sends chat requests of a caller through both entries.
func stream(bed *testbed.Bed, caller, priority string, rate float64) loadgen.Stream {
	return loadgen.Stream{
		Targets: []string{bed.CallerURL("entry-1"), bed.CallerURL("entry-2")}, Method: http.MethodPost, Path: testbed.ChatPath,
		Key: testbed.CallerKey(caller), Priority: priority, Rate: rate,
		Body: func(n int) []byte { return testbed.ChatBody(fmt.Sprintf("%s %d", caller, n), tokens, n%2 == 0) },
	}
}

// offer runs streams at once.
func offer(ctx context.Context, streams ...loadgen.Stream) []*loadgen.Summary {
	client := loadgen.NewClient(256, wait)
	defer client.Close()
	out := make([]*loadgen.Summary, len(streams))
	var wg sync.WaitGroup
	for i, s := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = client.Run(ctx, s, loadTime, int64(i))
		}()
	}
	wg.Wait()
	return out
}

var _ = Describe("A flooded fleet", Ordered, func() {
	var bed *testbed.Bed
	BeforeAll(func(ctx SpecContext) {
		bed = launch(ctx)
		offer(ctx, stream(bed, "small-1", "quote", 40)) // The agent learns how long answers take.
	}, NodeTimeout(2*wait))

	within := func(s loadgen.Stream, target time.Duration) loadgen.Stream {
		s.FirstByteTarget = target
		return s
	}

	// Guards against a queue that serves whatever floods it.
	It("serves urgent work during a flood of the least urgent priority", func(ctx SpecContext) {
		out := offer(ctx, within(stream(bed, "small-1", "urgent", 15), urgentTarget), stream(bed, testbed.LargeCaller, "draft", floodRate))
		Expect(out[0].InTimeShare()).To(BeNumerically(">=", minServed))
		Expect(out[1].NotRun).To(BeNumerically(">", 0), "the load was no flood")
		Expect(out[1].OK).To(BeNumerically(">", 0))
	}, NodeTimeout(wait))

	// Guards against strict priority without floors, and against a flood that is served only after its target.
	It("serves its floor to each priority during a flood of urgent work", func(ctx SpecContext) {
		out := offer(ctx, within(stream(bed, testbed.LargeCaller, "urgent", floodRate), urgentTarget),
			within(stream(bed, "small-1", "quote", 5), 2*time.Second), within(stream(bed, "small-2", "draft", 5), 2*time.Second))
		Expect(out[0].NotRun).To(BeNumerically(">", 0), "the load was no flood")
		Expect(float64(out[0].InTime)).To(BeNumerically(">=", minServed*float64(out[0].OK)))
		Expect(out[1].InTimeShare()).To(BeNumerically(">=", minServed))
		Expect(out[2].InTimeShare()).To(BeNumerically(">=", minServed))
	}, NodeTimeout(wait))

	// Guards against one queue for all callers of a priority.
	It("serves a small caller beside a large one of the same priority", func(ctx SpecContext) {
		out := offer(ctx, within(stream(bed, "small-1", "quote", 10), 2*time.Second), stream(bed, testbed.LargeCaller, "quote", floodRate))
		Expect(out[0].InTimeShare()).To(BeNumerically(">=", minServed))
		Expect(out[1].NotRun).To(BeNumerically(">", 0), "the load was no flood")
	}, NodeTimeout(wait))
})
