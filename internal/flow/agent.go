package flow

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// Config holds the settings of an agent that do not change while it runs.
type Config struct {
	TargetID uint32
	// AgentStartID identifies this start of the process, HostStartID the start of
	// the host; 0 when the latter is not known.
	AgentStartID, HostStartID uint64
	// Started is the monotonic time in nanoseconds at which the agent started.
	Started int64
	// HashSeed keys the hash that spreads flows over shards.
	HashSeed uint64
	// MaxConnections limits established flows until a view sets the limit of the
	// target; 0 means DefaultMaxConnections.
	MaxConnections int
	// Chooser decides where openings are placed; the agent reports its flows to it.
	Chooser *placement.Chooser
}

// DefaultMaxConnections is the connection limit of a target without a bundle.
const DefaultMaxConnections = 2000

const (
	// halfOpenDivisor: the limit of half-open flows is the connection limit divided
	// by this.
	halfOpenDivisor = 4
	// minHalfOpen lets a target with a small connection limit accept bursts.
	minHalfOpen = 16
	sweepPeriod = 250 * time.Millisecond
	// refreshTimeout bounds the refresh after a late wake-up.
	refreshTimeout = time.Second
)

// Agent decides what happens to the packets of one target. Its methods are safe
// for concurrent use.
type Agent struct {
	cfg      Config
	Counters Counters

	view    atomic.Pointer[bundle.View]
	service atomic.Uint32
	// learning is true while the host may have connections that this process has
	// not seen. It becomes false when the host starts after the process.
	learning            atomic.Bool
	lastTick            atomic.Int64
	refreshUntil        atomic.Int64
	connectionLimit     atomic.Int64
	openFlows, halfOpen atomic.Int64
	// registrationEpoch changes when the registrars of flows may change; the sweep
	// then registers every open flow again.
	registrationEpoch atomic.Uint64
	failureTimeout    atomic.Int64
	draining          atomic.Bool

	shards [shardCount]shard

	mu                   sync.Mutex
	peers                map[uint32]*peer
	queries              map[packet.Key]*query
	hostProbes           map[packet.Key]*hostProbe
	heldCount            int
	queuedOpenings       []queuedOpening
	flowsPerSource       sourceCounts
	pendingRegistrations []pendingRegistration
	lastFlush            int64
	queryLimiter         tokenBucket
	hintLimiter          tokenBucket
	removedAt            map[uint32]int64
	formerTargets        map[uint32]formerTarget
	missingVMs           map[uint32]bool
	hostReport           HostReport
	hostReportTime       int64
	hostStartID          uint64
	drainReasons         drainReason
	// hostFailingSince is when the health endpoint began to fail; 0 when it answers.
	hostFailingSince int64
	stopping         bool
	stopDeadline     int64
	lastSweep        int64
	lastHeartbeat    int64
	lastPull         int64
	pullsSent        int
}

// New returns an agent without a view. Until it gets one, it places no openings
// and serves only flows that its host is found to have.
func New(cfg Config) *Agent {
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	a := &Agent{
		cfg: cfg, peers: map[uint32]*peer{}, queries: map[packet.Key]*query{},
		hostProbes: map[packet.Key]*hostProbe{}, flowsPerSource: sourceCounts{},
		removedAt: map[uint32]int64{}, formerTargets: map[uint32]formerTarget{}, missingVMs: map[uint32]bool{}, hostStartID: cfg.HostStartID,
		queryLimiter: tokenBucket{rate: queriesPerSecond, burst: queriesPerSecond, tokens: queriesPerSecond},
		hintLimiter:  tokenBucket{rate: hintsPerSecond, burst: hintBurst, tokens: hintBurst},
	}
	for i := range a.shards {
		a.shards[i].init()
	}
	a.learning.Store(true)
	a.connectionLimit.Store(int64(cfg.MaxConnections))
	a.failureTimeout.Store(int64(bundle.DefaultFailureTimeout))
	a.lastTick.Store(cfg.Started)
	return a
}

// event is a packet from an entry or another agent with its context.
type event struct {
	packet *packet.Packet
	header *wire.ForwardHeader
	from   netip.AddrPort
	// deadline is that of a queued opening; 0 for a packet that was not queued.
	deadline int64
	now      int64
	// otherConnection is true when a record has the packet's flow key but the
	// packet belongs to another connection.
	otherConnection bool
}

func (e *event) hasFlag(f schema.ForwardFlag) bool { return e.header.Flags&uint32(f) != 0 }

// FromPeer handles a packet that an entry (sender target id 0) or another agent
// sent. It does not retain the packet.
func (a *Agent) FromPeer(p *packet.Packet, h *wire.ForwardHeader, from netip.AddrPort, now int64, out *Actions) {
	e := event{packet: p, header: h, from: from, now: now}
	if h.SenderTargetID != 0 {
		a.observeSender(h, now)
	} else if e.hasFlag(schema.ForwardFlag_FORWARD_FLAG_PROBE) {
		a.answerProbe(from, now, out)
	}
	if h.HopLimit == 0 {
		a.Counters.add(DropHopLimit)
		return
	}
	a.handle(&e, out)
}

