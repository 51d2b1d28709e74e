package simulate

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// SlowTurns describes engines that are slow in turns. Each engine draws anew after every Interval, at a phase of its own, whether it is slow.
type SlowTurns struct {
	// Share is the probability that an engine is slow, Factor how many times as long its passes then take.
	Share, Factor float64
	Interval      time.Duration
}

// Links describes how late entries learn of load. With a Remote delay, entries also learn the work that the entries of other data centres
// have in progress at engines there, as they do from the reports of package directpath.
type Links struct {
	// Local and Remote are the delays of a load report to an entry of the data centre of its engine and to other entries.
	Local, Remote time.Duration
}

// WithoutPauseLimit returns the scenario with routes that have no pause limit, whose streams are placed by the predicted wait alone.
func (s Scenario) WithoutPauseLimit() Scenario {
	kinds := append([]Kind(nil), s.Kinds...)
	for i := range kinds {
		kinds[i].MaxPause = 0
	}
	s.Kinds = kinds
	return s
}

// LargeSite returns a scenario of 40 engines of 12 slots and 41 entries in three data centres, with engines that are slow in turns. At
// Load 1 the load exceeds the capacity. At 0.53, without a pause limit, 33 of 100 streams find 10 of 12 slots in use, 3 of 100 go to another
// data centre and the median of the predicted times to the first event is 162 ms; at a site of this size, these were 36, 2 and 164 ms.
func LargeSite() Scenario {
	const pause = 400 * time.Millisecond
	return Scenario{
		Name: "uneven", Duration: 34 * time.Second, Load: 0.53, DataCentres: 3, EnginesPerDataCentre: 13, AddedEngines: 1,
		EntriesPerDataCentre: 13, AddedEntries: 2,
		Slow:  SlowTurns{Share: 0.15, Factor: 2.5, Interval: 600 * time.Millisecond},
		Links: Links{Local: 20 * time.Millisecond, Remote: 100 * time.Millisecond},
		Engine: catalog.Engine{Slots: 12, KVTokens: 1180000, StepTime: 9270 * time.Microsecond, StepTimePerSequence: 23200 * time.Nanosecond,
			StepTimePer1KContext: 32200 * time.Nanosecond, PrefillTokensPerSecond: 20700, PrefillTimePerMillionPairs: 1180 * time.Microsecond,
			PrefillChunkTokens: 2048, StepsPerPass: 5, Layers: 16, LoadTime: 300 * time.Millisecond, MeanPromptTokens: 942, MeanAnswerTokens: 94},
		Kinds: []Kind{
			{Name: "draft", PerSecond: 194, Priority: 2, Target: 500 * time.Millisecond, MaxPause: pause, Deadline: 6 * time.Second,
				Value: 1.2, LateValueShare: 0.25, MeanPromptTokens: 1290, MeanAnswerTokens: 104},
			{Name: "quote", PerSecond: 142, Priority: 0, Target: 400 * time.Millisecond, MaxPause: pause, Deadline: 6 * time.Second,
				Value: 3.7, LateValueShare: 0.25, MeanPromptTokens: 787, MeanAnswerTokens: 104},
			{Name: "answer", PerSecond: 135, Priority: 1, Target: 400 * time.Millisecond, MaxPause: pause, Deadline: 6 * time.Second,
				Value: 1.5, LateValueShare: 0.25, MeanPromptTokens: 607, MeanAnswerTokens: 70},
		},
	}
}
