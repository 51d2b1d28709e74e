package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/loadgen"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/settings"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

// The fleet of the request scenarios. An answer takes about 140 ms in a full batch, so that capacity is about 170 requests
// a second and a tenfold flood stays within what one machine can send.
const (
	loadEntries   = 4
	loadEngines   = 3
	loadBatch     = 8
	loadTokenTime = 30 * time.Millisecond
	loadTokens    = 4
)

// Durations of the phases of a request scenario.
const (
	capacityRun   = 2500 * time.Millisecond
	warmUp        = 1500 * time.Millisecond
	warmUpLoad    = 0.9
	callerGivesUp = 3 * time.Second
	// rampUp is left out of rates.
	rampUp = time.Second
)

// Targets of the priorities in the scenarios' configuration.
var loadTargets = map[string]time.Duration{"urgent": 500 * time.Millisecond, "quote": time.Second, "draft": 2 * time.Second}

// Shares and floors of the default configuration.
const (
	urgentShare = 0.7
	anyFloor    = 0.1
)

// figure is one result of a request scenario. Without a lower bound it is printed for comparison.
type figure struct {
	name  string
	value float64
	unit  string
	low   float64
}

// loadBed is a fleet under load.
type loadBed struct {
	bed    *testbed.Bed
	client *loadgen.Client
	// entries are the base URLs for callers.
	entries []string
	seed    int64
	// capacity is what the engines serve, in requests a second.
	capacity float64
	// limits are the samples of the last offer.
	limits limitSamples
}

// demand is one stream of requests; load is relative to the capacity.
type demand struct {
	caller, priority string
	load             float64
	// entries are those that the caller uses. Default all.
	entries []string
}

// served is what the callers of a demand observed.
type served struct {
	demand
	duration time.Duration
	began    time.Time
	// mu guards results.
	mu      sync.Mutex
	results []loadgen.Result
	skipped int64
}

// inTime tells whether a caller got its answer within the target of the priority.
func (s *served) inTime(r loadgen.Result) bool {
	return r.Outcome == loadgen.OutcomeOK && r.FirstByte <= loadTargets[s.priority]
}

// inTimeShare is the part of all requests that was answered in time.
func (s *served) inTimeShare() float64 {
	count := 0
	for _, r := range s.results {
		if s.inTime(r) {
			count++
		}
	}
	return float64(count) / max(float64(len(s.results))+float64(s.skipped), 1)
}

// rate returns in-time answers a second, and all whole answers a second, after the ramp-up and while the load lasted.
func (s *served) rate() (inTime, all float64) {
	from, to := s.began.Add(rampUp), s.began.Add(s.duration)
	for _, r := range s.results {
		if end := r.Scheduled.Add(r.Total); r.Outcome != loadgen.OutcomeOK || end.Before(from) || end.After(to) {
			continue
		}
		all++
		if s.inTime(r) {
			inTime++
		}
	}
	seconds := to.Sub(from).Seconds()
	return inTime / seconds, all / seconds
}

// runLoad runs a request scenario, and again with the shared queue when the baseline is asked for.
func runLoad(ctx context.Context, opts options, r *report, measure func(context.Context, *loadBed) []figure) error {
	l, err := startLoad(ctx, opts, settings.Agent{}, 0)
	if err != nil {
		return err
	}
	r.info("capacity", l.capacity, "requests/s")
	figures := measure(ctx, l)
	l.close()
	for _, f := range figures {
		if f.low > 0 {
			r.atLeast(f.name, f.value, f.unit, f.low)
		} else {
			r.info(f.name, f.value, f.unit)
		}
	}
	if !opts.baseline {
		return nil
	}
	l, err = startLoad(ctx, opts, settings.Agent{BaselineScheduling: true}, l.capacity)
	if err != nil {
		return err
	}
	defer l.close()
	for _, f := range measure(ctx, l) {
		r.info("baseline "+f.name, f.value, f.unit)
	}
	return nil
}

