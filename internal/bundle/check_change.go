package bundle

import (
	"bytes"
	"fmt"
	"net/netip"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

// change checks the step from the former bundle: processes take it at
// different times, so that for some seconds both are in use.
func (c *checker) change(former *schema.Bundle) {
	if !bytes.Equal(former.GetHashKey(), c.bundle.GetHashKey()) {
		c.Warnf("hash_key", "the key changed, which moves the candidates of all flows")
	}
	for _, s := range former.GetServices() {
		for _, t := range s.GetTargets() {
			c.formerTarget(s, t)
		}
	}
	c.movedAddresses(former)
	c.movedAgents(former)
}

// formerTarget refuses to remove a target whose flows were not drained, and to
// give its id to another service: packets that still name the id would reach
// that service.
func (c *checker) formerTarget(s *schema.Service, t *schema.Target) {
	for i, now := range c.bundle.GetServices() {
		for j, other := range now.GetTargets() {
			if other.GetId() != t.GetId() {
				continue
			}
			if now.GetId() != s.GetId() {
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

// serviceField returns the field of a service by its id, or "services" when it
// is gone.
func (c *checker) serviceField(id uint32, name string) string {
	for i, s := range c.bundle.GetServices() {
		if s.GetId() == id {
			return fmt.Sprintf("services[%d].%s", i, name)
		}
	}
	return "services"
}

// movedAddresses refuses an address that changes its service in one step: an
// entry with the former bundle and one with the new bundle would send the same
// flow to targets of different services.
func (c *checker) movedAddresses(former *schema.Bundle) {
	owners := map[destination]*schema.Service{}
	for _, s := range former.GetServices() {
		for _, a := range s.GetAddresses() {
			if key, ok := destinationOf(a); ok {
				owners[key] = s
			}
		}
	}
	for i, s := range c.bundle.GetServices() {
		for j, a := range s.GetAddresses() {
			key, ok := destinationOf(a)
			if owner := owners[key]; ok && owner != nil && owner.GetId() != s.GetId() {
				c.Errorf(fmt.Sprintf("services[%d].addresses[%d]", i, j),
					"%s belongs to service %q in the predecessor; first sign a bundle that has it in neither", key, owner.GetName())
			}
		}
	}
}

// movedAgents refuses an agent address that changes its service in one step,
// for the reason of movedAddresses.
func (c *checker) movedAgents(former *schema.Bundle) {
	owners := map[string]*schema.Service{}
	for _, s := range former.GetServices() {
		for _, t := range s.GetTargets() {
			owners[t.GetAgentAddress()] = s
		}
	}
	for i, s := range c.bundle.GetServices() {
		for j, t := range s.GetTargets() {
			if owner := owners[t.GetAgentAddress()]; owner != nil && owner.GetId() != s.GetId() {
				c.Errorf(fmt.Sprintf("services[%d].targets[%d].agent_address", i, j),
					"%s belongs to service %q in the predecessor; first sign a bundle that has it in neither", t.GetAgentAddress(), owner.GetName())
			}
		}
	}
}

// destinationOf returns the key of an address; false for one that Check refuses.
func destinationOf(a *schema.ServiceAddress) (destination, bool) {
	ip, err := netip.ParseAddr(a.GetIp())
	key := destination{netip.AddrPortFrom(ip, uint16(a.GetPort())), packet.ProtocolTCP}
	if a.GetProtocol() == schema.Protocol_PROTOCOL_UDP {
		key.protocol = packet.ProtocolUDP
	}
	return key, err == nil
}
