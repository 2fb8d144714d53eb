package bundle

import (
	"maps"
	"slices"

	"github.com/heathergw/heathergw/schema"
)

// minRemainingPercent is the share of a service's slots that should remain when
// one target or one data centre drains. With less, the remaining targets cannot
// take the work of a service with half of its slots in use.
const minRemainingPercent = 50

// checkCapacity checks that a service has a target for new flows, and how many
// slots remain when its largest target or data centre drains.
func (c *checker) checkCapacity(field string, s *schema.Service) {
	allowed := s.GetRules().GetDataCentres()
	total, largest, slotsByDataCentre := 0, 0, map[string]int{}
	var largestTarget *schema.Target
	accepting := 0
	for _, t := range s.GetTargets() {
		if !acceptsNewFlows(t, allowed) {
			continue
		}
		accepting++
		total += int(t.GetSlots())
		slotsByDataCentre[t.GetDataCentre()] += int(t.GetSlots())
		if int(t.GetSlots()) > largest {
			largest, largestTarget = int(t.GetSlots()), t
		}
	}
	switch {
	case len(s.GetTargets()) == 0:
		c.Errorf(field, "the service has no target")
		return
	case accepting == 0:
		c.Errorf(field, "no target of the service is active in an allowed data centre")
		return
	case total == 0:
		return // checkTarget reports targets without slots
	}
	if remaining := total - largest; 100*remaining < minRemainingPercent*total {
		c.Warnf(field, "when target %d drains, %d of %d slots remain", largestTarget.GetId(), remaining, total)
	}
	name, slots := largestDataCentre(slotsByDataCentre)
	if remaining := total - slots; 100*remaining < minRemainingPercent*total {
		c.Warnf(field, "when data centre %q drains, %d of %d slots remain", name, remaining, total)
	}
}

func largestDataCentre(slots map[string]int) (name string, largest int) {
	for _, dc := range slices.Sorted(maps.Keys(slots)) {
		if slots[dc] > largest {
			name, largest = dc, slots[dc]
		}
	}
	return name, largest
}
