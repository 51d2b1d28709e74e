package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// eventsOf returns the text of events of a request.
func eventsOf(id string, events ...int) string {
	var text strings.Builder
	for _, i := range events {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", i, id)
	}
	return text.String()
}

// Guards against responses that are not judged because they were cut or resumed.
func TestStreamsAreJudgedWhetherCompleteOrCut(t *testing.T) {
	for name, c := range map[string]struct {
		after    int
		body     string
		complete bool
		wrong    bool
	}{
		"complete":                    {body: eventsOf("r", 1, 2, 3, 4, 5, 6, 7, 8), complete: true},
		"complete after event 6":      {after: 6, body: eventsOf("r", 7, 8), complete: true},
		"complete without last event": {body: eventsOf("r", 1, 2, 3, 4, 5, 6, 7), complete: true, wrong: true},
		"cut before the first event":  {},
		"cut after event 2":           {body: eventsOf("r", 1, 2)},
		"cut, events 3 and 4 after 2": {after: 2, body: eventsOf("r", 3, 4)},
		"cut, event 1 missing":        {body: eventsOf("r", 2, 3), wrong: true},
		"cut, event 3 missing":        {after: 2, body: eventsOf("r", 4), wrong: true},
		"cut, event 2 again":          {after: 2, body: eventsOf("r", 2, 3), wrong: true},
		"cut, event 1 twice":          {body: eventsOf("r", 1, 1), wrong: true},
		"cut in an event":             {body: eventsOf("r", 1) + "id: 2\n", wrong: true},
		"cut, event of another":       {body: eventsOf("r", 1) + eventsOf("s", 2), wrong: true},
	} {
		t.Run(name, func(t *testing.T) {
			checker := &checker{}
			checker.checkStream(callResult{id: "r", path: "/stream/", status: http.StatusOK, after: c.after, body: c.body, complete: c.complete})
			NewWithT(t).Expect(checker.findings).To(HaveLen(map[bool]int{true: 1}[c.wrong]))
		})
	}
}

// Guards against runs that leave out events which the caller lacks.
func TestRunsBehindEventsThatTheCallerLacksAreReported(t *testing.T) {
	now := time.Now()
	cut := callResult{id: "r", path: "/stream/", status: http.StatusOK, after: 2, body: eventsOf("r", 3), endedAt: now}
	for name, c := range map[string]struct {
		run   standin.Run
		wrong bool
	}{
		"where the caller asked":       {run: standin.Run{LastEventID: 2}},
		"earlier":                      {run: standin.Run{LastEventID: 1}},
		"behind the received event":    {run: standin.Run{LastEventID: 3}},
		"behind an event that is lost": {run: standin.Run{LastEventID: 4}, wrong: true},
		"after the caller has gone":    {run: standin.Run{LastEventID: 4, At: now.Add(time.Millisecond)}},
	} {
		t.Run(name, func(t *testing.T) {
			checker := &checker{}
			checker.checkRuns(cut, []standin.Run{c.run})
			NewWithT(t).Expect(checker.findings).To(HaveLen(map[bool]int{true: 1}[c.wrong]))
		})
	}
}

// Guards against gaps and repetitions between the responses of a stream that its caller has resumed.
func TestResumedStreamsAreJudgedAsOne(t *testing.T) {
	part := func(complete bool, after int, events ...int) callResult {
		return callResult{id: "r", streamID: "r", path: "/stream/", status: http.StatusOK, after: after, body: eventsOf("r", events...),
			complete: complete}
	}
	for name, c := range map[string]struct {
		parts []callResult
		wrong bool
	}{
		"whole":                  {parts: []callResult{part(false, 0, 1, 2, 3), part(true, 3, 4, 5, 6, 7, 8)}},
		"cut again":              {parts: []callResult{part(false, 0, 1, 2, 3), part(false, 3, 4)}},
		"gap":                    {parts: []callResult{part(false, 0, 1, 2), part(true, 3, 4, 5, 6, 7, 8)}, wrong: true},
		"repetition":             {parts: []callResult{part(false, 0, 1, 2, 3), part(true, 2, 3, 4, 5, 6, 7, 8)}, wrong: true},
		"complete without event": {parts: []callResult{part(false, 0, 1, 2, 3), part(true, 3, 4, 5, 6, 7)}, wrong: true},
	} {
		t.Run(name, func(t *testing.T) {
			checker := &checker{fleet: &testFleet{}, results: c.parts}
			checker.checkResumed()
			NewWithT(t).Expect(checker.findings).To(HaveLen(map[bool]int{true: 1}[c.wrong]))
		})
	}
}
