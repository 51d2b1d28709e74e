package config

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Change is one difference between two configurations.
type Change struct {
	// Kind is the table, such as "model"; Name is the item's name, empty for tables that exist once.
	Kind string `json:"kind"`
	Name string `json:"name,omitempty"`
	// Field is the key, empty when the whole item was added or removed.
	Field string `json:"field,omitempty"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Words that stand for a whole item in Change.
const (
	itemAbsent  = "absent"
	itemPresent = "present"
	// shortHashDigits is the number of digits of a hash that String shows.
	shortHashDigits = 12
)

// String returns a line such as "model hemline: version 1a2b... -> 9f8e...".
func (c Change) String() string {
	subject := strings.TrimSpace(c.Kind + " " + c.Name)
	if c.Field == "" {
		if c.New == itemAbsent {
			return subject + ": removed"
		}
		return subject + ": added"
	}
	before, after := shorten(c.Old), shorten(c.New)
	if before == after {
		before, after = c.Old, c.New
	}
	return fmt.Sprintf("%s: %s %s -> %s", subject, c.Field, before, after)
}

// shorten cuts hashes to a readable length.
func shorten(value string) string {
	if ValidHash(value) {
		return value[:shortHashDigits] + "..."
	}
	if value == "" {
		return `""`
	}
	return value
}

// Diff lists the differences by named item, in the order of the document. old may be nil.
func Diff(old, next *Config) []Change {
	if old == nil {
		old = &Config{}
	}
	changes := []Change{}
	changes = appendFields(changes, "fleet", "", old.Fleet, next.Fleet)
	changes = appendFields(changes, "limits", "", old.Limits, next.Limits)
	changes = appendItems(changes, "priority", old.Priorities, next.Priorities, func(p Priority) string { return p.Name })
	changes = appendOrder(changes, old.Priorities, next.Priorities)
	changes = appendItems(changes, "model", old.Models, next.Models, func(m Model) string { return m.Name })
	changes = appendItems(changes, "pool", old.Pools, next.Pools, func(p Pool) string { return p.Name })
	changes = appendItems(changes, "route", old.Routes, next.Routes, routeName)
	changes = appendItems(changes, "caller", old.Callers, next.Callers, func(c Caller) string { return c.Name })
	return appendItems(changes, "drain", old.Drains, next.Drains, func(d Drain) string { return d.Agent })
}

// routeName names a route by what makes it unique.
func routeName(r Route) string {
	if len(r.Methods) == 0 {
		return r.Path
	}
	return strings.Join(r.Methods, ",") + " " + r.Path
}

func appendItems[T any](changes []Change, kind string, old, next []T, name func(T) string) []Change {
	before, after := map[string]T{}, map[string]bool{}
	for _, item := range old {
		before[name(item)] = item
	}
	for _, item := range next {
		key := name(item)
		after[key] = true
		if previous, ok := before[key]; ok {
			changes = appendFields(changes, kind, key, previous, item)
		} else {
			changes = append(changes, Change{Kind: kind, Name: key, Old: itemAbsent, New: itemPresent})
		}
	}
	for _, item := range old {
		if key := name(item); !after[key] {
			changes = append(changes, Change{Kind: kind, Name: key, Old: itemPresent, New: itemAbsent})
		}
	}
	return changes
}

// appendFields compares two structs field by field under their TOML keys.
func appendFields(changes []Change, kind, name string, old, next any) []Change {
	before, after := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range before.NumField() {
		a, b := before.Field(i).Interface(), after.Field(i).Interface()
		if from, to := display(a), display(b); from != to {
			key := before.Type().Field(i).Tag.Get("toml")
			changes = append(changes, Change{Kind: kind, Name: name, Field: key, Old: from, New: to})
		}
	}
	return changes
}

// appendOrder reports a changed order of the priorities that both configurations have, because the order is their urgency.
func appendOrder(changes []Change, old, next []Priority) []Change {
	from, to := sharedOrder(old, next), sharedOrder(next, old)
	if from == to {
		return changes
	}
	return append(changes, Change{Kind: "priority", Field: "order", Old: from, New: to})
}

func sharedOrder(list, other []Priority) string {
	known := map[string]bool{}
	for _, p := range other {
		known[p.Name] = true
	}
	var names []string
	for _, p := range list {
		if known[p.Name] {
			names = append(names, p.Name)
		}
	}
	return strings.Join(names, ", ")
}

func display(value any) string {
	switch v := value.(type) {
	case Duration:
		return time.Duration(v).String()
	case []string:
		return "[" + strings.Join(v, ", ") + "]"
	default:
		return fmt.Sprint(v)
	}
}
