package config

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of a configuration. The counts leave room above the target size: 5,000 upstreams and about ten callers per team.
const (
	maxBodyBytesLimit   = 8 << 20
	minHeaderBytes      = 1 << 10
	maxHeaderBytesLimit = 1 << 20
	maxTimeout          = time.Hour
	maxPriorities       = 16
	maxModels           = 64
	maxPools            = 256
	maxRoutes           = 1024
	maxCallers          = 2000
	maxDrains           = 5000
	maxNameBytes        = 64
	maxPathBytes        = 256
	maxWeight           = 1000
	maxReplicas         = 10000
	maxRate             = 1e6
	maxInFlightLimit    = 1 << 20
	sha256HexBytes      = 64
	// floorTolerance absorbs rounding when decimal fractions are added.
	floorTolerance = 1e-9
)

// validator collects faults, so that an operator sees all of them at once.
type validator struct {
	faults                    []Fault
	priorities, models, pools map[string]bool
}

// Validate checks the configuration as a whole. Its error is a FaultsError without lines.
func (c *Config) Validate() error {
	v := &validator{}
	v.name("fleet.name", c.Fleet.Name)
	v.limits(&c.Limits)
	v.priorities = v.allPriorities(c.Priorities)
	v.models = v.allModels(c.Models)
	v.pools = v.allPools(c.Pools)
	v.routes(c.Routes)
	v.callers(c.Callers)
	v.drains(c.Drains)
	if len(v.faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: v.faults}
}

func (v *validator) fault(key, format string, args ...any) {
	v.faults = append(v.faults, Fault{Key: key, Problem: fmt.Sprintf(format, args...)})
}

func (v *validator) limits(l *Limits) {
	v.within("limits.max_body_bytes", l.MaxBodyBytes, 1, maxBodyBytesLimit)
	v.within("limits.max_header_bytes", int64(l.MaxHeaderBytes), minHeaderBytes, maxHeaderBytesLimit)
	v.duration("limits.request_timeout", l.RequestTimeout)
}

func (v *validator) allPriorities(list []Priority) map[string]bool {
	v.count("priority", len(list), 1, maxPriorities)
	names, sum := map[string]bool{}, 0.0
	for i, p := range list {
		key := fmt.Sprintf("priority[%d]", i)
		v.unique(key+".name", p.Name, names)
		v.duration(key+".target", p.Target)
		v.fraction(key+".share", p.Share)
		v.fraction(key+".floor", p.Floor)
		sum += p.Floor
	}
	if sum > 1+floorTolerance {
		v.fault("priority", "floors sum to %.4g, at most 1 is allowed", sum)
	}
	return names
}

func (v *validator) allModels(list []Model) map[string]bool {
	v.count("model", len(list), 0, maxModels)
	names := map[string]bool{}
	for i, m := range list {
		key := fmt.Sprintf("model[%d]", i)
		v.unique(key+".name", m.Name, names)
		if m.Version != "" {
			v.hash(key+".version", m.Version)
		}
		v.within(key+".max_unavailable", int64(m.MaxUnavailable), 1, maxReplicas)
		v.within(key+".canary", int64(m.Canary), 1, maxReplicas)
	}
	return names
}

func (v *validator) allPools(list []Pool) map[string]bool {
	v.count("pool", len(list), 1, maxPools)
	names := map[string]bool{}
	for i, p := range list {
		key := fmt.Sprintf("pool[%d]", i)
		v.unique(key+".name", p.Name, names)
		switch p.Kind {
		case KindModel:
			v.reference(key+".model", "model", p.Model, v.models)
		case KindService:
			if p.Model != "" {
				v.fault(key+".model", `belongs to pools of kind "model"`)
			}
		default:
			v.fault(key+".kind", `must be "model" or "service"`)
		}
	}
	return names
}

