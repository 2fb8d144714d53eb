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

// network is a seeded simulation of clients, entries, agents and hosts in virtual
// time. It collects violations of the guarantees.
type network struct {
	now          int64
	rng          *rand.Rand
	events       eventHeap
	eventCount   int
	parser       packet.Parser
	nodes        map[uint32]*node
	views        [2]*bundle.View // one for each entry
	hints        map[packet.Key]uint32
	clients      map[packet.Key]*client
	lossy        bool
	misrouteRate float64 // share of packets that entries send to a random target
	violations   []string
	tracing      bool
	trace        []string
}

type scheduledEvent struct {
	at       int64
	sequence int
	run      func()
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// node is one VM: an agent and its host.
type node struct {
	id, service     uint32
	agent           *Agent
	view            *bundle.View
	counter         uint64
	starts          uint64
	paused          bool
	queuedDatagrams []func()
	partition       int // nodes with different values cannot reach each other
	conns           map[packet.Key]*conn
	hostStartID     uint64
	hostStarted     int64
}

// conn is a connection of a simulated host. The host does not check the
// acknowledgment number in the handshake, so that only the agent's ISN rule keeps a
// request from reaching a second host.
type conn struct {
	established    bool
	sndNxt, rcvNxt uint32
	sndUna         uint32
	isn            uint32
	incarnation    uint32
}

type client struct {
	key                 packet.Key
	state               string // syn, open, refused, reset, closed
	isn, sndNxt, sndUna uint32
	rcvNxt              uint32
	answerReceived      bool // the host answered a request
	answered            int
	hosts               map[uint32]bool
	pendingBytes        uint32 // request bytes that the host has not acknowledged
	incarnation         uint32
	lostAtHost          bool // the host restarted and lost the connection
	openedAt            int64
	timer               int
}

var serviceAddress = netip.MustParseAddrPort("198.51.100.1:443")

func clientAddress(port uint16) netip.AddrPort {
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
		hints: map[packet.Key]uint32{}, clients: map[packet.Key]*client{},
	}
	v := testView(1, nil)
	n.views = [2]*bundle.View{v, v}
	for _, id := range []uint32{1, 2, 3, 4, 11, 12} {
		d := &node{id: id, service: 1 + id/10, view: v, conns: map[packet.Key]*conn{}, hostStartID: 1, hostStarted: n.now - int64(time.Hour)}
		n.nodes[id] = d
	}
	for _, id := range n.nodeIDs() {
		n.restartAgent(n.nodes[id])
	}
	n.run(time.Second)
	return n
}

func (n *network) violation(format string, args ...any) {
	n.violations = append(n.violations, fmt.Sprintf("at %v: ", time.Duration(n.now))+fmt.Sprintf(format, args...))
}

func (n *network) logf(format string, args ...any) {
	if n.tracing {
		n.trace = append(n.trace, fmt.Sprintf("%v ", time.Duration(n.now))+fmt.Sprintf(format, args...))
	}
}

func (n *network) schedule(delay time.Duration, run func()) {
	n.eventCount++
	heap.Push(&n.events, scheduledEvent{n.now + int64(delay), n.eventCount, run})
}

