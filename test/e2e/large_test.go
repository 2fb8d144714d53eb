package e2e

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/platform/platformtest"
	"github.com/heathergw/heathergw/schema"
)

// Memory that the smallest VMs of the deployments grant to a process, in bytes.
const (
	entryMemory = 123 << 20
	agentMemory = 103 << 20
)

// peakMemory returns the greatest resident memory that the process had, in bytes.
func peakMemory(c *qt.C, p *process) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	c.Assert(err, qt.IsNil)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(text, "kB")))
			c.Assert(err, qt.IsNil)
			return kilobytes << 10
		}
	}
	c.Fatal("no VmHWM")
	return 0
}

// Guards against processes that exceed the memory of their VM, or stay behind, while the
// operator writes configurations of nearly 1 MB in series, another writer writes
// unreadable entries of 1 MB, and an entry and an agent are frozen for 4 s.
func TestLargeItemsFitIntoMemory(t *testing.T) {
	c := qt.New(t)
	s := platformtest.NewStore()
	s.SetPageSize(500)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = http.Serve(server, s) }() // ends with the listener
	c.Cleanup(func() { _ = server.Close() })

	routes := map[netip.AddrPort]string{}
	for i := range 9000 {
		routes[netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)] = "booking"
	}
	version := uint64(1)
	s.PutConfiguration(version, routes)
	for i := range 2300 { // no processes run beside these hosts
		s.PutTarget(fmt.Sprintf("i-%04d", i), "booking", "a", netip.MustParseAddrPort("127.100.0.1:9000"), 4, "ready")
	}
	var processes []*process
	for i := range 6 {
		address := fmt.Sprintf("127.3.2.%d", i+1)
		at := func(port int) string { return fmt.Sprint(address, ":", port) }
		settings := &schema.Settings{
			Name: fmt.Sprint("p", i), DataCentre: "a", Listen: at(exchangePort), StatusListen: at(8103),
			Platform: &schema.PlatformSettings{Url: "http://" + server.Addr().String()},
			Relay: &schema.RelaySettings{
				Trust: schema.ConfigurationTrust_CONFIGURATION_TRUST_STORE, PacketListen: at(packetPort), ReadyListen: at(readyPort),
				ExchangePort: exchangePort, StopGrace: durationpb.New(3 * time.Second), SeedHosts: []string{fmt.Sprint("127.3.2.1:", readyPort)},
			},
		}
		if i < 3 {
			settings.Role = &schema.Settings_Entry{Entry: &schema.EntrySettings{}}
		} else {
			settings.Role = &schema.Settings_Agent{Agent: &schema.AgentSettings{HostListen: at(outboundPort), HostAddress: at(9000)}}
			settings.Relay.Service = "booking"
			s.PutTarget(fmt.Sprint("agent-", i), "booking", "a", netip.MustParseAddrPort(at(9000)), 4, "ready")
		}
		processes = append(processes, newProcess(c, c.TempDir(), settings))
	}
	awaitVersion := func(limit time.Duration) {
		for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
			behind := ""
			for _, p := range processes {
				status, err := p.status()
				if err != nil || status.Store == nil || status.Store.ConfigurationVersion != version {
					behind = p.settings.GetName()
				}
			}
			if behind == "" {
				return
			}
			if time.Now().After(end) {
				c.Fatalf("%s does not have version %d after %v", behind, version, limit)
			}
		}
	}
	awaitVersion(20 * time.Second)

	frozen := []*process{processes[0], processes[3]}
	for _, p := range frozen {
		p.signal(syscall.SIGSTOP)
	}
	wake := time.Now().Add(4 * time.Second)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 20 {
		version++
		s.PutConfiguration(version, routes)
		if i%2 == 0 {
			s.Put(fmt.Sprint("servers/odd-", i), randomBytes(random, 1<<20))
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Until(wake))
	for _, p := range frozen {
		p.signal(syscall.SIGCONT)
	}
	version++
	s.PutConfiguration(version, routes)
	awaitVersion(5 * time.Second)
	for i, p := range processes {
		limit := entryMemory
		if i >= 3 {
			limit = agentMemory
		}
		peak := peakMemory(c, p)
		t.Logf("%s: peak %d MB", p.settings.GetName(), peak>>20)
		c.Check(peak <= limit, qt.IsTrue, qt.Commentf("%s: peak %d bytes, limit %d", p.settings.GetName(), peak, limit))
	}
}
