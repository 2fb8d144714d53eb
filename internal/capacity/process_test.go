package capacity

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/standin"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// maxResidentBytes is the memory limit of a process (docs/design.md, section 13).
const maxResidentBytes = 64_000_000

const clockTick = 10 * time.Millisecond // USER_HZ of Linux is 100

// cpuTime returns the CPU time used by a process. A pid of 0 means this process.
func cpuTime(tb testing.TB, pid int) time.Duration {
	name := "self"
	if pid != 0 {
		name = strconv.Itoa(pid)
	}
	data, err := os.ReadFile("/proc/" + name + "/stat")
	qt.Assert(tb, err, qt.IsNil)
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+2:]))
	var ticks int
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		qt.Assert(tb, err, qt.IsNil)
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// residentMemory returns the current and the peak resident memory in bytes.
func residentMemory(tb testing.TB, pid int) (now, peak int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	qt.Assert(tb, err, qt.IsNil)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kib, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = kib * 1024
		case "VmHWM:":
			peak = kib * 1024
		}
	}
	qt.Assert(tb, now > 0 && peak > 0, qt.IsTrue)
	return now, peak
}

// process is a running heathergw process and the means to communicate with it.
type process struct {
	pid      int
	settings *schema.Settings
	listen   netip.AddrPort
	socket   *wire.Socket
	keys     *wire.Keyring
	counter  uint64
}

func freeAddress(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startProcess builds and runs the binary in the role of s, with a bundle and a VM
// list of the design size on a simulated platform, and waits until the process
// uses the bundle.
func startProcess(c *qt.C, s *schema.Settings, peers int) *process {
	dir := c.TempDir()
	binary := filepath.Join(dir, "heathergw")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/heathergw").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", output))
	s.Name, s.DataCentre, s.Region = "subject", "dc-0", "region-0"
	s.Listen, s.StatusListen = freeAddress(c), freeAddress(c)
	platform, err := standin.NewPlatform()
	c.Assert(err, qt.IsNil)
	c.Cleanup(platform.Close)
	document := withSubject(designBundle(designTargets, designAddresses), s.Listen, peers)
	platform.Set("bundle", signBundle(c, document, nil).Bytes())
	platform.Set("vms", designVMList())
	s.Platform = &schema.PlatformSettings{Url: platform.URL(), BundleKey: "bundle", VmListKey: "vms"}
	s.BundlePublicKeys = []string{base64.StdEncoding.EncodeToString(signingKey.Public().(ed25519.PublicKey))}
	s.FleetKeys = []string{base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{9}, 16))}
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(s)
	c.Assert(err, qt.IsNil)
	config := filepath.Join(dir, "settings.jsonc")
	c.Assert(os.WriteFile(config, data, 0o600), qt.IsNil)
	role := "entry"
	if s.GetAgent() != nil {
		role = "agent"
	}
	command := exec.Command(binary, role, "--config", config)
	// The kernel kills the process when this test binary is killed. The signal is
	// sent when the thread that started the process exits, so the goroutine is
	// locked to its thread to keep the thread alive.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	runtime.LockOSThread()
	c.Cleanup(runtime.UnlockOSThread)
	c.Assert(command.Start(), qt.IsNil)
	c.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	socket, err := wire.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = socket.Close() })
	p := &process{pid: command.Process.Pid, settings: s, listen: netip.MustParseAddrPort(s.Listen), socket: socket, keys: newKeyring(c)}
	p.awaitStatus(c, func(s node.Status) bool { return s.Ready && s.Sequence == 1 })
	return p
}

func (p *process) awaitStatus(c *qt.C, done func(node.Status) bool) {
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		var s node.Status
		response, err := http.Get("http://" + p.settings.GetStatusListen() + "/status")
		if err == nil {
			err = json.NewDecoder(response.Body).Decode(&s)
			_ = response.Body.Close()
		}
		if err == nil && done(s) {
			return
		}
		if time.Now().After(deadline) {
			c.Fatalf("status not reached after 20 s: ready %v, sequence %d, error %v", s.Ready, s.Sequence, err)
		}
	}
}

// counterSum returns the sum of the named counter over all tags.
func (p *process) counterSum(c *qt.C, name string) int {
	response, err := http.Get("http://" + p.settings.GetStatusListen() + "/metrics")
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	var b bytes.Buffer
	_, err = b.ReadFrom(response.Body)
	c.Assert(err, qt.IsNil)
	sum := 0.0
	for line := range strings.Lines(b.String()) {
		if strings.HasPrefix(line, name) {
			value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:len(line)-1], 64)
			c.Assert(err, qt.IsNil)
			sum += value
		}
	}
	return int(sum)
}

func (p *process) sendControl(c *qt.C, m *schema.Control, startID uint64) {
	p.counter++
	m.SenderStartId, m.Counter, m.BundleSequence = startID, p.counter, 1
	datagram, err := p.keys.SealControl(m)
	c.Assert(err, qt.IsNil)
	c.Assert(p.socket.WriteTo(datagram, p.listen), qt.IsNil)
}

