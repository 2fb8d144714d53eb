package bundle

import (
	"cmp"
	"slices"
	"time"
)

// maxRetired bounds the memory of a view. It is above the 2,300 targets of the
// design size, so that even a bundle that replaces every target keeps them.
const maxRetired = 4096

// AnyTarget returns the target with the id, also one that left the bundle and
// whose flows may still go on, or nil. The caller compares RetiredUntil with
// its clock; an expired target stays until the next bundle.
func (v *View) AnyTarget(id uint32) *Target {
	if t := v.targets[id]; t != nil {
		return t
	}
	return v.retired[id]
}

// retire takes the targets that the former view knows and v does not. It must
// be called before v is shared.
func (v *View) retire(former *View, now time.Time) {
	if former == nil {
		return
	}
	v.Retired, v.retired = nil, map[uint32]*Target{}
	for _, t := range former.Retired {
		if t.RetiredUntil.After(now) {
			v.addRetired(t, t.RetiredUntil)
		}
	}
	for _, s := range former.Services {
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

// addRetired copies the target, because the former view is shared. A service
// that is still in the bundle replaces the former one.
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
