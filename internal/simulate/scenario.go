// Package simulate is a discrete-event simulation of a fleet under load. Engines process requests in batches, in passes whose
// duration follows the cost model that the platform publishes (catalog.Engine). Callers have deadlines and retry once, and entries
// place requests with the production placement code on stale load reports. It needs no network; a scenario of a small site runs in
// well under a second.
package simulate

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// Kind describes a kind of request: its arrival rate, targets, value and size.
type Kind struct {
	Name string
	// PerSecond is the arrival rate at load 1, summed over all data centres.
	PerSecond float64
	// Priority is the priority of the kind's route; lower values are more urgent.
	Priority int
	// Target is the target time to the first event of an answer, which is delivered as a stream of events; Deadline bounds the whole
	// answer. Both count from the arrival.
	Target   time.Duration
	Deadline time.Duration
	// MaxPause is the pause limit of the kind's route, as in catalog.Route; 0 for none.
	MaxPause time.Duration
	// Value is the mean value of an answer in time; LateValueShare is the fraction of it that a late answer earns.
	Value, LateValueShare float64
	// MeanPromptTokens and MeanAnswerTokens are the mean token counts of a prompt and of an answer.
	MeanPromptTokens, MeanAnswerTokens float64
}

// Burst multiplies the arrival rate of a kind by Factor between From and To. An empty Kind stands for all kinds.
type Burst struct {
	Kind     string
	From, To time.Duration
	Factor   float64
}

// Scenario describes the fleet and the load of one simulation.
type Scenario struct {
	Name     string
	Duration time.Duration
	Kinds    []Kind
	Bursts   []Burst
	// Load multiplies all arrival rates. A start-up factor, which rises from 0.55 to 1 over the first 9 s, multiplies them too.
	Load float64
	// ProtectedKind is the name of a kind that all entries protect, as they do while they refuse requests of it that would crash upstreams;
	// empty for none. See placement.PriorityLimiter.Protect.
	ProtectedKind string
	Engine        catalog.Engine
	DataCentres   int
	// EnginesPerDataCentre and EntriesPerDataCentre are the numbers of engines and of entries in each data centre.
	EnginesPerDataCentre, EntriesPerDataCentre int
	// AddedEntries is the total number of additional entries, spread round-robin over the data centres.
	AddedEntries int
	// AddedEngines is the total number of additional engines, spread round-robin over the data centres. They have weights from
	// EnginesAddedAt on.
	AddedEngines   int
	EnginesAddedAt time.Duration
	// VersionSwapAt is when the engines start to load a new version, one at a time in each data centre; 0 means never.
	VersionSwapAt time.Duration
	// Slow makes engines slow in turns; the zero value leaves all at their normal speed.
	Slow SlowTurns
	// Links are the delays of load reports; the zero value selects those of the small site.
	Links Links
}

// LargeModel returns the cost model of a 70-billion-parameter model on two accelerators, as a platform publishes it.
func LargeModel() catalog.Engine {
	return catalog.Engine{Slots: 16, KVTokens: 1180000, StepTime: 8870 * time.Microsecond, StepTimePerSequence: 38800 * time.Nanosecond,
		StepTimePer1KContext: 22700 * time.Nanosecond, PrefillTokensPerSecond: 19100, PrefillChunkTokens: 2048, StepsPerPass: 5, Layers: 16,
		LoadTime: 300 * time.Millisecond, MeanPromptTokens: 977, MeanAnswerTokens: 94}
}

// SmallSite returns a scenario of a site with three data centres, 12 engines and 8 additional engines after 8 s, the size of the users'
// present sites.
func SmallSite() Scenario {
	return Scenario{
		Name: "small", Duration: 34 * time.Second, Load: 1.1, Engine: LargeModel(), DataCentres: 3, EnginesPerDataCentre: 4,
		EntriesPerDataCentre: 3, AddedEngines: 8, EnginesAddedAt: 8 * time.Second,
		Kinds: []Kind{
			{Name: "draft", PerSecond: 59.2, Priority: 2, Target: time.Second, Deadline: 6 * time.Second,
				Value: 1.2, LateValueShare: 0.44, MeanPromptTokens: 1330, MeanAnswerTokens: 105},
			{Name: "quote", PerSecond: 45.1, Priority: 0, Target: 400 * time.Millisecond, Deadline: 6 * time.Second,
				Value: 3.7, LateValueShare: 0.36, MeanPromptTokens: 827, MeanAnswerTokens: 105},
			{Name: "answer", PerSecond: 42.6, Priority: 1, Target: 400 * time.Millisecond, Deadline: 6 * time.Second,
				Value: 1.5, LateValueShare: 0.36, MeanPromptTokens: 647, MeanAnswerTokens: 70},
		},
	}
}

// NamedScenario returns the scenario of that name and reports whether it exists. Each scenario exercises one kind of overload or
// disruption; "quiet" is the reference.
func NamedScenario(name string) (Scenario, bool) {
	scenario := SmallSite()
	scenario.Name = name
	switch name {
	case "quiet":
		scenario.Load = 0.88
	case "flood": // The least urgent kind arrives at 2.3 times its rate, from before the added engines have weights.
		scenario.Bursts = []Burst{{Kind: "draft", From: 3 * time.Second, To: 10 * time.Second, Factor: 2.3}}
	case "urgent": // The most urgent kind arrives at 1.7 times its rate.
		scenario.Bursts = []Burst{{Kind: "quote", From: 12 * time.Second, To: 16 * time.Second, Factor: 1.7}}
	case "shortage": // No engines are added, and the load exceeds the capacity throughout.
		scenario.AddedEngines = 0
	case "uneven":
		return LargeSite(), true
	case "swap": // All engines load a new version, one at a time in each data centre.
		scenario.Load, scenario.VersionSwapAt = 0.88, 20*time.Second
	default:
		return Scenario{}, false
	}
	return scenario, true
}

// ScenarioNames are the names that NamedScenario accepts.
var ScenarioNames = []string{"quiet", "flood", "urgent", "shortage", "swap", "uneven"}