// Guards against an entry whose cache, bundle and buffers together exceed the
// memory limit of the design. The cache is filled by owner hints.
func TestEntryResidentMemory(t *testing.T) {
	for _, flows := range []int{1 << 17, 1 << 18} {
		c := qt.New(t)
		p := startProcess(c, &schema.Settings{Role: &schema.Settings_Entry{
			Entry: &schema.EntrySettings{FabricListen: freeAddress(c), CacheFlows: uint32(flows)}}}, 0)
		empty, _ := residentMemory(c, p.pid)
		for i := range flows {
			p.sendControl(c, &schema.Control{Body: &schema.Control_OwnerHint{OwnerHint: &schema.OwnerHint{
				FlowKey: binaryFlowKey(i), OwnerTargetId: uint32(1 + i%designTargets)}}}, 5)
			if i%64 == 63 {
				time.Sleep(time.Millisecond) // avoid overflowing the socket buffer
			}
		}
		time.Sleep(2 * time.Second) // metrics are reported once a second
		now, peak := residentMemory(c, p.pid)
		accepted := p.counterSum(c, "heathergw_entry_owner_hints")
		c.Logf("cache of %d flows: %d B at start, %d B filled, peak %d B; %d hints accepted", flows, empty, now, peak, accepted)
		// An empty cache would stay below any limit.
		c.Check(accepted > flows*9/10, qt.IsTrue, qt.Commentf("%d of %d hints accepted", accepted, flows))
		c.Check(peak < maxResidentBytes, qt.IsTrue, qt.Commentf("peak %d B", peak))
	}
}

// Guards against an agent whose flows, bundle and buffers together exceed the
// memory limit. Nine peers report that they are draining, so that the agent
// accepts all flows.
func TestAgentResidentMemory(t *testing.T) {
	c := qt.New(t)
	const flows = 2000
	host, err := wire.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = host.Close() }()
	p := startProcess(c, &schema.Settings{Role: &schema.Settings_Agent{Agent: &schema.AgentSettings{
		TargetId: subjectTarget, HostListen: freeAddress(c), HostAddress: host.Address().String(), FabricAddress: "127.0.0.1:9",
	}}}, subjectPeers)
	empty, _ := residentMemory(c, p.pid)
	p.sendHeartbeats(c, 3*time.Second)
	for i := range flows {
		p.openFlow(c, host, i)
	}
	p.sendHeartbeats(c, 2*time.Second)
	cpu, sent := cpuTime(c, p.pid), p.counterSum(c, "heathergw_control_sent_bytes")
	const window = 30 * time.Second
	p.sendHeartbeats(c, window)
	cpu, sent = cpuTime(c, p.pid)-cpu, p.counterSum(c, "heathergw_control_sent_bytes")-sent
	now, peak := residentMemory(c, p.pid)
	c.Logf("%d flows: %d B at start, %d B filled, peak %d B; no traffic, %d peers: %.2f%% of a core, %.0f B/s of control datagrams sent (without IP and UDP headers)",
		flows, empty, now, peak, subjectPeers, 100*cpu.Seconds()/window.Seconds(), float64(sent)/window.Seconds())
	c.Check(peak < maxResidentBytes, qt.IsTrue, qt.Commentf("peak %d B", peak))
}

// sendHeartbeats sends heartbeats of the draining peers for the given duration.
func (p *process) sendHeartbeats(c *qt.C, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for i := range subjectPeers {
			p.sendControl(c, &schema.Control{SenderTargetId: uint32(subjectTarget + 1 + i), Body: &schema.Control_Heartbeat{
				Heartbeat: &schema.Heartbeat{ServiceId: subjectService, HostStartId: 1,
					Load: &schema.TargetLoad{EffectiveSlots: 8000, Draining: true}}}}, uint64(100+i))
		}
	}
}

// openFlow performs the handshake of the i-th flow, as both client and host.
func (p *process) openFlow(c *qt.C, host *wire.Socket, i int) {
	k := flowKey(i)
	p.sendForward(c, packet.TCPSegment{Key: k, Flags: packet.FlagSYN, Seq: 100})
	batch := wire.NewReadBatch(1)
	_, err := host.ReadBatch(batch)
	c.Assert(err, qt.IsNil)
	answer, err := packet.BuildTCP(packet.TCPSegment{Key: k.Reverse(), Flags: packet.FlagSYN | packet.FlagACK, Seq: 500, Ack: 101})
	c.Assert(err, qt.IsNil)
	c.Assert(host.WriteTo(wire.AppendGRE(nil, answer), netip.MustParseAddrPort(p.settings.GetAgent().GetHostListen())), qt.IsNil)
	time.Sleep(time.Millisecond) // the SYN-ACK must arrive first; it goes to a different socket than the ACK
	p.sendForward(c, packet.TCPSegment{Key: k, Flags: packet.FlagACK, Seq: 101, Ack: 501})
	_, err = host.ReadBatch(batch)
	c.Assert(err, qt.IsNil)
}

func (p *process) sendForward(c *qt.C, s packet.TCPSegment) {
	inner, err := packet.BuildTCP(s)
	c.Assert(err, qt.IsNil)
	h := wire.ForwardHeader{ServiceID: subjectService, BundleSequence: 1, HopLimit: wire.MaxHops, SenderStartID: 5}
	c.Assert(p.socket.WriteTo(p.keys.Seal(h.Append(wire.BeginDatagram(nil, wire.KindForward)), inner), p.listen), qt.IsNil)
}
