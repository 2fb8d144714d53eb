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

// Config holds the fixed inputs of an agent.
type Config struct {
	TargetID uint32
	// AgentStartID identifies this start of the process; HostStartID the start
	// of the host as far as it is known, else 0.
	AgentStartID, HostStartID uint64
	// Started is the monotonic time in nanoseconds at which the agent started.
	Started int64
	// HashSeed keys the hash that spreads flows over shards.
	HashSeed uint64
	// MaxConnections bounds established flows until a view names the bound of
	// the target; 0 means DefaultMaxConnections.
	MaxConnections int
	// Chooser places openings; the agent reports its flows to it.
	Chooser *placement.Chooser
}

// DefaultMaxConnections bounds the flows of a target without a bundle.
const DefaultMaxConnections = 2000

const (
	// halfOpenShare is the part of the table that half-open claims may use.
	halfOpenShare = 4
	// minHalfOpen lets a target with a small connection limit take bursts.
	minHalfOpen = 16
	sweepPeriod = 250 * time.Millisecond
	// refreshTime bounds the refresh after a late wake-up.
	refreshTime = time.Second
)

// Agent decides for the packets of one target. Its methods are safe for
// concurrent use.
type Agent struct {
	cfg      Config
	Counters Counters

	view    atomic.Pointer[bundle.View]
	service atomic.Uint32
	// learning is true while the host may have connections that this process
	// has not seen, that is, unless the host started after the process.
	learning     atomic.Bool
	lastTick     atomic.Int64
	refreshUntil atomic.Int64
	// limit is the target's connection limit.
	limit               atomic.Int64
	openFlows, halfOpen atomic.Int64
	epoch               atomic.Uint64
	failureTimeout      atomic.Int64
	draining            atomic.Bool

	shards [shardCount]shard

	mu           sync.Mutex
	peers        map[uint32]*peer
	queries      map[packet.Key]*query
	hostAsks     map[packet.Key]*hostAsk
	held         int
	waiting      []waitingOpening
	sources      sources
	pending      []pendingRegistration
	lastFlush    int64
	queryBudget  budget
	hintBudget   budget
	left         map[uint32]int64
	former       map[uint32]formerTarget
	gone         map[uint32]bool
	host         HostReport
	hostSeen     int64
	hostStartID  uint64
	drainReasons drainReason
	// hostFailed is when the health endpoint began to fail; 0 when it answers.
	hostFailed    int64
	stopping      bool
	stopBy        int64
	lastSweep     int64
	lastHeartbeat int64
	lastPull      int64
	pulls         int
}

// New returns an agent without a view: it places nothing and serves only
// flows that its host reveals.
func New(cfg Config) *Agent {
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	a := &Agent{
		cfg: cfg, peers: map[uint32]*peer{}, queries: map[packet.Key]*query{},
		hostAsks: map[packet.Key]*hostAsk{}, sources: sources{},
		left: map[uint32]int64{}, former: map[uint32]formerTarget{}, gone: map[uint32]bool{}, hostStartID: cfg.HostStartID,
		queryBudget: budget{rate: queriesPerSecond, burst: queriesPerSecond, tokens: queriesPerSecond},
		hintBudget:  budget{rate: hintsPerSecond, burst: hintBurst, tokens: hintBurst},
	}
	for i := range a.shards {
		a.shards[i].init()
	}
	a.learning.Store(true)
	a.limit.Store(int64(cfg.MaxConnections))
	a.failureTimeout.Store(int64(bundle.DefaultFailureTimeout))
	a.lastTick.Store(cfg.Started)
	return a
}

// event is what a packet from a peer came with.
type event struct {
	packet *packet.Packet
	header *wire.Forward
	from   netip.AddrPort
	// deadline of a queued opening; 0 for one that was not queued.
	deadline int64
	now      int64
	// foreign is true when the flow has a record here that the packet does
	// not belong to.
	foreign bool
}

func (e *event) hasFlag(f schema.ForwardFlag) bool { return e.header.Flags&uint32(f) != 0 }

