package main

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// acknowledge records that a version was sent and acknowledged at a time after the start.
func (h *history) acknowledge(published *publications, version int64, after time.Duration) {
	published.add(publication{version: version, sentAt: h.start.Add(after), acknowledgedAt: h.start.Add(after)})
}

// run reports how late a request of entry 0 began on version 1 at a time after the start.
func (h *history) run(after time.Duration) (late time.Duration) {
	h.checker.sent["r"] = sentRequest{entry: 0, at: h.start.Add(after)}
	_, _, late = h.checker.outdated(standin.Run{ID: "r", Version: 1, At: h.start.Add(after)})
	return late
}

// Guards against a check of versions that misses requests on an older one, and against one that reports those that are allowed: before the
// time for the rollout is over, and by entries that have not been undisturbed for contactTime.
func TestCheckOfVersions(t *testing.T) {
	const second = time.Second
	for name, tt := range map[string]struct {
		disturbed      string
		begin, end, at time.Duration
		isLate         bool
	}{
		"in time":                        {at: versionApply},
		"late":                           {at: versionApply + time.Millisecond, isLate: true},
		"entry restarted just before":    {disturbed: entryName(0), begin: 9 * second, end: 10 * second, at: 12 * second},
		"entry restarted earlier":        {disturbed: entryName(0), begin: 9 * second, end: 10 * second, at: 14 * second, isLate: true},
		"another entry restarted":        {disturbed: entryName(1), begin: 9 * second, end: 10 * second, at: 10 * second, isLate: true},
		"no long stretch with the store": {disturbed: storeName, begin: 7 * second, end: 8 * second, at: 18 * second},
		"long after the store was back":  {disturbed: storeName, begin: 7 * second, end: 8 * second, at: 20 * second, isLate: true},
		"long before the store failed":   {disturbed: storeName, begin: 9 * second, end: 10 * second, at: 14 * second, isLate: true},
		"store failed just before":       {disturbed: storeName, begin: 9 * second, end: 10 * second, at: 12 * second},
		"store failed before":            {disturbed: storeName, begin: -2 * second, end: -second, at: 9 * second},
	} {
		t.Run(name, func(t *testing.T) {
			g, h := NewWithT(t), newHistory()
			h.acknowledge(&h.checker.fleet.versions, 2, 0)
			if tt.disturbed != "" {
				h.disturb(tt.disturbed, tt.begin, tt.end)
			}
			g.Expect(h.run(tt.at) > 0).To(Equal(tt.isLate))
		})
	}
}

// Guards against a check of versions that requires a version for which the time is not over yet.
func TestNewestVersionIsRequiredOnlyOnceItsTimeIsOver(t *testing.T) {
	g, h := NewWithT(t), newHistory()
	h.acknowledge(&h.checker.fleet.versions, 2, 0)
	h.acknowledge(&h.checker.fleet.versions, 3, 5*time.Second)
	required, found := h.checker.requiredVersion(h.start.Add(9 * time.Second))
	g.Expect(found).To(BeTrue())
	g.Expect(required.version).To(BeEquivalentTo(2))
	required, _ = h.checker.requiredVersion(h.start.Add(14 * time.Second))
	g.Expect(required.version).To(BeEquivalentTo(3))
}

// Guards against a check of configurations that misses the use of an older one or a newer one that is not known, and against one that reports
// what is allowed.
func TestCheckOfConfigurations(t *testing.T) {
	for name, tt := range map[string]struct {
		version    int64
		at         time.Duration
		status     int
		runs       int
		restart    bool
		newer      bool
		isReported bool
	}{
		"older one used in time":             {version: 1, at: configApply, status: 200, runs: 1},
		"older one used late":                {version: 1, at: configApply + time.Millisecond, status: 200, runs: 1, isReported: true},
		"older one run without an answer":    {version: 1, at: 5 * time.Second, runs: 1, isReported: true},
		"older one unknown":                  {version: 1, at: 5 * time.Second, status: 404},
		"newest one unknown in time":         {version: 2, at: configApply, status: 404},
		"newest one unknown late":            {version: 2, at: 5 * time.Second, status: 404, isReported: true},
		"newest one refused":                 {version: 2, at: 5 * time.Second, status: 503},
		"newest one used":                    {version: 2, at: 5 * time.Second, status: 200, runs: 1},
		"entry restarted just before":        {version: 2, at: 5 * time.Second, status: 404, restart: true},
		"replaced by one that is sent":       {version: 2, at: 5 * time.Second, status: 404, newer: true},
		"one before the replaced one in use": {version: 1, at: 5 * time.Second, status: 200, runs: 1, newer: true, isReported: true},
	} {
		t.Run(name, func(t *testing.T) {
			g, h := NewWithT(t), newHistory()
			h.acknowledge(&h.checker.fleet.configs, 1, -time.Minute)
			h.acknowledge(&h.checker.fleet.configs, 2, 0)
			if tt.newer {
				h.acknowledge(&h.checker.fleet.configs, 3, tt.at-time.Second)
			}
			if tt.restart {
				h.disturb(entryName(0), tt.at-time.Second, tt.at-time.Millisecond)
			}
			h.checker.sent["r"] = sentRequest{entry: 0, at: h.start.Add(tt.at)}
			probe := configProbe{callResult{id: "r", status: tt.status}, tt.version}
			g.Expect(h.checker.checkProbe(probe, tt.runs) != "").To(Equal(tt.isReported))
		})
	}
}
