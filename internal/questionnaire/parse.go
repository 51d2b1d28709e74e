package questionnaire

import (
	"fmt"
	"math"
	"regexp"
	"strings"

	"github.com/pimentohead/pimentohead/internal/config"
)

// Bounds of answers. The rest is checked when the generated configuration is validated.
const (
	maxBytes       = 512 << 10
	maxCentres     = 64
	maxServers     = 100000
	maxWorth       = 1e6
	maxBurst       = 100
	maxRequestRate = 1e5
	maxExamples    = 200
	// maxPriorities keeps the least share of each priority, one step of 0.05, far below the whole.
	maxPriorities = 10
)

// safePath is the form of paths that needs no quoting.
var safePath = regexp.MustCompile(`^/[A-Za-z0-9._~/-]*$`)

// Parse decodes a questionnaire strictly and checks it as a whole. Its errors match config.ErrInvalid.
func Parse(text string) (*Answers, error) {
	if len(text) > maxBytes {
		return nil, config.NewFaultsError("", fmt.Sprintf("questionnaire has %d bytes, at most %d are allowed", len(text), maxBytes))
	}
	answers := &Answers{}
	faults, err := config.DecodeStrict(text, answers)
	if err != nil {
		return nil, err
	}
	c := &checker{}
	c.check(answers)
	config.IndexPositions(text).FillLines(c.faults)
	if faults = append(faults, c.faults...); len(faults) > 0 {
		return nil, &config.FaultsError{Faults: faults}
	}
	return answers, nil
}

// checker collects faults, so that a team sees all of them at once.
type checker struct{ faults []config.Fault }

func (c *checker) require(valid bool, key, format string, args ...any) {
	if !valid {
		c.faults = append(c.faults, config.Fault{Key: key, Problem: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) number(key string, value, low, high float64) {
	c.require(!math.IsNaN(value) && value >= low && value <= high, key, "must be %g to %g", low, high)
}

func (c *checker) name(key, name string) {
	c.require(config.ValidName(name), key, "is required: 1 to 64 letters, digits, '-', '_' or '.'")
}

func (c *checker) check(a *Answers) {
	c.name("team", a.Team)
	c.require(len(a.DataCentres) >= 1 && len(a.DataCentres) <= maxCentres, "data_centres", "needs 1 to %d names", maxCentres)
	for _, name := range a.DataCentres {
		c.name("data_centres", name)
	}
	c.tolerance(a.Tolerance)
	names := c.priorities(a.Priorities)
	c.workloads(a.Workloads, names)
	c.callers(a.Callers, names)
}

func (c *checker) tolerance(t Tolerance) {
	c.number("tolerance.replicas_out_of_service", float64(t.ReplicasOutOfService), 1, maxServers)
	c.number("tolerance.canary_replicas", float64(t.CanaryReplicas), 1, maxServers)
	c.require(t.LongestAnswer > 0, "tolerance.longest_answer", "must be a positive duration")
	c.require(t.LargestRequestBytes > 0, "tolerance.largest_request_bytes", "must be positive")
	c.number("tolerance.kept_in_flood", t.KeptInFlood, 0, 1)
	c.number("tolerance.burst", t.Burst, 1, maxBurst)
}

func (c *checker) priorities(list []Priority) map[string]bool {
	c.require(len(list) >= 1 && len(list) <= maxPriorities, "priority", "needs 1 to %d entries", maxPriorities)
	names := map[string]bool{}
	for i, p := range list {
		key := fmt.Sprintf("priority[%d].", i)
		c.name(key+"name", p.Name)
		c.require(!names[p.Name], key+"name", "%q is used twice", p.Name)
		names[p.Name] = true
		c.require(p.Target > 0, key+"target", "must be a positive duration")
		c.require(p.Worth > 0 && p.Worth <= maxWorth, key+"worth", "must be above 0, at most %g", maxWorth)
		printable := !strings.ContainsFunc(p.Examples, func(r rune) bool { return r < ' ' || r == 0x7f })
		c.require(printable && len(p.Examples) <= maxExamples, key+"examples", "must be one line of at most %d bytes", maxExamples)
	}
	return names
}

func (c *checker) workloads(list []Workload, priorities map[string]bool) {
	c.require(len(list) > 0, "workload", "needs at least one entry")
	for i, w := range list {
		key := fmt.Sprintf("workload[%d].", i)
		c.name(key+"name", w.Name)
		c.require(w.Kind == config.KindModel || w.Kind == config.KindService, key+"kind", `must be "model" or "service"`)
		if w.Kind == config.KindModel {
			c.name(key+"model", w.Model)
		} else {
			c.require(w.Model == "", key+"model", `belongs to workloads of kind "model"`)
		}
		c.number(key+"servers", float64(w.Servers), 1, maxServers)
		c.require(len(w.Requests) > 0, key+"request", "needs at least one entry")
		for j, r := range w.Requests {
			inner := fmt.Sprintf("%srequest[%d].", key, j)
			c.require(safePath.MatchString(r.Path), inner+"path", `must start with "/" and use letters, digits, '.', '_', '~', '-' and '/'`)
			c.require(priorities[r.Priority], inner+"priority", "there is no priority %q", r.Priority)
			for _, method := range r.Methods {
				c.name(inner+"methods", method)
			}
		}
	}
}

func (c *checker) callers(list []Caller, priorities map[string]bool) {
	for i, caller := range list {
		key := fmt.Sprintf("caller[%d].", i)
		c.name(key+"name", caller.Name)
		c.require(config.ValidHash(caller.KeySHA256), key+"key_sha256", "must be 64 lower-case hex digits; `pimentoctl key` makes a key and its hash")
		c.require(caller.RequestsPerSecond > 0 && caller.RequestsPerSecond <= maxRequestRate, key+"requests_per_second",
			"must be above 0, at most %g", maxRequestRate)
		for _, name := range caller.Priorities {
			c.require(priorities[name], key+"priorities", "there is no priority %q", name)
		}
	}
}
