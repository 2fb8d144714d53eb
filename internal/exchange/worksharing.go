package exchange

import (
	"net/netip"
	"time"

	"github.com/heathergw/heathergw/internal/worksharing"
	"github.com/heathergw/heathergw/schema"
)

// SendOffer sends an offer of waiting openings to the agents at the addresses.
func (d *Directory) SendOffer(o worksharing.Offer, recipients []netip.Addr) {
	d.transmit(&schema.Exchange{StartId: d.settings.StartID, Offer: &schema.WorkOffer{
		Service: o.Service, Waiting: uint32(o.Waiting), DataCentre: o.DataCentre,
		ExpectedWaitMs: uint32(o.ExpectedWait.Milliseconds()),
	}}, recipients)
}

// SendPull sends a pull of waiting openings to the agent at the address.
func (d *Directory) SendPull(p worksharing.Pull, to netip.Addr) {
	d.transmit(&schema.Exchange{StartId: d.settings.StartID, Pull: &schema.WorkPull{
		Service: p.Service, Room: uint32(p.Room),
	}}, []netip.Addr{to})
}

// handleWork passes an offer or a pull on and reports whether m is one. Such a message has
// no state of its sender, so it changes neither the peers nor what is known of them.
func (d *Directory) handleWork(m *schema.Exchange, from netip.Addr) bool {
	offer, pull := m.GetOffer(), m.GetPull()
	if offer != nil && d.settings.OnOffer != nil {
		d.settings.OnOffer(from, worksharing.Offer{
			Service: offer.GetService(), Waiting: int(offer.GetWaiting()), DataCentre: offer.GetDataCentre(),
			ExpectedWait: time.Duration(offer.GetExpectedWaitMs()) * time.Millisecond,
		})
	}
	if pull != nil && d.settings.OnPull != nil {
		d.settings.OnPull(from, worksharing.Pull{Service: pull.GetService(), Room: int(pull.GetRoom())})
	}
	return offer != nil || pull != nil
}
