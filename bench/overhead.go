package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/loadgen"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

func init() {
	scenarios["overhead"] = scenario{
		description: "latency, processor time and memory that entry and agent add to a short answer",
		run:         runOverhead,
	}
}

// Targets of the design page.
const (
	maxAddedMillis = 0.5
	// maxMemoryRatio stands for no growth; the tenth is for the size of the garbage collector's heap, which differs between
	// samples.
	maxMemoryRatio = 1.1
)

const (
	overheadWarmUp  = 500
	overheadPairs   = 3000
	overheadWorkers = 8
	// memoryRequests are sent before the first sample of memory, memoryFactor times as many before the second.
	memoryRequests = 10000
	memoryFactor   = 5
)

// overhead is one run of the scenario.
type overhead struct {
	bed             *testbed.Bed
	client          *loadgen.Client
	direct, through loadgen.Stream
	// pids are the entry and the agent.
	pids []int
}

func runOverhead(ctx context.Context, _ options, r *report) error {
	bed, err := testbed.Launch(ctx, testbed.Fleet{
		DataCentres: []testbed.DataCentre{{Name: "dc-1", Region: "east", Entries: 1, Services: 1}},
	})
	if err != nil {
		return err
	}
	defer bed.Close()
	entry, agent := bed.Nodes(message.RoleEntry)[0], bed.Nodes(message.RoleAgent)[0]
	o := &overhead{bed: bed, client: loadgen.NewClient(overheadWorkers, callerGivesUp)}
	defer o.client.Close()
	o.pids = []int{bed.Process(entry.ID).PID(), bed.Process(agent.ID).PID()}
	stream := loadgen.Stream{Method: http.MethodGet, Path: testbed.StockPath + "tape", Key: testbed.CallerKey("small-1")}
	o.direct, o.through = stream, stream
	o.direct.Targets, o.through.Targets = []string{bed.UpstreamURL(agent.Upstream)}, []string{bed.CallerURL(entry.ID)}
	if err := o.latency(ctx, r); err != nil {
		return err
	}
	return o.cost(ctx, r)
}

// latency sends direct requests and requests through the system in turn, so that both meet the same load of the machine.
func (o *overhead) latency(ctx context.Context, r *report) error {
	var direct, through []float64
	for i := range overheadWarmUp + overheadPairs {
		for _, side := range []struct {
			stream *loadgen.Stream
			out    *[]float64
		}{{&o.direct, &direct}, {&o.through, &through}} {
			result := o.client.Do(ctx, side.stream, i, time.Now())
			if result.Outcome != loadgen.OutcomeOK {
				return errors.Newf("overhead: outcome %s with status %d", result.Outcome, result.Status)
			}
			if i >= overheadWarmUp {
				*side.out = append(*side.out, float64(result.Total.Microseconds())/1000)
			}
		}
	}
	slices.Sort(direct)
	slices.Sort(through)
	for _, q := range []int{50, 99} {
		at := len(direct) * q / 100
		r.info(fmt.Sprintf("direct p%d", q), direct[at], "ms")
		r.info(fmt.Sprintf("through p%d", q), through[at], "ms")
	}
	r.atMost("added p50", through[len(through)/2]-direct[len(direct)/2], "ms", maxAddedMillis)
	return nil
}

// cost reports processor time per request, and resident memory after a number of requests and after several times as many.
func (o *overhead) cost(ctx context.Context, r *report) error {
	if err := o.send(ctx, memoryRequests); err != nil {
		return err
	}
	before, err := o.usage()
	if err != nil {
		return err
	}
	begin := time.Now()
	if err := o.send(ctx, memoryFactor*memoryRequests); err != nil {
		return err
	}
	seconds := time.Since(begin).Seconds()
	after, err := o.usage()
	if err != nil {
		return err
	}
	const requests = memoryFactor * memoryRequests
	r.info("closed loop", requests/seconds, "requests/s")
	total := 0.0
	for i, role := range []message.Role{message.RoleEntry, message.RoleAgent} {
		cpu := (after[i].processorSeconds - before[i].processorSeconds) * 1e6 / requests
		total += cpu
		r.info(string(role)+" processor time", cpu, "us/request")
		r.info(string(role)+" memory first", before[i].megabyte, "MB")
		r.info(string(role)+" memory last", after[i].megabyte, "MB")
		r.atMost(string(role)+" memory ratio", after[i].megabyte/before[i].megabyte, "ratio", maxMemoryRatio)
	}
	r.info("processor time", total, "us/request")
	return nil
}

func (o *overhead) usage() ([]usage, error) {
	out := make([]usage, len(o.pids))
	for i, pid := range o.pids {
		var err error
		if out[i].processorSeconds, err = processorSeconds(pid); err != nil {
			return nil, err
		}
		if out[i].megabyte, err = residentMegabytes(pid); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// send sends requests from several workers without a pause.
func (o *overhead) send(ctx context.Context, count int64) error {
	var next, failed atomic.Int64
	var wg sync.WaitGroup
	for range overheadWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := next.Add(1); n <= count && ctx.Err() == nil; n = next.Add(1) {
				if o.client.Do(ctx, &o.through, int(n), time.Now()).Outcome != loadgen.OutcomeOK {
					failed.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	if failed.Load() > 0 {
		return errors.Newf("overhead: %d of %d requests failed", failed.Load(), count)
	}
	return ctx.Err()
}
