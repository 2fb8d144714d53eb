package flow

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// network is a seeded model of callers, entries, agents and hosts in virtual
// time. Violations of the promises are collected, not fixed up.
type network struct {
	now        int64
	rng        *rand.Rand
	events     eventHeap
	order      int
	parser     packet.Parser
	nodes      map[uint32]*node
	views      [2]*bundle.View // one for each entry
	hints      map[packet.Key]uint32
	callers    map[packet.Key]*caller
	lossy      bool
	stray      float64 // share of packets that an entry sends to a random target
	violations []string
	tracing    bool
	trace      []string
}

type timed struct {
	at    int64
	order int
	run   func()
}

type eventHeap []timed

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timed)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// node is one VM: an agent and its host.
type node struct {
	id, service uint32
	agent       *Agent
	view        *bundle.View
	counter     uint64
	starts      uint64
	paused      bool
	backlog     []func()
	side        int // nodes on different sides are partitioned
	conns       map[packet.Key]*conn
	hostStart   uint64
	hostUp      int64
}

// conn is a connection of a model host. The model does not check the
// acknowledgment number in the handshake, so that only the agent's rule keeps a
// request from a second host.
type conn struct {
	established    bool
	sndNxt, rcvNxt uint32
	una            uint32
	isn            uint32
	incarnation    uint32
}

type caller struct {
	key              packet.Key
	state            string // syn, open, refused, reset, closed
	isn, sndNxt, una uint32
	rcvNxt           uint32
	confirmed        bool // the host answered a request
	answered         int
	hosts            map[uint32]bool
	wanted           uint32 // bytes that the application wants to send
	incarnation      uint32
	dead             bool // the host of the flow is gone
	opened           int64
	timer            int
}

var serviceAddress = netip.MustParseAddrPort("198.51.100.1:443")

func callerAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port)
}

func agentAddress(id uint32) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 7000)
}

// testView has targets 1 to 4 in service 1 and 11, 12 in service 2.
func testView(sequence uint64, edit func(*schema.Bundle)) *bundle.View {
	b := &schema.Bundle{Sequence: sequence, HashKey: []byte("0123456789abcdef")}
	for s, ids := range [][]uint32{{1, 2, 3, 4}, {11, 12}} {
		m := &schema.Service{Id: uint32(s + 1), Name: fmt.Sprint("service", s+1)}
		ip := fmt.Sprint("198.51.100.", s+1)
		m.Addresses = append(m.Addresses,
			&schema.ServiceAddress{Ip: ip, Port: 443, Protocol: schema.Protocol_PROTOCOL_TCP},
			&schema.ServiceAddress{Ip: ip, Port: 53, Protocol: schema.Protocol_PROTOCOL_UDP})
		for _, id := range ids {
			m.Targets = append(m.Targets, &schema.Target{
				Id: id, DataCentre: "dc1", AgentAddress: agentAddress(id).String(), Slots: 4, MaxConnections: 200,
			})
		}
		b.Services = append(b.Services, m)
	}
	if edit != nil {
		edit(b)
	}
	v, err := bundle.NewView(b, bundle.Digest{byte(sequence)})
	if err != nil {
		panic(err)
	}
	return v
}

func newNetwork(seed uint64) *network {
	n := &network{
		now: int64(time.Hour), rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[uint32]*node{},
		hints: map[packet.Key]uint32{}, callers: map[packet.Key]*caller{},
	}
	v := testView(1, nil)
	n.views = [2]*bundle.View{v, v}
	for _, id := range []uint32{1, 2, 3, 4, 11, 12} {
		d := &node{id: id, service: 1 + id/10, view: v, conns: map[packet.Key]*conn{}, hostStart: 1, hostUp: n.now - int64(time.Hour)}
		n.nodes[id] = d
	}
	for _, id := range n.all() {
		n.restartAgent(n.nodes[id])
	}
	n.run(time.Second)
	return n
}

func (n *network) fail(format string, args ...any) {
	n.violations = append(n.violations, fmt.Sprintf("at %v: ", time.Duration(n.now))+fmt.Sprintf(format, args...))
}

func (n *network) logf(format string, args ...any) {
	if n.tracing {
		n.trace = append(n.trace, fmt.Sprintf("%v ", time.Duration(n.now))+fmt.Sprintf(format, args...))
	}
}

func (n *network) at(delay time.Duration, run func()) {
	n.order++
	heap.Push(&n.events, timed{n.now + int64(delay), n.order, run})
}

func (n *network) run(d time.Duration) {
	end := n.now + int64(d)
	for len(n.events) > 0 && n.events[0].at <= end {
		e := heap.Pop(&n.events).(timed)
		n.now = e.at
		e.run()
	}
	n.now = end
}

