package settings

import (
	"crypto/ed25519"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/internal/document"
	"github.com/heathergw/heathergw/schema"
)

// Bounds of settings.
const (
	// maxNameBytes keeps log lines and audit records short.
	maxNameBytes = 128
	// minInnerMTU in bytes is the smallest datagram that every IPv4 host
	// accepts (RFC 791).
	minInnerMTU = 576
	// maxInnerMTU in bytes leaves room for the outer headers in a jumbo frame
	// of 9,000 bytes.
	maxInnerMTU = 8900
	// maxWorkers exceeds the number of cores of the VMs in use.
	maxWorkers = 256
	// minCacheFlows and maxCacheFlows bound the memory of the flow cache; an
	// entry with 262,144 flows must stay under 64 MB.
	minCacheFlows = 1024
	maxCacheFlows = 4 << 20
	// maxStopDuration bounds each duration of a planned stop.
	maxStopDuration = time.Hour
)

// checker collects the findings of the settings of one process.
type checker struct {
	document.Report
	// localSockets maps each UDP address that the process opens to its field.
	localSockets map[netip.AddrPort]string
}

// Check returns all findings of settings to which the defaults have been
// applied. The document, which may be nil, supplies the file name and the lines.
func Check(s *schema.Settings, d *document.Document) document.Findings {
	c := &checker{Report: document.Report{Document: d}, localSockets: map[netip.AddrPort]string{}}
	c.identity(s)
	c.localSocket("listen", s.GetListen())
	c.statusListen(s)
	if s.GetRelay() != nil {
		c.relay(s)
		return c.Findings
	}
	c.platform(s)
	c.keys(s)
	c.seedPeers(s)
	c.inRange("inner_mtu_bytes", s.GetInnerMtuBytes(), minInnerMTU, maxInnerMTU)
	c.inRange("workers", s.GetWorkers(), 1, maxWorkers)
	switch {
	case s.GetEntry() != nil:
		c.entry(s.GetEntry())
	case s.GetAgent() != nil:
		c.agent(s.GetAgent())
	default:
		c.Errorf("", `the role is missing: give "entry" or "agent"`)
	}
	return c.Findings
}

func (c *checker) identity(s *schema.Settings) {
	if s.GetName() == "" {
		c.Errorf("name", "the name is missing")
	}
	if len(s.GetName()) > maxNameBytes {
		c.Errorf("name", "the name is longer than %d bytes", maxNameBytes)
	}
	if s.GetDataCentre() == "" {
		c.Errorf("data_centre", "the data centre is missing")
	}
}

func (c *checker) statusListen(s *schema.Settings) {
	if s.GetStatusListen() != "" {
		c.addrPort("status_listen", s.GetStatusListen())
	}
}

// addrPort parses an address and reports whether it is valid.
func (c *checker) addrPort(field, text string) (netip.AddrPort, bool) {
	if text == "" {
		c.Errorf(field, "the address is missing, want ip:port")
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		c.Errorf(field, "%q is not ip:port", text)
		return a, false
	}
	if a.Port() == 0 {
		c.Errorf(field, "port 0 is not allowed")
		return a, false
	}
	return a, true
}

// remoteAddrPort checks an address to which other processes send.
func (c *checker) remoteAddrPort(field, text string) (netip.AddrPort, bool) {
	a, ok := c.addrPort(field, text)
	if ok && (a.Addr().IsUnspecified() || a.Addr().IsMulticast()) {
		c.Errorf(field, "%s is not the address of one VM", a.Addr())
		return a, false
	}
	return a, ok
}

// localSocket checks an address on which the process opens a UDP socket. Each
// socket needs an address of its own because the datagrams differ in format.
func (c *checker) localSocket(field, text string) {
	a, ok := c.remoteAddrPort(field, text)
	if !ok {
		return
	}
	if other, used := c.localSockets[a]; used {
		c.Errorf(field, "%s is also the address of %s", a, other)
		return
	}
	c.localSockets[a] = field
}

