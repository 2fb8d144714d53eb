package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Change is the difference between two configurations for one route, for one service, or
// for the values that apply to all.
type Change struct {
	// Subject is "configuration", "route" or "service".
	Subject string `json:"subject"`
	// Name is the destination of a route or the name of a service.
	Name string `json:"name,omitempty"`
	// Kind is "added", "removed" or "changed".
	Kind   string        `json:"kind"`
	Fields []FieldChange `json:"fields"`
}

// FieldChange is a value that changes; it is empty on the side that does not have it.
type FieldChange struct {
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String describes the change in one line.
func (c Change) String() string {
	var fields []string
	for _, f := range c.Fields {
		switch c.Kind {
		case "added":
			fields = append(fields, f.Name+" "+inWords(f.After))
		case "removed":
			fields = append(fields, f.Name+" "+inWords(f.Before))
		default:
			fields = append(fields, fmt.Sprintf("%s %s -> %s", f.Name, inWords(f.Before), inWords(f.After)))
		}
	}
	subject := c.Subject
	if c.Name != "" {
		subject += " " + inWords(c.Name)
	}
	return fmt.Sprintf("%s is %s: %s", subject, c.Kind, strings.Join(fields, ", "))
}

// inWords returns a value as it is printed. It quotes a value with characters that need
// escaping, such as line breaks, because each change is printed on one line.
func inWords(s string) string {
	quoted := strconv.Quote(s)
	switch {
	case s == "":
		return "none"
	case quoted != `"`+s+`"`:
		return quoted
	}
	return s
}

// field is a value in words; empty if the configuration does not have it.
type field struct{ name, value string }

// Compare returns the differences between two configurations, routes by destination and
// services by name. Of several with the same key it compares the last, which is in force.
func Compare(before, after *Configuration) []Change {
	changes := compare("configuration", before.fields(), after.fields())
	changes = append(changes, compare("route", before.routes(), after.routes())...)
	return append(changes, compare("service", before.services(), after.services())...)
}

// compare compares two sets of fields, each under the name of what it describes.
func compare(subject string, before, after map[string][]field) []Change {
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		c := Change{Subject: subject, Name: name, Kind: "changed", Fields: changedFields(before[name], after[name])}
		switch {
		case before[name] == nil:
			c.Kind = "added"
		case after[name] == nil:
			c.Kind = "removed"
		case len(c.Fields) == 0:
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

// changedFields compares two lists of the same fields, one of which may be nil.
func changedFields(before, after []field) []FieldChange {
	changes := []FieldChange{}
	for i := range max(len(before), len(after)) {
		var c FieldChange
		if before != nil {
			c.Name, c.Before = before[i].name, before[i].value
		}
		if after != nil {
			c.Name, c.After = after[i].name, after[i].value
		}
		if c.Before != c.After {
			changes = append(changes, c)
		}
	}
	return changes
}

func (c *Configuration) fields() map[string][]field {
	return map[string][]field{"": {{"version", fmt.Sprint(c.Version)}, {"idle limit", known(c.IdleTimeout)}}}
}

func (c *Configuration) routes() map[string][]field {
	result := map[string][]field{}
	for _, r := range c.Routes {
		services := make([]string, len(r.Services))
		for i, s := range r.Services {
			services[i] = s.Service
			if len(r.Services) > 1 {
				services[i] = fmt.Sprintf("%s (weight %d)", s.Service, s.Weight)
			}
		}
		result[r.Destination.String()] = []field{
			{"name", r.Name}, {"services", strings.Join(services, " and ")}, {"priority", fmt.Sprint(r.Priority)},
			{"target latency", known(r.TargetLatency)}, {"time-out", known(r.Timeout)},
			{"repeatable requests", fmt.Sprint(r.Idempotent)}, {"attempts", known(r.Attempts)},
		}
	}
	return result
}

func (c *Configuration) services() map[string][]field {
	result := map[string][]field{}
	for _, s := range c.Services {
		result[s.Name] = []field{
			{"health path", s.HealthPath}, {"connections", known(s.MaxConnections)},
			{"slow start", known(s.SlowStart)}, {"requests per second while cold", known(s.ColdRate)},
		}
	}
	return result
}

// known returns a value as text, or an empty text for 0, which means unknown.
func known[T comparable](v T) string {
	var unknown T
	if v == unknown {
		return ""
	}
	return fmt.Sprint(v)
}
