package bundle

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/schema"
)

// Unsigned returns a copy of the content without the fields that signing sets.
func Unsigned(s *Signed) *schema.Bundle {
	b := proto.CloneOf(s.Bundle())
	b.PredecessorDigest, b.SignedAtUnixSeconds = nil, 0
	return b
}

// RollBack returns a bundle with the content of an older one, to be signed on
// top of the current one. With drainAdded, active targets that the older
// content does not have stay as draining targets of their service, so that
// their flows are not cut; a later bundle removes them. A target of a service
// that the older content does not have cannot stay.
func RollBack(old, current *Signed, drainAdded bool) *schema.Bundle {
	b := Unsigned(old)
	b.Sequence = current.Sequence + 1
	b.Note = fmt.Sprintf("roll-back to %s", old.Version())
	if drainAdded {
		addDraining(b, current.Bundle())
	}
	return b
}

func addDraining(b, current *schema.Bundle) {
	known := map[uint32]bool{}
	services := map[uint32]*schema.Service{}
	for _, s := range b.GetServices() {
		services[s.GetId()] = s
		for _, t := range s.GetTargets() {
			known[t.GetId()] = true
		}
	}
	for _, s := range current.GetServices() {
		for _, t := range s.GetTargets() {
			if into := services[s.GetId()]; into != nil && !known[t.GetId()] {
				t = proto.CloneOf(t)
				t.State = schema.TargetState_TARGET_STATE_DRAINING
				into.Targets = append(into.Targets, t)
			}
		}
	}
}
