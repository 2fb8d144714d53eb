package plan

import (
	"fmt"
	"io"
	"strings"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
)

// Write writes the plan as text to w. The error is that of w.
func (p *Plan) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "bundle %s -> %s\n", p.From, p.To)
	for _, f := range p.Settings {
		fmt.Fprintf(&b, "%s\n", f)
	}
	for i := range p.Services {
		p.Services[i].write(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (s *Service) write(b *strings.Builder) {
	fmt.Fprintf(b, "service %d %q", s.ID, s.Name)
	switch {
	case s.Unchanged():
		b.WriteString(": no change\n")
		return
	case s.Added:
		b.WriteString(" is added")
	case s.Removed:
		b.WriteString(" is removed")
	}
	b.WriteString("\n")
	for _, f := range s.Rules {
		fmt.Fprintf(b, "  %s\n", f)
	}
	for _, a := range s.Addresses {
		fmt.Fprintf(b, "  address %s %s %s\n", protocolName(a.Protocol), a.Address, choose(a.Added, "is added", "is removed"))
	}
	for _, t := range s.Targets {
		fmt.Fprintf(b, "  %s\n", t.describe())
	}
	fmt.Fprintf(b, "  slots for new flows: %d -> %d\n", s.SlotsBefore, s.SlotsAfter)
	if f := s.Flows; f.Sampled > 0 {
		fmt.Fprintf(b, "  of %d sampled flows, %.1f%% get another first candidate and %.1f%% another candidate order\n",
			f.Sampled, percent(f.FirstChanged, f.Sampled), percent(f.OrderChanged, f.Sampled))
	}
}

// String formats the change as "name before -> after".
func (f FieldChange) String() string {
	return fmt.Sprintf("%s %v -> %v", f.Name, f.Before, f.After)
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(whole) }

func protocolName(p uint8) string { return choose(p == packet.ProtocolUDP, "udp", "tcp") }

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func (c TargetChange) describe() string {
	switch {
	case c.Before == nil:
		return fmt.Sprintf("%s is added with %d slots", targetLabel(c.After), c.After.Slots)
	case c.After == nil && c.Before.Draining:
		return targetLabel(c.Before) + " is removed after draining"
	case c.After == nil:
		return targetLabel(c.Before) + " is removed without draining"
	}
	var changes []string
	if c.Before.Draining != c.After.Draining {
		changes = append(changes, choose(c.After.Draining, "starts to drain", "takes new flows again"))
	}
	for _, f := range changedFields(
		FieldChange{"name", c.Before.Name, c.After.Name},
		FieldChange{"data centre", c.Before.DataCentre, c.After.DataCentre},
		FieldChange{"agent", c.Before.Agent, c.After.Agent},
		FieldChange{"slots", c.Before.Slots, c.After.Slots},
		FieldChange{"connections", c.Before.MaxConnections, c.After.MaxConnections},
		FieldChange{"weight", c.Before.Weight, c.After.Weight},
	) {
		changes = append(changes, f.String())
	}
	return targetLabel(c.After) + ": " + strings.Join(changes, ", ")
}

func targetLabel(t *bundle.Target) string {
	return fmt.Sprintf("target %d %q (%s)", t.ID, t.Name, t.DataCentre)
}
