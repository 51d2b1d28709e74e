package config

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Limits of a configuration. The counts leave headroom above the target size of a fleet, which is 5,000 upstreams and about ten
// callers per team; maxDrains is one drain for each of these upstreams. The limits of bodies and headers are in bytes, maxRate is in
// requests a second.
const (
	maxBodyBytesLimit   = 8 << 20
	minHeaderBytes      = 1 << 10
	maxHeaderBytesLimit = 1 << 20
	maxDuration         = time.Hour
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
	// floorTolerance compensates for rounding errors when floors, which are decimal fractions, are added.
	floorTolerance = 1e-9
)

// validator collects the faults of a configuration, so that an operator sees all of them at once.
type validator struct {
	faults []Fault
	// priorities, models and pools are the sets of defined names.
	priorities, models, pools map[string]bool
}

// Validate checks the whole configuration. Its error is a *FaultsError whose faults have keys but no lines.
func (c *Config) Validate() error {
	v := &validator{}
	v.checkName("fleet.name", c.Fleet.Name)
	v.checkLimits(&c.Limits)
	v.priorities = v.checkPriorities(c.Priorities)
	v.models = v.checkModels(c.Models)
	v.pools = v.checkPools(c.Pools)
	v.checkRoutes(c.Routes)
	v.checkCallers(c.Callers)
	v.checkDrains(c.Drains)
	if len(v.faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: v.faults}
}

func (v *validator) addFault(key, format string, args ...any) {
	v.faults = append(v.faults, Fault{Key: key, Problem: fmt.Sprintf(format, args...)})
}

func (v *validator) checkLimits(l *Limits) {
	v.checkRange("limits.max_body_bytes", l.MaxBodyBytes, 1, maxBodyBytesLimit)
	v.checkRange("limits.max_header_bytes", int64(l.MaxHeaderBytes), minHeaderBytes, maxHeaderBytesLimit)
	v.checkDuration("limits.request_timeout", l.RequestTimeout)
}

// checkPriorities checks the priorities and returns the set of their names.
func (v *validator) checkPriorities(list []Priority) map[string]bool {
	v.checkCount("priority", len(list), 1, maxPriorities)
	names, floorSum := map[string]bool{}, 0.0
	for i, p := range list {
		key := fmt.Sprintf("priority[%d]", i)
		v.checkUniqueName(key+".name", p.Name, names)
		v.checkDuration(key+".target", p.Target)
		v.checkFraction(key+".share", p.Share)
		v.checkFraction(key+".floor", p.Floor)
		floorSum += p.Floor
	}
	if floorSum > 1+floorTolerance {
		v.addFault("priority", "floors sum to %.4g, at most 1 is allowed", floorSum)
	}
	return names
}

// checkModels checks the models and returns the set of their names.
func (v *validator) checkModels(list []Model) map[string]bool {
	v.checkCount("model", len(list), 0, maxModels)
	names := map[string]bool{}
	for i, m := range list {
		key := fmt.Sprintf("model[%d]", i)
		v.checkUniqueName(key+".name", m.Name, names)
		if m.Version != "" {
			v.checkHash(key+".version", m.Version)
		}
		v.checkRange(key+".max_unavailable", int64(m.MaxUnavailable), 1, maxReplicas)
		v.checkRange(key+".canary", int64(m.Canary), 1, maxReplicas)
	}
	return names
}

// checkPools checks the pools and returns the set of their names.
func (v *validator) checkPools(list []Pool) map[string]bool {
	v.checkCount("pool", len(list), 1, maxPools)
	names := map[string]bool{}
	for i, p := range list {
		key := fmt.Sprintf("pool[%d]", i)
		v.checkUniqueName(key+".name", p.Name, names)
		switch p.Kind {
		case KindModel:
			v.checkReference(key+".model", "model", p.Model, v.models)
		case KindService:
			if p.Model != "" {
				v.addFault(key+".model", `belongs to pools of kind "model"`)
			}
		default:
			v.addFault(key+".kind", `must be "model" or "service"`)
		}
	}
	return names
}

