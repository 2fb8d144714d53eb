package catalog

import (
	"maps"
	"slices"
)

// evacuated returns the data centre whose evacuation the item requests, or an empty
// string; s may be nil.
func (s *storedItem) evacuated() string {
	if s == nil {
		return ""
	}
	return s.record.Evacuated
}

func evacuationSubject(dataCentre string) string { return "evacuation of " + dataCentre }

// evacuated returns the data centres for which an evacuation is in force.
func (c *Catalog) evacuated() map[string]bool {
	result := map[string]bool{}
	for key := range c.items {
		if dataCentre := c.current(key).evacuated(); dataCentre != "" {
			result[dataCentre] = true
		}
	}
	for key := range c.lost {
		if dataCentre := c.current(key).evacuated(); dataCentre != "" {
			result[dataCentre] = true
		}
	}
	return result
}

// Evacuated reports whether the targets of a data centre get no openings.
func (v *View) Evacuated(dataCentre string) bool { return v.evacuated[dataCentre] }

// EvacuatedDataCentres returns the evacuated data centres in order.
func (v *View) EvacuatedDataCentres() []string { return slices.Sorted(maps.Keys(v.evacuated)) }