func (c *checker) platform(s *schema.Settings) {
	p := s.GetPlatform()
	if p.GetUrl() == "" {
		if len(s.GetSeedPeers()) == 0 {
			c.Warnf("platform.url", "without platform and seed_peers the process learns a bundle only when a peer contacts it")
		}
		return
	}
	c.httpURL("platform.url", p.GetUrl())
	if p.GetBundleKey() == "" {
		c.Errorf("platform.bundle_key", "the key of the bundle is missing")
	}
	if p.GetVmListKey() == "" {
		c.Errorf("platform.vm_list_key", "the key of the VM list is missing")
	}
	if p.GetBundleKey() != "" && p.GetBundleKey() == p.GetVmListKey() {
		c.Errorf("platform.vm_list_key", "the key is the same as platform.bundle_key")
	}
}

func (c *checker) httpURL(field, text string) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.Errorf(field, "%q is not an http or https URL", text)
	}
}

func (c *checker) keys(s *schema.Settings) {
	c.keyList("bundle_public_keys", s.GetBundlePublicKeys(), ed25519.PublicKeySize)
	c.keyList("fleet_keys", s.GetFleetKeys(), FleetKeySize)
}

func (c *checker) keyList(field string, keys []string, size int) {
	if len(keys) == 0 {
		c.Errorf(field, "at least one key is needed")
	}
	seen := map[string]int{}
	for i, text := range keys {
		element := fmt.Sprintf("%s[%d]", field, i)
		key, err := decodeKey(text, size)
		if err != nil {
			c.Errorf(element, "%s", err)
			continue
		}
		if first, ok := seen[string(key)]; ok {
			c.Errorf(element, "the key is also %s[%d]", field, first)
			continue
		}
		seen[string(key)] = i
	}
}

func (c *checker) seedPeers(s *schema.Settings) {
	seen := map[netip.AddrPort]int{}
	for i, text := range s.GetSeedPeers() {
		field := fmt.Sprintf("seed_peers[%d]", i)
		a, ok := c.remoteAddrPort(field, text)
		if !ok {
			continue
		}
		if first, ok := seen[a]; ok {
			c.Warnf(field, "%s is also seed_peers[%d]", a, first)
		}
		seen[a] = i
		if text == s.GetListen() {
			c.Warnf(field, "%s is the address of this process", a)
		}
	}
}

func (c *checker) inRange(field string, value, low, high uint32) {
	if value < low || value > high {
		c.Errorf(field, "%d is not from %d to %d", value, low, high)
	}
}

func (c *checker) entry(e *schema.EntrySettings) {
	c.localSocket("entry.fabric_listen", e.GetFabricListen())
	c.inRange("entry.cache_flows", e.GetCacheFlows(), minCacheFlows, maxCacheFlows)
	idle, idleOK := c.stopDuration("entry.stop_idle", e.GetStopIdle())
	deadline, deadlineOK := c.stopDuration("entry.stop_deadline", e.GetStopDeadline())
	if idleOK && deadlineOK && idle > deadline {
		c.Errorf("entry.stop_idle", "%s is longer than stop_deadline, %s", idle, deadline)
	}
}

func (c *checker) stopDuration(field string, m *durationpb.Duration) (time.Duration, bool) {
	d := m.AsDuration()
	if d <= 0 || d > maxStopDuration {
		c.Errorf(field, "%s is out of range, want above 0 and at most %s", d, maxStopDuration)
		return 0, false
	}
	return d, true
}

func (c *checker) agent(a *schema.AgentSettings) {
	if a.GetTargetId() == 0 {
		c.Errorf("agent.target_id", "the target id is missing or 0")
	}
	c.localSocket("agent.host_listen", a.GetHostListen())
	c.remoteAddrPort("agent.host_address", a.GetHostAddress())
	c.remoteAddrPort("agent.fabric_address", a.GetFabricAddress())
	if a.GetHealthUrl() != "" {
		c.httpURL("agent.health_url", a.GetHealthUrl())
	}
}