// FromPeer handles a packet that an entry (sender target id 0) or another agent
// sent. The packet is not kept.
func (a *Agent) FromPeer(p *packet.Packet, h *wire.Forward, from netip.AddrPort, now int64, out *Actions) {
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
	v := a.apply(e.packet, e.now)
	e.foreign = v == foreign
	switch v {
	case deliver:
		a.toHost(e.packet.Data, out)
	case deliverOpening:
		// An opening may begin a new connection, so that the exception of R1
		// for owned flows does not hold for it.
		if !a.serves(&e.packet.Key) {
			a.Counters.add(DropOtherService)
			return
		}
		a.deliverOpening(e.packet, out)
	case foreign:
		a.withdraw(e, out)
		a.unowned(e, out)
	case answerReset:
		a.resetCaller(e.packet, "the opening expired or the drain deadline passed", out)
	case unanswered:
		a.placeAgain(e, out)
	case discardNoACK:
		a.Counters.add(DropNoACK)
	case discardLate:
		a.Counters.add(DropLate)
	default:
		a.unowned(e, out)
	}
}

// serves reports whether the newest view gives the address to the service of
// this target (R1).
func (a *Agent) serves(k *packet.Key) bool {
	view := a.view.Load()
	if view == nil {
		return false
	}
	address := view.Lookup(k)
	return address != nil && address.Service.ID == a.service.Load()
}

// apply runs the packet against the flow's record, if there is one.
func (a *Agent) apply(p *packet.Packet, now int64) verdict {
	s := a.shard(&p.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.flows[p.Key]
	if r == nil {
		return unknown
	}
	before := r.state
	v := r.fromCaller(p, now)
	a.settle(s, r, before, now)
	if v == discardLate && s.registered(&p.Key, now) != nil {
		// The addresses and ports are in use again at another target.
		return foreign
	}
	return v
}

func (a *Agent) toHost(data []byte, out *Actions) {
	a.Counters.add(Delivered)
	out.ToHost = append(out.ToHost, data)
}

func (a *Agent) deliverOpening(p *packet.Packet, out *Actions) {
	data, err := stripPayload(p)
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	a.toHost(data, out)
}

// unowned handles a packet of a flow that this target does not own.
func (a *Agent) unowned(e *event, out *Actions) {
	view := a.view.Load()
	if view == nil {
		a.Counters.add(DropNoView)
		return
	}
	address := view.Lookup(&e.packet.Key)
	if address == nil || address.Service.ID != a.service.Load() {
		if !a.learning.Load() || !hasAck(e.packet) || e.foreign {
			a.Counters.add(DropOtherService)
			a.denyOwner(e, out)
			return
		}
		// Only the host can show that the flow was opened here under an
		// earlier view; the question carries no byte of the packet.
		a.ask(e, nil, out)
		return
	}
	if a.followRegistration(e, out) {
		return
	}
	if !e.packet.IsOpening() && !carriesFlow(e.packet) {
		a.Counters.add(DropNoACK)
		return
	}
	opening := e.packet.IsOpening() || e.packet.Key.Protocol == packet.ProtocolUDP
	if opening && !e.packet.ICMP {
		a.place(e, view, address, out)
		return
	}
	a.ask(e, view, out)
}

// carriesFlow reports whether a packet that opens nothing can belong to a flow:
// after the handshake every TCP segment but a reset has ACK (RFC 9293).
func carriesFlow(p *packet.Packet) bool {
	if p.ICMP || p.Key.Protocol != packet.ProtocolTCP || p.Flags&packet.FlagRST != 0 {
		return true
	}
	return p.Flags&(packet.FlagACK|packet.FlagSYN) == packet.FlagACK
}

// FromHost handles a packet that the host sent from a service address.
func (a *Agent) FromHost(p *packet.Packet, now int64, out *Actions) {
	key := p.Key.Reverse()
	if p.Flags&packet.FlagRST != 0 && a.asked(&key) {
		// The reset answers a question that was put before an opening of the
		// same flow was taken; it must not reach the caller.
		a.hostRevealed(p, &key, now, out)
		return
	}
	s := a.shard(&key)
	s.mu.Lock()
	r := s.flows[key]
	if r == nil {
		s.mu.Unlock()
		a.hostRevealed(p, &key, now, out)
		return
	}
	before := r.state
	pass := r.fromHost(p, now)
	a.settle(s, r, before, now)
	s.mu.Unlock()
	if !pass {
		a.Counters.add(DropReturn)
		return
	}
	a.Counters.add(Returned)
	out.ToFabric = append(out.ToFabric, p.Data)
}
