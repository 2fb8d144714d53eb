package catalog

import "cmp"

// Position identifies a state of the store. A store that comes back from an older
// copy begins a new era, in which it gives out revisions again, so revisions are
// comparable only within an era.
type Position struct {
	Era, Revision uint64
}

// Known reports whether the position is that of a state; revisions start above 0.
func (p Position) Known() bool { return p.Revision > 0 }

// Compare returns a negative number if the store had the state p before q, 0 if they
// are the same state, and a positive number otherwise.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether the store had the state p before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }
