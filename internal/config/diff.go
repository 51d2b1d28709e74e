package config

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Change is one difference between two configurations.
type Change struct {
	// Kind is the TOML table, such as "model". Name is the name of the item; it is empty for tables that occur once.
	Kind string `json:"kind"`
	Name string `json:"name,omitempty"`
	// Field is the TOML key; it is empty when the whole item was added or removed.
	Field string `json:"field,omitempty"`
	// Old and New are the values as text. For a whole item, they are "absent" and "present", in the order of the change.
	Old string `json:"old"`
	New string `json:"new"`
}

const (
	// itemAbsent and itemPresent are the values of Change.Old and Change.New when a whole item was added or removed.
	itemAbsent  = "absent"
	itemPresent = "present"
	// shortHashDigits is the number of hex digits to which Change.String shortens a hash.
	shortHashDigits = 12
)

// String returns one line such as "model hemline: version 1a2b... -> 9f8e...".
func (c Change) String() string {
	subject := strings.TrimSpace(c.Kind + " " + c.Name)
	if c.Field == "" {
		if c.New == itemAbsent {
			return subject + ": removed"
		}
		return subject + ": added"
	}
	before, after := abbreviate(c.Old), abbreviate(c.New)
	if before == after {
		before, after = c.Old, c.New
	}
	return fmt.Sprintf("%s: %s %s -> %s", subject, c.Field, before, after)
}

// abbreviate shortens a hash to its first digits and shows an empty value as "".
func abbreviate(value string) string {
	if ValidHash(value) {
		return value[:shortHashDigits] + "..."
	}
	if value == "" {
		return `""`
	}
	return value
}

// Diff lists the changes from old to next, item by item in the order of the document; items are matched by name. old may be nil,
// which stands for an empty configuration.
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

// routeName returns the methods and the path of a route, which together identify it.
func routeName(r Route) string {
	if len(r.Methods) == 0 {
		return r.Path
	}
	return strings.Join(r.Methods, ",") + " " + r.Path
}

// appendItems matches the items of two lists by name and appends added items, changed fields and removed items.
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

// appendFields compares two structs field by field and appends the differences with their TOML keys.
func appendFields(changes []Change, kind, name string, old, next any) []Change {
	before, after := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range before.NumField() {
		oldField, newField := before.Field(i).Interface(), after.Field(i).Interface()
		if oldValue, newValue := formatValue(oldField), formatValue(newField); oldValue != newValue {
			key := before.Type().Field(i).Tag.Get("toml")
			changes = append(changes, Change{Kind: kind, Name: name, Field: key, Old: oldValue, New: newValue})
		}
	}
	return changes
}

// appendOrder appends a change when the priorities that both configurations contain are in another order: the order defines
// their urgency.
func appendOrder(changes []Change, old, next []Priority) []Change {
	oldOrder, newOrder := commonNames(old, next), commonNames(next, old)
	if oldOrder == newOrder {
		return changes
	}
	return append(changes, Change{Kind: "priority", Field: "order", Old: oldOrder, New: newOrder})
}

// commonNames returns the names in list that other contains too, in the order of list and separated by ", ".
func commonNames(list, other []Priority) string {
	otherNames := map[string]bool{}
	for _, p := range other {
		otherNames[p.Name] = true
	}
	var names []string
	for _, p := range list {
		if otherNames[p.Name] {
			names = append(names, p.Name)
		}
	}
	return strings.Join(names, ", ")
}

// formatValue returns the value of a field as it is shown in a Change.
func formatValue(value any) string {
	switch v := value.(type) {
	case Duration:
		return time.Duration(v).String()
	case []string:
		return "[" + strings.Join(v, ", ") + "]"
	default:
		return fmt.Sprint(v)
	}
}
