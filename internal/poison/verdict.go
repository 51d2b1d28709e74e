package poison

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// crashesToRefuse is the number of upstream processes that have to end under a subject that never had an answer before it is
	// refused. One fewer would refuse a new part of prompts for two ends of other causes.
	crashesToRefuse = 3
	// answeredCrashesToRefuse is that number for a subject that had an answer before; only crashes after the last answer count.
	answeredCrashesToRefuse = 5
)

// Verdict names what requests have in common that are refused: requests that have all Subjects. It has several subjects as long
// as no crash and no answer tells apart which of them crashes upstreams; a request that has only some of them is still served.
type Verdict struct {
	// Subjects are sorted.
	Subjects []string
	// Crashes is the number of crashes that it explains, 0 if it was read from durable storage.
	Crashes int
}

// newVerdict returns a verdict on subjects.
func newVerdict(subjects []string, crashes int) Verdict {
	sorted := slices.Clone(subjects)
	slices.Sort(sorted)
	return Verdict{Subjects: slices.Compact(sorted), Crashes: crashes}
}

// Key identifies the verdict by its subjects.
func (v Verdict) Key() string { return strings.Join(v.Subjects, " ") }

// Refuses reports whether a request with the subjects is refused.
func (v Verdict) Refuses(subjects []string) bool {
	for _, s := range v.Subjects {
		if !slices.Contains(subjects, s) {
			return false
		}
	}
	return true
}

// verdictSet is an immutable set of verdicts.
type verdictSet struct {
	verdicts []Verdict
}

// isPart reports whether a subject is a part of prompts.
func isPart(subject string) bool { return strings.HasPrefix(subject, partPrefix) }

// Active reports whether any request is refused at present. Most of the time there is none, and callers can then skip computing
// subjects.
func (l *Ledger) Active() bool { return len(l.current.Load().verdicts) > 0 }

// Refusing returns the verdict that refuses a request with the subjects, and false if it may run.
func (l *Ledger) Refusing(subjects []string) (Verdict, bool) {
	for _, v := range l.current.Load().verdicts {
		if v.Refuses(subjects) {
			return v, true
		}
	}
	return Verdict{}, false
}

// Verdicts returns the verdicts in force. Verdicts of which the evidence has expired are dropped first.
func (l *Ledger) Verdicts() []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.dropOldCrashes(now)
	l.evaluate(now)
	return l.current.Load().verdicts
}

// IsStored reports whether a verdict is known to be in durable storage in an era of the store, or in a later one.
func (l *Ledger) IsStored(v Verdict, era int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, stored := l.stored[v.Key()]
	return stored && known.era >= era
}

// disproved reports whether all subjects of a stored verdict have had an answer after it was reached. The caller holds mu.
func (l *Ledger) disproved(s storedVerdict) bool {
	for _, subject := range s.verdict.Subjects {
		answer, ok := l.cleared(subject).Peek(subject)
		if !ok || !answer.at.After(s.until.Add(-Retention)) {
			return false
		}
	}
	return true
}

// dropStored drops the stored verdicts that have ended or were disproved, and remembers up to maxCrashes disproved ones. The caller holds mu.
func (l *Ledger) dropStored(now time.Time) {
	for key, s := range l.stored {
		isDisproved := l.disproved(s)
		if isDisproved && len(l.disprovedAt) < maxCrashes {
			l.disprovedAt[key] = now
		}
		if isDisproved || !now.Before(s.until) {
			delete(l.stored, key)
		}
	}
}

// forgetDisproved forgets which verdicts were disproved once durable storage has dropped them too, or evidence has led to them again. The caller
// holds mu.
func (l *Ledger) forgetDisproved(verdicts []Verdict, now time.Time) {
	maps.DeleteFunc(l.disprovedAt, func(key string, at time.Time) bool {
		return now.Sub(at) >= Retention || slices.ContainsFunc(verdicts, func(v Verdict) bool { return v.Key() == key })
	})
}

// evaluate derives the verdicts from the evidence. The caller holds mu.
func (l *Ledger) evaluate(now time.Time) {
	counts := l.countCrashes(now)
	var verdicts []Verdict
	// Subjects that never had an answer explain crashes first: a sound one that shares requests with them was in the same crashes.
	for _, answered := range []bool{false, true} {
		for {
			found := counts.strongest(answered)
			if len(found) == 0 {
				break
			}
			verdicts = append(verdicts, found...)
			counts.explain(found)
		}
	}
	l.dropStored(now)
	l.forgetDisproved(verdicts, now)
	for key, s := range l.stored {
		if !slices.ContainsFunc(verdicts, func(v Verdict) bool { return v.Key() == key }) {
			verdicts = append(verdicts, s.verdict)
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return strings.Compare(a.Key(), b.Key()) })
	before := l.current.Swap(&verdictSet{verdicts: verdicts}).verdicts
	if slices.EqualFunc(before, verdicts, func(a, b Verdict) bool { return a.Key() == b.Key() }) {
		return
	}
	for _, observer := range l.onVerdict {
		observer(verdicts)
	}
}

