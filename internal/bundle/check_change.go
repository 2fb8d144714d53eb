package bundle

import (
	"bytes"
	"fmt"
	"net/netip"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

// checkChange checks the change from the predecessor. Processes apply a bundle at
// different times, so that both bundles are in use for some seconds.
func (c *checker) checkChange(predecessor *schema.Bundle) {
	if !bytes.Equal(predecessor.GetHashKey(), c.bundle.GetHashKey()) {
		c.Warnf("hash_key", "the key changed, which moves the candidates of all flows")
	}
	for _, s := range predecessor.GetServices() {
		for _, t := range s.GetTargets() {
			c.checkPredecessorTarget(s, t)
		}
	}
	c.checkMovedAddresses(predecessor)
	c.checkMovedAgents(predecessor)
}

// checkPredecessorTarget reports a target of the predecessor that is removed
// without draining, or whose id is now that of a target of another service:
// packets that still carry the id would reach that service.
func (c *checker) checkPredecessorTarget(s *schema.Service, t *schema.Target) {
	for i, service := range c.bundle.GetServices() {
		for j, target := range service.GetTargets() {
			if target.GetId() != t.GetId() {
				continue
			}
			if service.GetId() != s.GetId() {
				c.Errorf(fmt.Sprintf("services[%d].targets[%d].id", i, j),
					"target %d belongs to service %q in the predecessor; a host that moves needs a new id", t.GetId(), s.GetName())
			}
			return
		}
	}
	if t.GetState() != schema.TargetState_TARGET_STATE_DRAINING {
		c.Errorf(c.serviceField(s.GetId(), "targets"),
			"target %d (%s) of service %q is removed but did not drain; first sign a bundle with its state TARGET_STATE_DRAINING",
			t.GetId(), t.GetName(), s.GetName())
	}
}

// serviceField returns the path of a field of the service with the id, or
// "services" if the bundle does not have the service.
func (c *checker) serviceField(id uint32, field string) string {
	for i, s := range c.bundle.GetServices() {
		if s.GetId() == id {
			return fmt.Sprintf("services[%d].%s", i, field)
		}
	}
	return "services"
}

// checkMovedAddresses reports an address that moves to another service in one
// step: an entry with the predecessor and one with the new bundle would send the
// same flow to targets of different services.
func (c *checker) checkMovedAddresses(predecessor *schema.Bundle) {
	serviceByDestination := map[destination]*schema.Service{}
	for _, s := range predecessor.GetServices() {
		for _, a := range s.GetAddresses() {
			if key, ok := destinationOf(a); ok {
				serviceByDestination[key] = s
			}
		}
	}
	for i, s := range c.bundle.GetServices() {
		for j, a := range s.GetAddresses() {
			key, ok := destinationOf(a)
			if previous := serviceByDestination[key]; ok && previous != nil && previous.GetId() != s.GetId() {
				c.Errorf(fmt.Sprintf("services[%d].addresses[%d]", i, j),
					"%s belongs to service %q in the predecessor; first sign a bundle that has it in neither", key, previous.GetName())
			}
		}
	}
}

// checkMovedAgents reports an agent address that moves to another service in one
// step, for the same reason as checkMovedAddresses.
func (c *checker) checkMovedAgents(predecessor *schema.Bundle) {
	serviceByAgent := map[string]*schema.Service{}
	for _, s := range predecessor.GetServices() {
		for _, t := range s.GetTargets() {
			serviceByAgent[t.GetAgentAddress()] = s
		}
	}
	for i, s := range c.bundle.GetServices() {
		for j, t := range s.GetTargets() {
			if previous := serviceByAgent[t.GetAgentAddress()]; previous != nil && previous.GetId() != s.GetId() {
				c.Errorf(fmt.Sprintf("services[%d].targets[%d].agent_address", i, j),
					"%s belongs to service %q in the predecessor; first sign a bundle that has it in neither", t.GetAgentAddress(), previous.GetName())
			}
		}
	}
}

// destinationOf returns the destination of an address, and false if its IP
// address cannot be parsed.
func destinationOf(a *schema.ServiceAddress) (destination, bool) {
	ip, err := netip.ParseAddr(a.GetIp())
	key := destination{netip.AddrPortFrom(ip, uint16(a.GetPort())), packet.ProtocolTCP}
	if a.GetProtocol() == schema.Protocol_PROTOCOL_UDP {
		key.protocol = packet.ProtocolUDP
	}
	return key, err == nil
}