func (a *Agent) handle(e *event, out *Actions) {
	verdict := a.applyToRecord(e.packet, e.now)
	e.otherConnection = verdict == otherConnection
	switch verdict {
	case deliver:
		a.sendToHost(e.packet.Data, out)
	case deliverOpening:
		// An opening may start a new connection, so that the exception of rule R1
		// for owned flows does not apply to it.
		if !a.serves(&e.packet.Key) {
			a.Counters.add(DropOtherService)
			return
		}
		a.deliverOpening(e.packet, out)
	case otherConnection:
		a.withdrawRegistrations(e, out)
		a.handleUnowned(e, out)
	case replyReset:
		a.replyWithReset(e.packet, "the opening expired or the drain deadline passed", out)
	case unanswered:
		a.placeAtAnotherTarget(e, out)
	case dropNoACK:
		a.Counters.add(DropNoACK)
	case dropLate:
		a.Counters.add(DropLate)
	default:
		a.handleUnowned(e, out)
	}
}

// serves reports whether the destination address belongs to the service of this
// target in the newest view (rule R1).
func (a *Agent) serves(k *packet.Key) bool {
	view := a.view.Load()
	if view == nil {
		return false
	}
	address := view.Lookup(k)
	return address != nil && address.Service.ID == a.service.Load()
}

// applyToRecord applies the packet to the flow's record, if there is one.
func (a *Agent) applyToRecord(p *packet.Packet, now int64) verdict {
	s := a.shard(&p.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.flows[p.Key]
	if r == nil {
		return unknown
	}
	before := r.state
	verdict := r.applyClientPacket(p, now)
	a.updateAfterPacket(s, r, before, now)
	if verdict == dropLate && s.activeRegistration(&p.Key, now) != nil {
		// The client reused the addresses and ports for a connection to another
		// target.
		return otherConnection
	}
	return verdict
}

func (a *Agent) sendToHost(data []byte, out *Actions) {
	a.Counters.add(Delivered)
	out.ToHost = append(out.ToHost, data)
}

func (a *Agent) deliverOpening(p *packet.Packet, out *Actions) {
	data, err := stripPayload(p)
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	a.sendToHost(data, out)
}

// handleUnowned handles a packet of a flow that this target is not known to own.
func (a *Agent) handleUnowned(e *event, out *Actions) {
	view := a.view.Load()
	if view == nil {
		a.Counters.add(DropNoView)
		return
	}
	address := view.Lookup(&e.packet.Key)
	if address == nil || address.Service.ID != a.service.Load() {
		if !a.learning.Load() || !hasAck(e.packet) || e.otherConnection {
			a.Counters.add(DropOtherService)
			a.sendNoOwnerHint(e, out)
			return
		}
		// Only the host can show that the flow was opened here under an earlier
		// view; the probe carries no data of the packet.
		a.queryOwner(e, nil, out)
		return
	}
	if a.forwardByRegistration(e, out) {
		return
	}
	if !e.packet.IsOpening() && !mayBelongToFlow(e.packet) {
		a.Counters.add(DropNoACK)
		return
	}
	opening := e.packet.IsOpening() || e.packet.Key.Protocol == packet.ProtocolUDP
	if opening && !e.packet.ICMP {
		a.place(e, view, address, out)
		return
	}
	a.queryOwner(e, view, out)
}

// mayBelongToFlow reports whether a packet that is no opening can belong to a flow:
// after the handshake every TCP segment except a reset has ACK (RFC 9293).
func mayBelongToFlow(p *packet.Packet) bool {
	if p.ICMP || p.Key.Protocol != packet.ProtocolTCP || p.Flags&packet.FlagRST != 0 {
		return true
	}
	return p.Flags&(packet.FlagACK|packet.FlagSYN) == packet.FlagACK
}

// FromHost handles a packet that the host sent from a service address.
func (a *Agent) FromHost(p *packet.Packet, now int64, out *Actions) {
	key := p.Key.Reverse()
	if p.Flags&packet.FlagRST != 0 && a.hostProbePending(&key) {
		// The reset answers a host probe that was sent before an opening of the
		// same flow was accepted; it must not reach the client.
		a.handleUnknownReturn(p, &key, now, out)
		return
	}
	s := a.shard(&key)
	s.mu.Lock()
	r := s.flows[key]
	if r == nil {
		s.mu.Unlock()
		a.handleUnknownReturn(p, &key, now, out)
		return
	}
	before := r.state
	forwardToClient := r.applyHostPacket(p, now)
	a.updateAfterPacket(s, r, before, now)
	s.mu.Unlock()
	if !forwardToClient {
		a.Counters.add(DropReturn)
		return
	}
	a.Counters.add(Returned)
	out.ToFabric = append(out.ToFabric, p.Data)
}
