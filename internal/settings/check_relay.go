package settings

import (
	"fmt"
	"math"
	"net/netip"

	"github.com/heathergw/heathergw/schema"
)

// relay checks the settings of a process on a platform whose store is the
// authority for the configuration. Keys and signatures are not used there.
func (c *checker) relay(s *schema.Settings) {
	r := s.GetRelay()
	if r.GetTrust() != schema.ConfigurationTrust_CONFIGURATION_TRUST_STORE {
		c.Errorf("relay.trust", "the store's configuration carries no signature; set CONFIGURATION_TRUST_STORE to accept it")
	}
	c.httpURL("platform.url", s.GetPlatform().GetUrl())
	c.localSocket("relay.packet_listen", r.GetPacketListen())
	c.addrPort("relay.ready_listen", r.GetReadyListen())
	if r.GetExchangePort() == 0 || r.GetExchangePort() > math.MaxUint16 {
		c.Errorf("relay.exchange_port", "%d is not from 1 to %d", r.GetExchangePort(), math.MaxUint16)
	}
	if listen, err := netip.ParseAddrPort(s.GetListen()); err == nil && uint32(listen.Port()) != r.GetExchangePort() {
		c.Errorf("relay.exchange_port", "%d is not the port of listen, %d", r.GetExchangePort(), listen.Port())
	}
	for i, seed := range r.GetSeedHosts() {
		c.remoteAddrPort(fmt.Sprintf("relay.seed_hosts[%d]", i), seed)
	}
	c.stopDuration("relay.stop_grace", r.GetStopGrace())
	c.coldLimit("relay.cold_excess", r.GetColdExcess())
	c.coldLimit("relay.cold_slack", r.GetColdSlack())
	switch {
	case s.GetEntry() != nil:
	case s.GetAgent() != nil:
		c.localSocket("agent.host_listen", s.GetAgent().GetHostListen())
		c.remoteAddrPort("agent.host_address", s.GetAgent().GetHostAddress())
		if r.GetService() == "" {
			c.Errorf("relay.service", "the service of the host is missing")
		}
	default:
		c.Errorf("", `the role is missing: give "entry" or "agent"`)
	}
}

// maxColdLimit exceeds the openings that a host can get in a second.
const maxColdLimit = 1e6

func (c *checker) coldLimit(field string, value float64) {
	if math.IsNaN(value) || value < 0 || value > maxColdLimit {
		c.Errorf(field, "%g is not from 0 to %g", value, maxColdLimit)
	}
}
