package bundle

import (
	"cmp"
	"slices"
	"time"
)

// maxRetired limits the memory of a view. It is above the 2,300 targets of the
// design size, so that all old targets are kept even when a bundle replaces
// every target.
const maxRetired = 4096

// TargetOrRetired returns the target with the id, which may be a retired one, or
// nil. The caller must compare RetiredUntil with its clock: an expired target is
// removed only with the next bundle.
func (v *View) TargetOrRetired(id uint32) *Target {
	if t := v.targets[id]; t != nil {
		return t
	}
	return v.retired[id]
}

// retireTargets adds the targets of the previous view that v does not have to
// the retired targets of v. It must be called before v is shared.
func (v *View) retireTargets(previous *View, now time.Time) {
	if previous == nil {
		return
	}
	v.Retired, v.retired = nil, map[uint32]*Target{}
	for _, t := range previous.Retired {
		if t.RetiredUntil.After(now) {
			v.addRetired(t, t.RetiredUntil)
		}
	}
	for _, s := range previous.Services {
		for _, t := range s.Targets {
			v.addRetired(t, now.Add(s.Rules.DrainDeadline))
		}
	}
	slices.SortFunc(v.Retired, func(a, b *Target) int {
		return cmp.Or(b.RetiredUntil.Compare(a.RetiredUntil), cmp.Compare(a.ID, b.ID))
	})
	for len(v.Retired) > maxRetired {
		last := len(v.Retired) - 1
		delete(v.retired, v.Retired[last].ID)
		v.Retired = v.Retired[:last]
	}
}

// addRetired adds a copy of t, because the previous view is shared. The copy
// refers to the service of v if v still has that service.
func (v *View) addRetired(t *Target, until time.Time) {
	if v.targets[t.ID] != nil {
		return
	}
	retired := *t
	retired.Draining = true
	retired.RetiredUntil = until
	if s := v.services[t.Service.ID]; s != nil {
		retired.Service = s
	}
	v.Retired = append(v.Retired, &retired)
	v.retired[t.ID] = &retired
}