func (n *network) run(d time.Duration) {
	end := n.now + int64(d)
	for len(n.events) > 0 && n.events[0].at <= end {
		e := heap.Pop(&n.events).(scheduledEvent)
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
	n.dispatch(d, func(out *Actions) {
		d.agent.SetView(d.view, n.now, out)
		n.reportHealth(d, out)
	})
}

func (n *network) reportHealth(d *node, out *Actions) {
	d.agent.ApplyHostReport(HostReport{StartID: d.hostStartID, Uptime: time.Duration(n.now - d.hostStarted)}, n.now, out)
}

func (n *network) tick(d *node, start uint64) {
	if d.starts != start {
		return
	}
	if !d.paused {
		n.dispatch(d, func(out *Actions) { d.agent.Tick(n.now, out); n.reportHealth(d, out) })
	}
	n.schedule(50*time.Millisecond, func() { n.tick(d, start) })
}

// dispatch runs one event of a node and carries out the returned actions.
func (n *network) dispatch(d *node, event func(out *Actions)) {
	var out Actions
	event(&out)
	for _, b := range out.ToFabric {
		n.deliverToClient(b)
	}
	for i := range out.Forwards {
		f := out.Forwards[i]
		f.Header.SenderStartID, f.Header.BundleSequence = d.starts, d.view.Sequence
		f.Packet = slices.Clone(f.Packet)
		n.send(d, f.To, func(to *node) { n.receiveForward(to, f.Packet, f.Header, agentAddress(d.id)) })
	}
	for _, c := range out.Controls {
		m := proto.Clone(c.Message).(*schema.Control)
		d.counter++
		m.SenderStartId, m.Counter, m.SenderTargetId, m.BundleSequence = d.starts, d.counter, d.id, d.view.Sequence
		if h := m.GetOwnerHint(); h != nil {
			if k, err := packet.KeyFromBinary(h.GetFlowKey()); err == nil {
				n.hints[k] = h.GetOwnerTargetId() // 0 removes the cache entry
			}
			continue
		}
		n.send(d, c.To, func(to *node) {
			if m.GetHeartbeat() == nil {
				n.logf("agent %d receives control from %d: %v", to.id, d.id, m.GetBody())
			}
			n.dispatch(to, func(out *Actions) { to.agent.Control(m, agentAddress(d.id), n.now, out) })
		})
	}
	for _, b := range out.ToHost {
		n.deliverToHost(d, slices.Clone(b))
	}
}

// send delivers a datagram to a node, unless the network loses it. A lossy network
// may also duplicate it. A nil sender stands for an entry.
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
		n.schedule(time.Duration(1+n.rng.IntN(5))*time.Millisecond, func() {
			if from == nil || from.partition == target.partition {
				n.deliver(target, func() { deliver(target) })
			}
		})
	}
}

func (n *network) deliver(d *node, run func()) {
	if d.agent == nil {
		return
	}
	if d.paused {
		d.queuedDatagrams = append(d.queuedDatagrams, run)
		return
	}
	run()
}

// resume ends the pause of a node; its queued datagrams are handled before its
// first tick.
func (n *network) resume(d *node) {
	d.paused = false
	queued := d.queuedDatagrams
	d.queuedDatagrams = nil
	for _, run := range queued {
		run()
	}
}

func (n *network) receiveForward(d *node, data []byte, h wire.ForwardHeader, from netip.AddrPort) {
	var p packet.Packet
	if err := n.parser.Parse(data, &p); err != nil {
		n.violation("malformed packet: %v", err)
		return
	}
	n.logf("agent %d receives %v flags %x seq %d ack %d from target %d", d.id, p.Key, p.Flags, p.Seq, p.Ack, h.SenderTargetID)
	n.dispatch(d, func(out *Actions) { d.agent.FromPeer(&p, &h, from, n.now, out) })
}

// setView gives a view to some nodes and entries.
func (n *network) setView(v *bundle.View, entries []int, ids ...uint32) {
	for _, e := range entries {
		n.views[e] = v
	}
	for _, id := range ids {
		d := n.nodes[id]
		if d.agent == nil || d.paused || v.Sequence <= d.view.Sequence {
			continue
		}
		n.logf("node %d switches to view %d", d.id, v.Sequence)
		d.view = v
		n.dispatch(d, func(out *Actions) { d.agent.SetView(v, n.now, out) })
	}
}

func (n *network) restartAgent(d *node) {
	d.paused, d.queuedDatagrams = false, nil
	n.startAgent(d)
	n.tick(d, d.starts)
}

// restartHost restarts the host of a node, which loses all connections.
func (n *network) restartHost(d *node) {
	for k := range d.conns {
		if c := n.clients[k]; c != nil && c.hosts[d.id] {
			c.lostAtHost = true
		}
	}
	d.conns = map[packet.Key]*conn{}
	d.hostStartID++
	d.hostStarted = n.now
}

func (n *network) nodeIDs() []uint32 { return []uint32{1, 2, 3, 4, 11, 12} }
