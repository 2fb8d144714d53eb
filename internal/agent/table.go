package agent

import (
	"net/netip"
	"sync/atomic"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/flow"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// direct delivers every packet of the target's service to the host. It stands
// where the flow table follows.
type direct struct {
	targetID uint32
	view     atomic.Pointer[bundle.View]
}

func newTable(settings *schema.Settings, _ uint64, _ [2]uint64) *direct {
	return &direct{targetID: settings.GetAgent().GetTargetId()}
}

func (d *direct) SetView(v *bundle.View, _ int64, _ *flow.Actions) { d.view.Store(v) }

func (d *direct) FromPeer(p *packet.Packet, _ *wire.Forward, _ netip.AddrPort, _ int64, out *flow.Actions) {
	v := d.view.Load()
	if v == nil {
		return
	}
	target, address := v.Target(d.targetID), v.Lookup(&p.Key)
	if target == nil || address == nil || address.Service != target.Service {
		return
	}
	out.ToHost = append(out.ToHost, p.Data)
}

func (d *direct) FromHost(p *packet.Packet, _ int64, out *flow.Actions) {
	out.ToFabric = append(out.ToFabric, p.Data)
}

func (d *direct) Control(*schema.Control, netip.AddrPort, int64, *flow.Actions) {}
func (d *direct) Tick(int64, *flow.Actions)                                     {}
func (d *direct) Drain(int64, *flow.Actions)                                    {}
func (d *direct) Done(int64) bool                                               { return true }
func (d *direct) ProbeAnswer() *schema.ProbeAnswer                              { return &schema.ProbeAnswer{} }
