// Package simulate is a discrete-event model of heavy days: engines with the published pass, callers with deadlines and one repeat,
// and entries that decide with the product's own placement on reports that are old. It needs no network; a day of a small site
// takes well under a second.
package simulate

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// Kind is a kind of request.
type Kind struct {
	Name string
	// PerSecond is the rate of arrivals at load 1, all data centres together.
	PerSecond float64
	// Priority is that of its route.
	Priority int
	Target   time.Duration
	Deadline time.Duration
	// Worth is the mean benefit in time, LateShare the part of it that a late answer earns.
	Worth, LateShare float64
	// Prompt and Answer are mean token counts.
	Prompt, Answer float64
}

// Burst multiplies the arrivals of a kind for some time. An empty kind means all.
type Burst struct {
	Kind     string
	From, To time.Duration
	Factor   float64
}

// Day describes a day.
type Day struct {
	Name   string
	Length time.Duration
	Kinds  []Kind
	Bursts []Burst
	// Load multiplies all arrivals; it rises over the first 9 s from 0.55 to 1.
	Load    float64
	Engine  catalog.Engine
	Centres int
	// Engines is the number of engines in each data centre, Entries that of entries.
	Engines, Entries int
	// Added engines get weights at AddedAt, in turn over the data centres.
	Added   int
	AddedAt time.Duration
	// Swap is when all engines load a version, one of each data centre after the other; 0 never.
	Swap time.Duration
}

// LargeModel returns cost figures of a 70-billion-parameter model on two accelerators, as a platform publishes them.
func LargeModel() catalog.Engine {
	return catalog.Engine{Slots: 16, KVTokens: 1180000, StepTime: 8870 * time.Microsecond, StepTimePerSequence: 38800 * time.Nanosecond,
		StepTimePer1KContext: 22700 * time.Nanosecond, PrefillTokensPerSecond: 19100, PrefillChunkTokens: 2048, StepsPerPass: 5, Layers: 16, LoadTime: 300 * time.Millisecond,
		MeanPromptTokens: 977, MeanAnswerTokens: 94}
}

// SmallSite returns a day of a site with three data centres, 12 engines and 8 further ones after 8 s, like the users' ones today.
func SmallSite() Day {
	return Day{
		Name: "small", Length: 34 * time.Second, Load: 1.1, Engine: LargeModel(), Centres: 3, Engines: 4, Entries: 3, Added: 8,
		AddedAt: 8 * time.Second,
		Kinds: []Kind{
			{Name: "draft", PerSecond: 59.2, Priority: 2, Target: time.Second, Deadline: 6 * time.Second, Worth: 1.2, LateShare: 0.44, Prompt: 1330, Answer: 105},
			{Name: "quote", PerSecond: 45.1, Priority: 0, Target: 400 * time.Millisecond, Deadline: 6 * time.Second, Worth: 3.7, LateShare: 0.36, Prompt: 827, Answer: 105},
			{Name: "answer", PerSecond: 42.6, Priority: 1, Target: 400 * time.Millisecond, Deadline: 6 * time.Second, Worth: 1.5, LateShare: 0.36, Prompt: 647, Answer: 70},
		},
	}
}

// Pattern is a named heavy day. Each shows one way in which load hurts.
func Pattern(name string) (Day, bool) {
	d := SmallSite()
	d.Name = name
	switch name {
	case "quiet":
		d.Load = 0.88
	case "flood": // The least urgent kind comes 2.3 times as often while the added engines are still empty.
		d.Bursts = []Burst{{Kind: "draft", From: 3 * time.Second, To: 10 * time.Second, Factor: 2.3}}
	case "urgent": // The most urgent kind comes 1.7 times as often.
		d.Bursts = []Burst{{Kind: "quote", From: 12 * time.Second, To: 16 * time.Second, Factor: 1.7}}
	case "shortage": // No engines are added, and the load is above what the others carry all day.
		d.Added = 0
	case "swap": // All engines load a new version one after the other.
		d.Load, d.Swap = 0.88, 20*time.Second
	default:
		return Day{}, false
	}
	return d, true
}

// Patterns are the names that Pattern knows.
var Patterns = []string{"quiet", "flood", "urgent", "shortage", "swap"}