// startLoad starts the fleet, measures the capacity unless it is known, and warms up.
func startLoad(ctx context.Context, opts options, agent settings.Agent, capacity float64) (*loadBed, error) {
	bed, err := testbed.Launch(ctx, testbed.Fleet{
		DataCentres: []testbed.DataCentre{{Name: "dc-1", Region: "east", Entries: loadEntries, Models: loadEngines}},
		Engine:      testbed.Engine{MaxBatch: loadBatch, TokenTime: loadTokenTime},
		Agent:       agent, Config: loadConfig,
	})
	if err != nil {
		return nil, err
	}
	l := &loadBed{bed: bed, client: loadgen.NewClient(512, callerGivesUp), seed: opts.seed, capacity: capacity}
	for _, n := range bed.Nodes(message.RoleEntry) {
		l.entries = append(l.entries, bed.CallerURL(n.ID))
	}
	if capacity == 0 {
		l.capacity = l.measureCapacity(ctx)
	}
	l.offer(ctx, warmUp, demand{caller: testbed.LargeCaller, priority: "quote", load: warmUpLoad})
	return l, nil
}

func loadConfig(version string) string {
	text := testbed.DefaultConfig(version)
	text = strings.Replace(text, `target = "2s"`, `target = "1s"`, 1)
	return strings.Replace(text, `target = "10s"`, `target = "2s"`, 1)
}

func (l *loadBed) close() {
	l.client.Close()
	l.bed.Close()
}

// loadBody builds the body of request n. Every second answer is streamed, because their first bytes come much earlier.
func loadBody(n int) []byte {
	return testbed.ChatBody(fmt.Sprintf("Quote for order %d of hem tape.", n), loadTokens, n%2 == 0)
}

// measureCapacity keeps the batches of all engines full without entries and agents and returns the requests served a second.
func (l *loadBed) measureCapacity(ctx context.Context) float64 {
	nodes := l.bed.Nodes(message.RoleAgent)
	rates := make([]float64, len(nodes))
	var wg sync.WaitGroup
	for i, n := range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rates[i] = l.engineRate(ctx, l.bed.UpstreamURL(n.Upstream))
		}()
	}
	wg.Wait()
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	return sum
}

// engineRate keeps one engine full with a closed loop and returns the number of workers divided by the mean time of a request.
// Requests end in groups, one for each pass of the batch: counting them in a fixed period is wrong by up to one group, which
// is 9% of 1.5 s.
func (l *loadBed) engineRate(ctx context.Context, url string) float64 {
	const workers = 2 * loadBatch
	s := loadgen.Stream{Targets: []string{url}, Method: http.MethodPost, Path: testbed.ChatPath, Body: loadBody}
	var mu sync.Mutex
	var sum time.Duration
	count := 0
	var wg sync.WaitGroup
	begin := time.Now()
	stop := begin.Add(capacityRun)
	for worker := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := worker; ctx.Err() == nil && time.Now().Before(stop); i++ {
				r := l.client.Do(ctx, &s, i, time.Now())
				if r.Outcome == loadgen.OutcomeOK && r.Scheduled.After(begin.Add(rampUp)) && time.Now().Before(stop) {
					mu.Lock()
					sum, count = sum+r.Total, count+1
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	return workers * float64(count) / max(sum.Seconds(), time.Millisecond.Seconds())
}

// offer sends all demands at once for the duration and waits for the answers.
func (l *loadBed) offer(ctx context.Context, duration time.Duration, demands ...demand) []*served {
	out := make([]*served, len(demands))
	var wg sync.WaitGroup
	sampling, stop := context.WithTimeout(ctx, duration)
	defer stop()
	sampled := make(chan limitSamples, 1)
	go func() { sampled <- l.sampleLimits(sampling) }()
	for i, d := range demands {
		s := &served{demand: d, duration: duration, began: time.Now()}
		out[i] = s
		l.seed++
		stream, seed := l.stream(s), l.seed
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.skipped = l.client.Run(ctx, stream, duration, seed).Skipped
		}()
	}
	wg.Wait()
	l.limits = <-sampled
	return out
}

func (l *loadBed) stream(s *served) loadgen.Stream {
	entries := s.entries
	if len(entries) == 0 {
		entries = l.entries
	}
	offset := int(l.seed) << 16 // Keeps the prompts of different streams apart.
	return loadgen.Stream{
		Targets: entries, Method: http.MethodPost, Path: testbed.ChatPath, Key: testbed.CallerKey(s.caller),
		Priority: s.priority, Rate: s.load * l.capacity, MaxOutstanding: 10000, FirstByteTarget: loadTargets[s.priority],
		Body: func(n int) []byte { return loadBody(n + offset) },
		Observe: func(r loadgen.Result) {
			r.Body = nil
			s.mu.Lock()
			defer s.mu.Unlock()
			s.results = append(s.results, r)
		},
	}
}
