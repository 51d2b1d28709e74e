package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

const (
	// versionApply and configApply are the times from the acknowledgement of a version of the model or of the configuration after which no
	// older one may be in use.
	versionApply = versionApplyMS * time.Millisecond
	configApply  = configApplyMS * time.Millisecond
	// contactTime is the time for which an entry has to have run, with the store undisturbed, for these bounds to apply to it.
	contactTime = 3 * time.Second
)

// boundsApply reports whether bounds apply to an entry at a time.
func (c *checker) boundsApply(entry int, at time.Time) bool {
	since := at.Add(-contactTime)
	return !c.fleet.disturbances.overlap(entryName(entry), since, at) && !c.fleet.disturbances.overlap(storeName, since, at)
}

// requiredVersion returns the newest version of the model for which no request may begin on an older one at a time, and whether there is
// one. The time for its rollout has to pass while the store is undisturbed without a break.
func (c *checker) requiredVersion(at time.Time) (required publication, found bool) {
	for _, p := range c.fleet.versions.all() {
		if c.fleet.disturbances.longestUndisturbed(storeName, p.acknowledgedAt, at, contactTime) > versionApply {
			required, found = p, true
		}
	}
	return required, found
}

// requiredConfig returns the newest version of the configuration that must be in force at a time, and whether there is one.
func (c *checker) requiredConfig(at time.Time) (required publication, found bool) {
	for _, p := range c.fleet.configs.all() {
		if at.Sub(p.acknowledgedAt) > configApply {
			required, found = p, true
		}
	}
	return required, found
}

// checkVersions reports the requests that model servers began on an older version than the one required. One finding stands for all
// requests that an entry sent on one version.
func (c *checker) checkVersions() {
	type key struct {
		entry             int
		version, required int64
	}
	counts := map[key]int{}
	latest := map[key]time.Duration{}
	for _, m := range c.fleet.models {
		for _, run := range m.Runs() {
			entry, required, late := c.outdated(run)
			if late > 0 {
				k := key{entry, run.Version, required}
				counts[k]++
				latest[k] = max(latest[k], late)
			}
		}
	}
	for k, count := range counts {
		c.reportf("%d requests of %s began on version %d although version %d is required, the last one %s after its acknowledgement",
			count, entryName(k.entry), k.version, k.required, latest[k].Round(time.Millisecond))
	}
}

// outdated returns how long after the acknowledgement of the required version a run began on an older one, 0 if that is allowed.
func (c *checker) outdated(run standin.Run) (entry int, required int64, late time.Duration) {
	entry = c.sent[run.ID].entry
	p, found := c.requiredVersion(run.At)
	if !found || !c.boundsApply(entry, run.At) {
		return entry, p.version, 0
	}
	c.boundedRequests++
	if run.Version >= p.version {
		return entry, p.version, 0
	}
	return entry, p.version, run.At.Sub(p.acknowledgedAt)
}

// checkConfigs reports the requests that entries handled by an older configuration than the one required.
func (c *checker) checkConfigs() {
	found := map[string]int{}
	for _, probe := range c.probes {
		runs := 0
		for _, d := range c.fleet.plainServers() {
			runs += d.Runs(probe.id)
		}
		if finding := c.checkProbe(probe, runs); finding != "" {
			found[finding]++
		}
	}
	for finding, count := range found {
		c.reportf("%d times: %s", count, finding)
	}
}

// checkProbe returns what is wrong with the answer to a probe, or an empty text. runs is how often servers have run its request.
func (c *checker) checkProbe(probe configProbe, runs int) (finding string) {
	sent := c.sent[probe.id]
	required, found := c.requiredConfig(sent.at)
	if !found || !c.boundsApply(sent.entry, sent.at) {
		return ""
	}
	c.boundedRequests++
	switch {
	case probe.version < required.version && runs > 0:
		return fmt.Sprintf("%s used configuration %d although %d is required", entryName(sent.entry), probe.version, required.version)
	case probe.version == required.version && probe.status == http.StatusNotFound &&
		!c.configSentBefore(required.version+1, sent.at.Add(probe.elapsed())):
		return fmt.Sprintf("%s did not know the route of configuration %d, which is required", entryName(sent.entry), required.version)
	}
	return ""
}

// configSentBefore reports whether the operator had sent a version of the configuration to the store before a time. Its routes may have
// replaced those of the version before.
func (c *checker) configSentBefore(version int64, at time.Time) bool {
	for _, p := range c.fleet.configs.all() {
		if p.version == version && p.sentAt.Before(at) {
			return true
		}
	}
	return false
}
