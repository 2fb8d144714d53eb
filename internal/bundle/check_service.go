package bundle

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

func (c *checker) checkService(field string, s *schema.Service) {
	if s.GetId() == 0 {
		c.Errorf(field+".id", "the id is missing or 0")
	} else {
		checkUnique(c, c.serviceIDs, s.GetId(), field+".id")
	}
	if s.GetName() == "" {
		c.Errorf(field+".name", "the name is missing")
	} else {
		checkUnique(c, c.serviceNames, s.GetName(), field+".name")
	}
	c.checkRules(field+".rules", s.GetRules())
	for i, t := range s.GetTargets() {
		c.checkTarget(fmt.Sprintf("%s.targets[%d]", field, i), t)
	}
	if n := len(s.GetTargets()); n > MaxTargetsPerService {
		c.Errorf(field+".targets", "the service has %d targets, at most %d are allowed", n, MaxTargetsPerService)
	}
	if len(s.GetAddresses()) == 0 {
		c.Warnf(field+".addresses", "the service has no address, so that it gets no flow")
	}
	for i, a := range s.GetAddresses() {
		c.checkAddress(fmt.Sprintf("%s.addresses[%d]", field, i), s, a)
	}
	c.checkCapacity(field+".targets", s)
}

func (c *checker) checkRules(field string, r *schema.ServiceRules) {
	seen := map[string]bool{}
	for i, name := range r.GetDataCentres() {
		element := fmt.Sprintf("%s.data_centres[%d]", field, i)
		c.checkDataCentre(element, name)
		if seen[name] {
			c.Errorf(element, "%q is named twice", name)
		}
		seen[name] = true
	}
	if p := r.GetSpillOverPercent(); p > 100 {
		c.Errorf(field+".spill_over_percent", "%d is above 100", p)
	}
	if _, ok := schema.RefusalPolicy_name[int32(r.GetRefusal())]; !ok {
		c.Errorf(field+".refusal", "%d is not a refusal policy", r.GetRefusal())
	}
	c.checkDuration(field+".drain_deadline", r.GetDrainDeadline(), minDrainDeadline, maxDrainDeadline)
	c.checkDuration(field+".opening_deadline", r.GetOpeningDeadline(), minOpeningDeadline, maxOpeningDeadline)
	c.checkDuration(field+".slow_start", r.GetSlowStart(), 0, maxSlowStart)
	c.checkDuration(field+".udp_idle_timeout", r.GetUdpIdleTimeout(), minUDPIdleTimeout, maxUDPIdleTimeout)
}

func (c *checker) checkDataCentre(field, name string) {
	if name == "" {
		c.Errorf(field, "the data centre is missing")
	} else if !c.dataCentres[name] {
		c.Errorf(field, "data centre %q is not in data_centres", name)
	}
}

func (c *checker) checkTarget(field string, t *schema.Target) {
	if t.GetId() == 0 {
		c.Errorf(field+".id", "the id is missing or 0")
	} else {
		checkUnique(c, c.targetIDs, t.GetId(), field+".id")
	}
	c.checkDataCentre(field+".data_centre", t.GetDataCentre())
	c.checkAgentAddress(field+".agent_address", t.GetAgentAddress())
	if t.GetSlots() == 0 {
		c.Errorf(field+".slots", "the slots are missing or 0; to take a target out, set its state to TARGET_STATE_DRAINING")
	}
	if t.GetMaxConnections() < t.GetSlots() {
		c.Errorf(field+".max_connections", "%d is lower than the %d slots", t.GetMaxConnections(), t.GetSlots())
	}
	if t.GetWeight() > maxWeight {
		c.Errorf(field+".weight", "%d is above %d", t.GetWeight(), maxWeight)
	}
	if _, ok := schema.TargetState_name[int32(t.GetState())]; !ok {
		c.Errorf(field+".state", "%d is not a state", t.GetState())
	}
}

func (c *checker) checkAgentAddress(field, text string) {
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		c.Errorf(field, "%q is not ip:port", text)
	case a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		c.Errorf(field, "%s is not the address of one agent", a)
	default:
		checkUnique(c, c.agents, a, field)
	}
}

func (c *checker) checkAddress(field string, s *schema.Service, a *schema.ServiceAddress) {
	if key, ok := c.checkDestination(field, a); ok {
		checkUnique(c, c.addresses, key, field)
	}
	if a.GetProtocol() == schema.Protocol_PROTOCOL_UDP {
		c.Warnf(field+".protocol", "two targets may see the first datagrams of one flow; requests over UDP must be idempotent")
	}
	homeDataCentre := a.GetHomeDataCentre()
	if homeDataCentre == "" {
		return
	}
	c.checkDataCentre(field+".home_data_centre", homeDataCentre)
	if !slices.ContainsFunc(s.GetTargets(), func(t *schema.Target) bool {
		return t.GetDataCentre() == homeDataCentre && acceptsNewFlows(t, s.GetRules().GetDataCentres())
	}) {
		c.Warnf(field+".home_data_centre", "no target of the service in %q takes new flows", homeDataCentre)
	}
}

// checkDestination checks an address and returns its destination, and whether a
// packet can have that destination.
func (c *checker) checkDestination(field string, a *schema.ServiceAddress) (destination, bool) {
	findingsBefore := len(c.Findings)
	ip, err := netip.ParseAddr(a.GetIp())
	switch {
	case err != nil:
		c.Errorf(field+".ip", "%q is not an IP address", a.GetIp())
	case ip.IsUnspecified() || ip.IsMulticast() || ip.Is4In6() || ip.Zone() != "":
		c.Errorf(field+".ip", "%s is not an address that a client can use", ip)
	}
	if p := a.GetPort(); p == 0 || p > math.MaxUint16 {
		c.Errorf(field+".port", "%d is not from 1 to %d", p, math.MaxUint16)
	}
	key := destination{address: netip.AddrPortFrom(ip, uint16(a.GetPort()))}
	switch a.GetProtocol() {
	case schema.Protocol_PROTOCOL_TCP:
		key.protocol = packet.ProtocolTCP
	case schema.Protocol_PROTOCOL_UDP:
		key.protocol = packet.ProtocolUDP
	default:
		c.Errorf(field+".protocol", "the protocol is missing or unknown")
	}
	return key, len(c.Findings) == findingsBefore
}

// String formats the destination as "tcp 192.0.2.1:443".
func (d destination) String() string {
	if d.protocol == packet.ProtocolUDP {
		return "udp " + d.address.String()
	}
	return "tcp " + d.address.String()
}