// crashCounts holds, for each subject, the crashes that no verdict explains yet.
type crashCounts struct {
	crashes     map[process]*crash
	unexplained map[string]map[process]bool
	answered    map[string]bool
}

// countCrashes returns the crashes of each subject since its last answer. The caller holds mu.
func (l *Ledger) countCrashes(now time.Time) crashCounts {
	counts := crashCounts{crashes: l.crashes, unexplained: map[string]map[process]bool{}, answered: map[string]bool{}}
	for key, c := range l.crashes {
		if now.Sub(c.at) >= Retention {
			continue
		}
		for _, s := range c.candidates() {
			if answer, ok := l.cleared(s).Peek(s); ok && now.Sub(answer.at) < Retention {
				counts.answered[s] = true
				if !c.at.After(answer.at) {
					continue
				}
			}
			if counts.unexplained[s] == nil {
				counts.unexplained[s] = map[process]bool{}
			}
			counts.unexplained[s][key] = true
		}
	}
	return counts
}

// suspects returns the attempts that may have caused a crash: those whose answer had just begun or, if there are none, all.
func (c *crash) suspects() []attempt {
	var begun, all []attempt
	for _, a := range c.attempts {
		all = append(all, a)
		if a.begun {
			begun = append(begun, a)
		}
	}
	if len(begun) > 0 {
		return begun
	}
	return all
}

// candidates returns the subjects of the suspects.
func (c *crash) candidates() []string {
	seen := map[string]bool{}
	var out []string
	for _, a := range c.suspects() {
		for _, s := range a.subjects {
			if !seen[s] {
				seen[s] = true
				out = append(out, s)
			}
		}
	}
	return out
}

// strongest returns the verdicts on the subjects with the most unexplained crashes, among those that had an answer before or, if answered
// is false, never had one. It returns none if no subject has enough crashes.
func (c crashCounts) strongest(answered bool) []Verdict {
	threshold := crashesToRefuse
	if answered {
		threshold = answeredCrashesToRefuse
	}
	var names []string
	for s, crashes := range c.unexplained {
		if c.answered[s] == answered && len(crashes) >= threshold {
			names = append(names, s)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(len(c.unexplained[b])-len(c.unexplained[a]), strings.Compare(a, b))
	})
	for _, best := range names {
		crashes := c.unexplained[best]
		tied := slices.DeleteFunc(slices.Clone(names), func(s string) bool { return !equalSets(c.unexplained[s], crashes) })
		var found []Verdict
		for _, s := range tied {
			v := newVerdict(c.inseparable(s, tied), len(crashes))
			if !slices.ContainsFunc(found, func(other Verdict) bool { return other.Key() == v.Key() }) {
				found = append(found, v)
			}
		}
		// Subjects of different requests that were in the same crashes are rivals: one of them is probably sound. The next crash or answer
		// tells them apart, unless that takes too many upstreams.
		if len(found) == 1 || len(crashes) >= answeredCrashesToRefuse {
			return found
		}
	}
	return nil
}

// inseparable returns the subjects among tied that all requests with the subject s had which were in its unexplained crashes. They
// include s itself.
func (c crashCounts) inseparable(s string, tied []string) []string {
	out := slices.Clone(tied)
	for key := range c.unexplained[s] {
		for _, a := range c.crashes[key].suspects() {
			if slices.Contains(a.subjects, s) {
				out = slices.DeleteFunc(out, func(other string) bool { return !slices.Contains(a.subjects, other) })
			}
		}
	}
	return out
}

// explain removes the crashes that verdicts on the same crashes explain from those of all subjects.
func (c crashCounts) explain(found []Verdict) {
	explained := c.unexplained[found[0].Subjects[0]]
	delete(c.unexplained, found[0].Subjects[0])
	for _, crashes := range c.unexplained {
		for key := range explained {
			delete(crashes, key)
		}
	}
}

// equalSets reports whether two sets have the same elements.
func equalSets(a, b map[process]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for key := range a {
		if !b[key] {
			return false
		}
	}
	return true
}
