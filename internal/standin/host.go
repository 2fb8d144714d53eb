package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/wire"
)

const (
	// maxDrainDelay is the time after which a draining target must receive no
	// new flow (guarantee P6).
	maxDrainDelay = 3 * time.Second
	// halfOpenLifetime is the time after which a connection whose SYN-ACK was
	// not acknowledged is removed.
	halfOpenLifetime = 10 * time.Second
)

// HostOptions configures a host.
type HostOptions struct {
	Name    string
	Service uint32
	// Addresses are the service's addresses; packets for other addresses are
	// counted as stray.
	Addresses []netip.AddrPort
	// Agent is the address on which the agent exchanges packets with the host.
	Agent netip.AddrPort
	// Slots is the maximum number of requests that run concurrently.
	Slots int
	// MaxConnections limits the connections; further ones are reset. 0 means
	// no limit.
	MaxConnections int
	// ServiceTime is the mean time for which Booking and Upload requests occupy
	// a slot; each request takes between 0.5 and 1.5 times as long.
	ServiceTime time.Duration
	// Seed drives service times and initial sequence numbers.
	Seed   uint64
	Ledger *Ledger
}

// Host fakes the host behind an agent: a small TCP server that runs requests,
// with a health endpoint. Its methods may be called concurrently.
type Host struct {
	options HostOptions
	address string
	health  healthEndpoint

	mu     sync.Mutex
	random *rand.Rand
	socket *wire.Socket
	server *http.Server
	done   chan struct{}
	stop   chan struct{}
	// generation changes with every start, so that timers of an earlier start
	// have no effect.
	generation     uint64
	conns          map[packet.Key]*hostConn
	running        int
	waiting        []hostRequest
	drainSince     time.Time
	acceptAndClose bool
	openings       int
	// accepted holds the connections whose SYN the host answered, across restarts.
	accepted map[FlowIdentity]bool
}

type hostConn struct {
	tcp      endpoint
	input    []byte
	pending  int
	expireAt time.Time
}

type hostRequest struct {
	request Request
	key     packet.Key
	conn    *hostConn
}

// NewHost starts a host on free loopback ports.
func NewHost(options HostOptions) (*Host, error) {
	h := &Host{options: options, address: "127.0.0.1:0", random: rand.New(rand.NewPCG(options.Seed, 3)), accepted: map[FlowIdentity]bool{}}
	h.health.address = "127.0.0.1:0"
	if err := h.Start(); err != nil {
		return nil, err
	}
	return h, nil
}

// Address returns the host's packet address for AgentSettings.
func (h *Host) Address() netip.AddrPort { return netip.MustParseAddrPort(h.address) }

// HealthURL returns the URL of the health and load endpoint for AgentSettings.
func (h *Host) HealthURL() string { return "http://" + h.health.address + "/health" }

// Start starts a killed host again on the same ports, without connections.
func (h *Host) Start() error {
	socket, err := wire.Listen(h.address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.server, err = h.serveHealth()
	if err != nil {
		_ = socket.Close()
		return fmt.Errorf("health endpoint of %s: %w", h.options.Name, err)
	}
	h.socket = socket
	if h.done == nil { // Later starts reuse the ports of the first one.
		h.address = socket.Address().String()
	}
	h.generation = h.random.Uint64()
	h.conns = map[packet.Key]*hostConn{}
	h.running, h.waiting, h.drainSince = 0, nil, time.Time{}
	h.health.reset()
	h.done, h.stop = make(chan struct{}), make(chan struct{})
	go h.read(socket, h.done)
	go h.run(h.generation, h.stop)
	return nil
}

// Kill stops the host at once; it sends nothing more, not even resets.
func (h *Host) Kill() {
	h.mu.Lock()
	if h.socket == nil {
		h.mu.Unlock()
		return
	}
	socket, server, done := h.socket, h.server, h.done
	h.socket, h.generation, h.conns = nil, 0, nil
	h.waiting, h.running = nil, 0
	close(h.stop)
	h.mu.Unlock()
	_ = socket.Close()
	_ = server.Close()
	<-done
}

// Restart drops all connections and starts again on the same ports.
func (h *Host) Restart() error {
	h.Kill()
	return h.Start()
}

// Drain reports draining on the health endpoint. From then on, a new connection
// after the bound of guarantee P6 is counted as a late opening.
func (h *Host) Drain() {
	h.health.setState("draining")
	h.ExpectNoOpenings()
}

// ExpectNoOpenings counts late openings like Drain but leaves the health endpoint as it is.
// It is for targets that the bundle drains.
func (h *Host) ExpectNoOpenings() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainSince = time.Now()
}

// SetStarting sets whether the health endpoint reports starting or ready.
func (h *Host) SetStarting(starting bool) {
	if starting {
		h.health.setState("starting")
		return
	}
	h.health.setState("ready")
}

// SetHealthLag makes the health endpoint report the state of lag ago, at most
// 10 s.
func (h *Host) SetHealthLag(lag time.Duration) { h.health.setLag(min(lag, maxHealthLag)) }

