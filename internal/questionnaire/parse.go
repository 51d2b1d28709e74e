package questionnaire

import (
	"fmt"
	"math"
	"regexp"
	"strings"

	"github.com/pimentohead/pimentohead/internal/config"
)

// Limits of answers. Other limits are checked when the generated configuration is validated.
const (
	maxQuestionnaireBytes = 512 << 10
	maxDataCentres        = 64
	maxServers            = 100000
	maxWorth              = 1e6
	maxBurst              = 100
	maxRequestRate        = 1e5 // requests a second
	maxExamplesBytes      = 200
	// maxPriorities limits the sum of the minimum shares. The minimum share of a priority is one step, 0.05, so those of 10
	// priorities sum to 0.5.
	maxPriorities = 10
)

// plainPath matches paths that need no escaping in a TOML string.
var plainPath = regexp.MustCompile(`^/[A-Za-z0-9._~/-]*$`)

// Parse decodes a questionnaire, refusing unknown keys, and checks all answers. Its errors match config.ErrInvalid.
func Parse(text string) (*Answers, error) {
	if len(text) > maxQuestionnaireBytes {
		return nil, config.NewFaultsError("", fmt.Sprintf("questionnaire has %d bytes, at most %d are allowed",
			len(text), maxQuestionnaireBytes))
	}
	answers := &Answers{}
	faults, err := config.DecodeStrict(text, answers)
	if err != nil {
		return nil, err
	}
	v := &validator{}
	v.checkAnswers(answers)
	config.IndexPositions(text).FillLines(v.faults)
	if faults = append(faults, v.faults...); len(faults) > 0 {
		return nil, &config.FaultsError{Faults: faults}
	}
	return answers, nil
}

// validator collects the faults of a questionnaire, so that a team sees all of them at once.
type validator struct{ faults []config.Fault }

// require adds a fault unless valid is true.
func (v *validator) require(valid bool, key, format string, args ...any) {
	if !valid {
		v.faults = append(v.faults, config.Fault{Key: key, Problem: fmt.Sprintf(format, args...)})
	}
}

func (v *validator) checkRange(key string, value, low, high float64) {
	v.require(!math.IsNaN(value) && value >= low && value <= high, key, "must be %g to %g", low, high)
}

func (v *validator) checkName(key, name string) {
	v.require(config.ValidName(name), key, "must be 1 to 64 letters, digits, '-', '_' or '.'")
}

func (v *validator) checkAnswers(a *Answers) {
	v.checkName("team", a.Team)
	v.require(len(a.DataCentres) >= 1 && len(a.DataCentres) <= maxDataCentres, "data_centres", "needs 1 to %d names", maxDataCentres)
	for _, name := range a.DataCentres {
		v.checkName("data_centres", name)
	}
	v.checkTolerance(a.Tolerance)
	names := v.checkPriorities(a.Priorities)
	v.checkWorkloads(a.Workloads, names)
	v.checkCallers(a.Callers, names)
}

func (v *validator) checkTolerance(t Tolerance) {
	v.checkRange("tolerance.replicas_out_of_service", float64(t.ReplicasOutOfService), 1, maxServers)
	v.checkRange("tolerance.canary_replicas", float64(t.CanaryReplicas), 1, maxServers)
	v.require(t.LongestAnswer > 0, "tolerance.longest_answer", "must be a positive duration")
	v.require(t.LargestRequestBytes > 0, "tolerance.largest_request_bytes", "must be positive")
	v.checkRange("tolerance.kept_in_flood", t.KeptInFlood, 0, 1)
	v.checkRange("tolerance.burst", t.Burst, 1, maxBurst)
}

// checkPriorities checks the priorities and returns the set of their names.
func (v *validator) checkPriorities(list []Priority) map[string]bool {
	v.require(len(list) >= 1 && len(list) <= maxPriorities, "priority", "needs 1 to %d entries", maxPriorities)
	names := map[string]bool{}
	for i, p := range list {
		key := fmt.Sprintf("priority[%d].", i)
		v.checkName(key+"name", p.Name)
		v.require(!names[p.Name], key+"name", "%q is used twice", p.Name)
		names[p.Name] = true
		v.require(p.Target > 0, key+"target", "must be a positive duration")
		v.require(p.Worth > 0 && p.Worth <= maxWorth, key+"worth", "must be above 0, at most %g", maxWorth)
		printable := !strings.ContainsFunc(p.Examples, func(r rune) bool { return r < ' ' || r == 0x7f })
		v.require(printable && len(p.Examples) <= maxExamplesBytes, key+"examples",
			"must be one line of at most %d bytes", maxExamplesBytes)
	}
	return names
}

func (v *validator) checkWorkloads(list []Workload, priorities map[string]bool) {
	v.require(len(list) > 0, "workload", "needs at least one entry")
	for i, w := range list {
		key := fmt.Sprintf("workload[%d].", i)
		v.checkName(key+"name", w.Name)
		v.require(w.Kind == config.KindModel || w.Kind == config.KindService, key+"kind", `must be "model" or "service"`)
		if w.Kind == config.KindModel {
			v.checkName(key+"model", w.Model)
		} else {
			v.require(w.Model == "", key+"model", `belongs to workloads of kind "model"`)
		}
		v.checkRange(key+"servers", float64(w.Servers), 1, maxServers)
		v.require(len(w.Requests) > 0, key+"request", "needs at least one entry")
		for j, r := range w.Requests {
			requestKey := fmt.Sprintf("%srequest[%d].", key, j)
			v.require(plainPath.MatchString(r.Path), requestKey+"path",
				`must start with "/" and use letters, digits, '.', '_', '~', '-' and '/'`)
			v.require(priorities[r.Priority], requestKey+"priority", "there is no priority %q", r.Priority)
			for _, method := range r.Methods {
				v.checkName(requestKey+"methods", method)
			}
		}
	}
}

func (v *validator) checkCallers(list []Caller, priorities map[string]bool) {
	for i, caller := range list {
		key := fmt.Sprintf("caller[%d].", i)
		v.checkName(key+"name", caller.Name)
		v.require(config.ValidHash(caller.KeySHA256), key+"key_sha256",
			"must be 64 lower-case hex digits; `pimentoctl key` makes a key and its hash")
		v.require(caller.RequestsPerSecond > 0 && caller.RequestsPerSecond <= maxRequestRate, key+"requests_per_second",
			"must be above 0, at most %g", maxRequestRate)
		for _, name := range caller.Priorities {
			v.require(priorities[name], key+"priorities", "there is no priority %q", name)
		}
	}
}