func (n *network) startAgent(d *node) {
	n.logf("agent %d starts", d.id)
	d.starts++
	d.counter = 0
	d.agent = New(Config{
		TargetID: d.id, AgentStartID: d.starts, Started: n.now, HashSeed: 7,
		Chooser: placement.NewChooser(placement.Config{}),
	})
	n.do(d, func(out *Actions) {
		d.agent.SetView(d.view, n.now, out)
		n.report(d, out)
	})
}

func (n *network) report(d *node, out *Actions) {
	d.agent.HostHealth(HostReport{StartID: d.hostStart, Uptime: time.Duration(n.now - d.hostUp)}, n.now, out)
}

func (n *network) tick(d *node, start uint64) {
	if d.starts != start {
		return
	}
	if !d.paused {
		n.do(d, func(out *Actions) { d.agent.Tick(n.now, out); n.report(d, out) })
	}
	n.at(50*time.Millisecond, func() { n.tick(d, start) })
}

// do runs one event of a node and carries out its actions.
func (n *network) do(d *node, event func(out *Actions)) {
	var out Actions
	event(&out)
	for _, b := range out.ToFabric {
		n.toCaller(b)
	}
	for i := range out.Forwards {
		f := out.Forwards[i]
		f.Header.SenderStartID, f.Header.BundleSequence = d.starts, d.view.Sequence
		f.Packet = slices.Clone(f.Packet)
		n.send(d, f.To, func(to *node) { n.receive(to, f.Packet, f.Header, agentAddress(d.id)) })
	}
	for _, c := range out.Controls {
		m := proto.Clone(c.Message).(*schema.Control)
		d.counter++
		m.SenderStartId, m.Counter, m.SenderTargetId, m.BundleSequence = d.starts, d.counter, d.id, d.view.Sequence
		if h := m.GetOwnerHint(); h != nil {
			if k, err := packet.KeyFromBinary(h.GetFlowKey()); err == nil {
				n.hints[k] = h.GetOwnerTargetId() // 0 removes the entry's cache entry
			}
			continue
		}
		n.send(d, c.To, func(to *node) {
			if m.GetHeartbeat() == nil {
				n.logf("agent %d gets control from %d: %v", to.id, d.id, m.GetBody())
			}
			n.do(to, func(out *Actions) { to.agent.Control(m, agentAddress(d.id), n.now, out) })
		})
	}
	for _, b := range out.ToHost {
		n.toHost(d, slices.Clone(b))
	}
}

// send delivers a datagram between nodes, unless the network loses it.
func (n *network) send(from *node, to netip.AddrPort, deliver func(*node)) {
	target := n.nodes[uint32(to.Addr().As4()[3])]
	if target == nil {
		return
	}
	copies := 1
	if n.lossy {
		copies = []int{0, 1, 1, 1, 2}[n.rng.IntN(5)]
	}
	for range copies {
		n.at(time.Duration(1+n.rng.IntN(5))*time.Millisecond, func() {
			if from == nil || from.side == target.side {
				n.arrive(target, func() { deliver(target) })
			}
		})
	}
}

func (n *network) arrive(d *node, run func()) {
	if d.agent == nil {
		return
	}
	if d.paused {
		d.backlog = append(d.backlog, run)
		return
	}
	run()
}

// resume wakes a node late; its queued datagrams come before its first tick.
func (n *network) resume(d *node) {
	d.paused = false
	backlog := d.backlog
	d.backlog = nil
	for _, run := range backlog {
		run()
	}
}

func (n *network) receive(d *node, data []byte, h wire.Forward, from netip.AddrPort) {
	var p packet.Packet
	if err := n.parser.Parse(data, &p); err != nil {
		n.fail("malformed packet: %v", err)
		return
	}
	n.logf("agent %d gets %v flags %x seq %d ack %d from target %d", d.id, p.Key, p.Flags, p.Seq, p.Ack, h.SenderTargetID)
	n.do(d, func(out *Actions) { d.agent.FromPeer(&p, &h, from, n.now, out) })
}

// setView puts a view in force at some nodes and entries.
func (n *network) setView(v *bundle.View, entries []int, ids ...uint32) {
	for _, e := range entries {
		n.views[e] = v
	}
	for _, id := range ids {
		d := n.nodes[id]
		if d.agent == nil || d.paused || v.Sequence <= d.view.Sequence {
			continue
		}
		n.logf("node %d has view %d", d.id, v.Sequence)
		d.view = v
		n.do(d, func(out *Actions) { d.agent.SetView(v, n.now, out) })
	}
}

func (n *network) restartAgent(d *node) {
	d.paused, d.backlog = false, nil
	n.startAgent(d)
	n.tick(d, d.starts)
}

// restartHost ends the host's connections.
func (n *network) restartHost(d *node) {
	for k := range d.conns {
		if c := n.callers[k]; c != nil && c.hosts[d.id] {
			c.dead = true
		}
	}
	d.conns = map[packet.Key]*conn{}
	d.hostStart++
	d.hostUp = n.now
}

func (n *network) all() []uint32 { return []uint32{1, 2, 3, 4, 11, 12} }