// SetZeroLoad makes the health endpoint report no load.
func (h *Host) SetZeroLoad(zero bool) { h.health.setZero(zero) }

// SetAcceptAndClose sets whether the host closes every new connection at once.
func (h *Host) SetAcceptAndClose(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acceptAndClose = on
}

// SetAgent changes the address to which the host sends its packets.
func (h *Host) SetAgent(agent netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.options.Agent = agent
}

// Load returns the number of running and waiting requests divided by the number
// of slots, and whether the host is ready for new flows.
func (h *Host) Load() (float64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ready := h.socket != nil && h.drainSince.IsZero() && !h.acceptAndClose && h.health.ready()
	return float64(h.running+len(h.waiting)) / float64(h.options.Slots), ready
}

// Openings returns the number of connections established so far.
func (h *Host) Openings() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.openings
}

// Served reports whether the client of a flow opened it at this host. A client has
// done so once it received the host's SYN-ACK, even if the host was killed before
// the acknowledgment arrived.
func (h *Host) Served(f FlowIdentity) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.accepted[f]
}

// Connections returns the number of currently open connections.
func (h *Host) Connections() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.openConnections()
}

func (h *Host) openConnections() int {
	count := 0
	for _, c := range h.conns {
		if c.tcp.state == stateOpen {
			count++
		}
	}
	return count
}

func (h *Host) read(socket *wire.Socket, done chan struct{}) {
	defer close(done)
	batch := wire.NewReadBatch(wire.BatchSize)
	var parser packet.Parser
	for {
		n, err := socket.ReadBatch(batch)
		if err != nil {
			return
		}
		for i := range batch[:n] {
			var p packet.Packet
			inner, err := wire.OpenGRE(batch[i].Buffers[0][:batch[i].N])
			if err != nil || parser.Parse(inner, &p) != nil || p.Key.Protocol != packet.ProtocolTCP || p.ICMP {
				continue
			}
			h.receive(time.Now(), &p)
		}
	}
}

func (h *Host) receive(now time.Time, p *packet.Packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.socket == nil {
		return
	}
	if !slices.Contains(h.options.Addresses, p.Key.Destination) {
		h.options.Ledger.count(func(r *Report) *int { return &r.StrayPackets }, "%s received a stray packet of %s", h.options.Name, p.Key)
	}
	c := h.conns[p.Key]
	if p.IsOpening() && (c == nil || c.tcp.state == stateDone) {
		h.accept(now, p)
		return
	}
	if c == nil {
		if p.Flags&packet.FlagRST == 0 {
			h.send(packet.Reset(p))
		}
		return
	}
	got := c.tcp.receive(now, p)
	if got.opened {
		h.opened(now, p.Key, c)
	}
	c.input = append(c.input, got.data...)
	h.processRequests(p.Key, c)
	if c.tcp.peerClosed && c.pending == 0 {
		c.tcp.close(now)
	}
	if c.tcp.state == stateDone {
		c.expireAt = now.Add(lingerTime)
	}
	if got.reset {
		delete(h.conns, p.Key)
	}
}

func (h *Host) accept(now time.Time, p *packet.Packet) {
	if h.options.MaxConnections > 0 && len(h.conns) >= h.options.MaxConnections {
		h.send(packet.Reset(p))
		return
	}
	c := &hostConn{expireAt: now.Add(halfOpenLifetime)}
	c.tcp = endpoint{key: p.Key.Reverse(), emit: func(s packet.TCPSegment) { h.send(packet.BuildTCP(s)) }}
	h.conns[p.Key] = c
	isn := h.random.Uint32()
	h.accepted[FlowIdentity{p.Key, isn}] = true
	c.tcp.accept(now, isn, p)
}

func (h *Host) opened(now time.Time, key packet.Key, c *hostConn) {
	h.openings++
	c.expireAt = time.Time{}
	if !h.drainSince.IsZero() && now.Sub(h.drainSince) > maxDrainDelay+h.health.getLag() {
		h.options.Ledger.count(func(r *Report) *int { return &r.LateOpenings },
			"%s accepted %s %v after it began to drain", h.options.Name, key, now.Sub(h.drainSince))
	}
	if h.acceptAndClose {
		c.tcp.close(now)
	}
}

func (h *Host) send(data []byte, err error) {
	if err == nil && h.socket != nil {
		// A failed write is a lost packet; the agent may be restarting.
		_ = h.socket.WriteTo(wire.AppendGRE(nil, data), h.options.Agent)
	}
}

func (h *Host) run(generation uint64, stop chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			h.tick(generation, now)
		}
	}
}

func (h *Host) tick(generation uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.generation != generation {
		return
	}
	for key, c := range h.conns {
		c.tcp.tick(now)
		if !c.expireAt.IsZero() && now.After(c.expireAt) {
			delete(h.conns, key)
		}
	}
	h.health.record(now, h.running, h.openConnections())
}