func (v *validator) checkRoutes(list []Route) {
	v.checkCount("route", len(list), 1, maxRoutes)
	routedPaths := map[string]bool{}
	for i, r := range list {
		key := fmt.Sprintf("route[%d]", i)
		if !strings.HasPrefix(r.Path, "/") || len(r.Path) > maxPathBytes || strings.ContainsAny(r.Path, " ?#{}\t\r\n") {
			v.addFault(key+".path", "must start with \"/\" and have at most %d bytes without spaces, braces, \"?\" or \"#\"", maxPathBytes)
		}
		// A path may appear once for each method.
		for _, method := range routeMethods(r) {
			if !slices.Contains(allowedMethods, method) {
				v.addFault(key+".methods", "%q must be one of %s", method, strings.Join(allowedMethods, ", "))
			}
			if routedPaths[method+" "+r.Path] {
				v.addFault(key+".path", "%s %s is routed twice", method, r.Path)
			}
			routedPaths[method+" "+r.Path] = true
		}
		v.checkReference(key+".pool", "pool", r.Pool, v.pools)
		v.checkReference(key+".priority", "priority", r.Priority, v.priorities)
	}
}

var allowedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// routeMethods returns the methods that a route accepts, with the default applied.
func routeMethods(r Route) []string {
	if len(r.Methods) == 0 {
		return []string{http.MethodGet, http.MethodPost}
	}
	return r.Methods
}

func (v *validator) checkCallers(list []Caller) {
	v.checkCount("caller", len(list), 0, maxCallers)
	names, keyHashes := map[string]bool{}, map[string]bool{}
	for i, c := range list {
		key := fmt.Sprintf("caller[%d]", i)
		v.checkUniqueName(key+".name", c.Name, names)
		v.checkHash(key+".key_sha256", c.KeySHA256)
		if keyHashes[c.KeySHA256] {
			v.addFault(key+".key_sha256", "is used by another caller")
		}
		keyHashes[c.KeySHA256] = true
		for _, p := range c.Priorities {
			v.checkReference(key+".priorities", "priority", p, v.priorities)
		}
		v.checkRange(key+".weight", int64(c.Weight), 1, maxWeight)
		if !(c.Rate >= 0 && c.Rate <= maxRate) {
			v.addFault(key+".rate", "must be 0 (unlimited) to %g requests a second", maxRate)
		}
		v.checkRange(key+".max_in_flight", int64(c.MaxInFlight), 0, maxInFlightLimit)
	}
}

func (v *validator) checkDrains(list []Drain) {
	v.checkCount("drain", len(list), 0, maxDrains)
	names := map[string]bool{}
	for i, d := range list {
		v.checkUniqueName(fmt.Sprintf("drain[%d].agent", i), d.Agent, names)
	}
}

func (v *validator) checkCount(key string, n, low, high int) {
	if n < low || n > high {
		v.addFault(key, "there are %d entries, %d to %d are allowed", n, low, high)
	}
}

func (v *validator) checkRange(key string, n, low, high int64) {
	if n < low || n > high {
		v.addFault(key, "must be %d to %d", low, high)
	}
}

func (v *validator) checkDuration(key string, d Duration) {
	if d <= 0 || d.Std() > maxDuration {
		v.addFault(key, "must be a positive duration of at most %s", maxDuration)
	}
}

func (v *validator) checkFraction(key string, f float64) {
	if math.IsNaN(f) || f < 0 || f > 1 {
		v.addFault(key, "must be 0 to 1")
	}
}

// checkUniqueName checks that name is valid and not in seen, and adds it to seen.
func (v *validator) checkUniqueName(key, name string, seen map[string]bool) {
	v.checkName(key, name)
	if seen[name] {
		v.addFault(key, "%q is used twice", name)
	}
	seen[name] = true
}

// checkReference checks that name is one of the defined names. kind is the type of the named item, for the error message.
func (v *validator) checkReference(key, kind, name string, defined map[string]bool) {
	if name == "" {
		v.addFault(key, "is required: the name of a %s", kind)
	} else if !defined[name] {
		v.addFault(key, "there is no %s %q", kind, name)
	}
}

func (v *validator) checkName(key, name string) {
	if !ValidName(name) {
		v.addFault(key, "is required: 1 to %d letters, digits, '-', '_' or '.'", maxNameBytes)
	}
}

func (v *validator) checkHash(key, hash string) {
	if !ValidHash(hash) {
		v.addFault(key, "must be %d lower-case hex digits", sha256HexBytes)
	}
}

// ValidName reports whether name may be used in keys, metrics and logs: 1 to 64 ASCII letters, digits, '-', '_' or '.'.
func ValidName(name string) bool {
	valid := name != "" && len(name) <= maxNameBytes
	for _, r := range name {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		valid = valid && (alphanumeric || r == '-' || r == '_' || r == '.')
	}
	return valid
}

// ValidHash reports whether hash is a SHA-256 in lower-case hex.
func ValidHash(hash string) bool {
	if len(hash) != sha256HexBytes {
		return false
	}
	return strings.Trim(hash, "0123456789abcdef") == ""
}
