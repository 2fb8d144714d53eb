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
// top of the current one. With drainAdded, targets that the older content does
// not have are kept as draining targets of their service, so that their flows
// are not broken; a later bundle removes them. A target whose service is not in
// the older content is not kept.
func RollBack(old, current *Signed, drainAdded bool) *schema.Bundle {
	b := Unsigned(old)
	b.Sequence = current.Sequence + 1
	b.Note = fmt.Sprintf("roll-back to %s", old.Version())
	if drainAdded {
		addDraining(b, current.Bundle())
	}
	return b
}

// addDraining adds the targets of current that b does not have to their service
// in b, in the draining state.
func addDraining(b, current *schema.Bundle) {
	present := map[uint32]bool{}
	services := map[uint32]*schema.Service{}
	for _, s := range b.GetServices() {
		services[s.GetId()] = s
		for _, t := range s.GetTargets() {
			present[t.GetId()] = true
		}
	}
	for _, s := range current.GetServices() {
		for _, t := range s.GetTargets() {
			if service := services[s.GetId()]; service != nil && !present[t.GetId()] {
				t = proto.CloneOf(t)
				t.State = schema.TargetState_TARGET_STATE_DRAINING
				service.Targets = append(service.Targets, t)
			}
		}
	}
}