func (v *validator) routes(list []Route) {
	v.count("route", len(list), 1, maxRoutes)
	paths := map[string]bool{}
	for i, r := range list {
		key := fmt.Sprintf("route[%d]", i)
		if !strings.HasPrefix(r.Path, "/") || len(r.Path) > maxPathBytes || strings.ContainsAny(r.Path, " ?#{}\t\r\n") {
			v.fault(key+".path", "must start with \"/\" and have at most %d bytes without spaces, braces, \"?\" or \"#\"", maxPathBytes)
		}
		// A path may appear once for each method.
		for _, method := range routeMethods(r) {
			if !slices.Contains(allowedMethods, method) {
				v.fault(key+".methods", "%q must be one of %s", method, strings.Join(allowedMethods, ", "))
			}
			if paths[method+" "+r.Path] {
				v.fault(key+".path", "%s %s is routed twice", method, r.Path)
			}
			paths[method+" "+r.Path] = true
		}
		v.reference(key+".pool", "pool", r.Pool, v.pools)
		v.reference(key+".priority", "priority", r.Priority, v.priorities)
	}
}

var allowedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func routeMethods(r Route) []string {
	if len(r.Methods) == 0 {
		return []string{http.MethodGet, http.MethodPost}
	}
	return r.Methods
}

func (v *validator) callers(list []Caller) {
	v.count("caller", len(list), 0, maxCallers)
	names, keys := map[string]bool{}, map[string]bool{}
	for i, c := range list {
		key := fmt.Sprintf("caller[%d]", i)
		v.unique(key+".name", c.Name, names)
		v.hash(key+".key_sha256", c.KeySHA256)
		if keys[c.KeySHA256] {
			v.fault(key+".key_sha256", "is used by another caller")
		}
		keys[c.KeySHA256] = true
		for _, p := range c.Priorities {
			v.reference(key+".priorities", "priority", p, v.priorities)
		}
		v.within(key+".weight", int64(c.Weight), 1, maxWeight)
		if !(c.Rate >= 0 && c.Rate <= maxRate) {
			v.fault(key+".rate", "must be 0 (unlimited) to %g requests a second", maxRate)
		}
		v.within(key+".max_in_flight", int64(c.MaxInFlight), 0, maxInFlightLimit)
	}
}

func (v *validator) drains(list []Drain) {
	v.count("drain", len(list), 0, maxDrains)
	names := map[string]bool{}
	for i, d := range list {
		v.unique(fmt.Sprintf("drain[%d].agent", i), d.Agent, names)
	}
}

func (v *validator) count(key string, n, low, high int) {
	if n < low || n > high {
		v.fault(key, "there are %d entries, %d to %d are allowed", n, low, high)
	}
}

func (v *validator) within(key string, n, low, high int64) {
	if n < low || n > high {
		v.fault(key, "must be %d to %d", low, high)
	}
}

func (v *validator) duration(key string, d Duration) {
	if d <= 0 || d.Std() > maxTimeout {
		v.fault(key, "must be a positive duration of at most %s", maxTimeout)
	}
}

func (v *validator) fraction(key string, f float64) {
	if math.IsNaN(f) || f < 0 || f > 1 {
		v.fault(key, "must be 0 to 1")
	}
}

func (v *validator) unique(key, name string, seen map[string]bool) {
	v.name(key, name)
	if seen[name] {
		v.fault(key, "%q is used twice", name)
	}
	seen[name] = true
}

func (v *validator) reference(key, kind, name string, known map[string]bool) {
	if name == "" {
		v.fault(key, "is required: the name of a %s", kind)
	} else if !known[name] {
		v.fault(key, "there is no %s %q", kind, name)
	}
}

func (v *validator) name(key, name string) {
	if !ValidName(name) {
		v.fault(key, "is required: 1 to %d letters, digits, '-', '_' or '.'", maxNameBytes)
	}
}

func (v *validator) hash(key, hash string) {
	if !ValidHash(hash) {
		v.fault(key, "must be %d lower-case hex digits", sha256HexBytes)
	}
}

// ValidName tells whether name may appear in keys, metrics and logs.
func ValidName(name string) bool {
	valid := name != "" && len(name) <= maxNameBytes
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		valid = valid && (letter || r == '-' || r == '_' || r == '.')
	}
	return valid
}

// ValidHash tells whether hash is a hex SHA-256 in lower case.
func ValidHash(hash string) bool {
	if len(hash) != sha256HexBytes {
		return false
	}
	return strings.Trim(hash, "0123456789abcdef") == ""
}
