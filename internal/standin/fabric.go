package standin

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/wire"
)

// reorderDelay is the delay of a reordered packet, so that later packets arrive
// before it.
const reorderDelay = 5 * time.Millisecond

// Faults holds the probability, from 0 to 1, of each fault for a packet in either
// direction.
type Faults struct {
	Loss, Duplicate, Reorder float64
}

type fabricEntry struct {
	address netip.AddrPort
	// unreachable drops packets to the entry, which stays in the list.
	unreachable bool
}

// Fabric sprays packets from clients over entries as GRE-in-UDP and delivers
// returned packets to clients by destination address. Its methods may be called
// concurrently.
type Fabric struct {
	socket *wire.Socket
	done   chan struct{}

	mu        sync.Mutex
	random    *rand.Rand
	entries   []*fabricEntry
	faults    Faults
	clients   map[netip.Addr]func([]byte)
	sent      map[netip.AddrPort]int
	returned  int
	malformed int
}

// NewFabric opens the fabric's socket on a free loopback port. seed drives
// every random choice.
func NewFabric(seed uint64) (*Fabric, error) {
	socket, err := wire.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		socket: socket, done: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 1)),
		clients: map[netip.Addr]func([]byte){}, sent: map[netip.AddrPort]int{},
	}
	go f.read()
	return f, nil
}

// Address returns the address to which agents send returned packets.
func (f *Fabric) Address() netip.AddrPort { return f.socket.Address() }

// Close closes the socket and waits for its reader.
func (f *Fabric) Close() {
	_ = f.socket.Close()
	<-f.done
}

// AddEntry starts spraying packets to an entry's fabric address.
func (f *Fabric) AddEntry(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, &fabricEntry{address: address})
}

// RemoveEntry stops spraying to address.
func (f *Fabric) RemoveEntry(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = slices.DeleteFunc(f.entries, func(e *fabricEntry) bool { return e.address == address })
}

// KillEntry drops every packet sprayed to address and removes the entry after
// lag, like a fabric that detects a failed entry late.
func (f *Fabric) KillEntry(address netip.AddrPort, lag time.Duration) {
	f.SetEntryUnreachable(address, true)
	time.AfterFunc(lag, func() { f.RemoveEntry(address) })
}

// SetEntryUnreachable sets whether packets to address are dropped. The entry
// stays in the list.
func (f *Fabric) SetEntryUnreachable(address netip.AddrPort, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.entries {
		if e.address == address {
			e.unreachable = unreachable
		}
	}
}

// SetFaults replaces the fault probabilities.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Attach registers deliver for packets to address; deliver must not retain them.
func (f *Fabric) Attach(address netip.Addr, deliver func([]byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients[address] = deliver
}

// Sent returns the number of packets sprayed to the entry.
func (f *Fabric) Sent(address netip.AddrPort) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[address]
}

// Send sprays a client's IP packet to a random entry.
func (f *Fabric) Send(data []byte) {
	f.transmit(func() {
		f.mu.Lock()
		var to netip.AddrPort
		if len(f.entries) > 0 {
			if e := f.entries[f.random.IntN(len(f.entries))]; !e.unreachable {
				to = e.address
				f.sent[to]++
			}
		}
		f.mu.Unlock()
		if to.IsValid() {
			// A failed write is a lost packet, as in a real fabric.
			_ = f.socket.WriteTo(wire.AppendGRE(nil, data), to)
		}
	})
}

// transmit calls send for one packet, subject to the faults.
func (f *Fabric) transmit(send func()) {
	f.mu.Lock()
	lost := f.random.Float64() < f.faults.Loss
	duplicated := f.random.Float64() < f.faults.Duplicate
	reordered := f.random.Float64() < f.faults.Reorder
	f.mu.Unlock()
	if lost {
		return
	}
	if duplicated {
		send()
	}
	if reordered {
		time.AfterFunc(reorderDelay, send)
		return
	}
	send()
}

func (f *Fabric) read() {
	defer close(f.done)
	var parser packet.Parser
	batch := wire.NewReadBatch(wire.BatchSize)
	for {
		n, err := f.socket.ReadBatch(batch)
		if err != nil {
			return
		}
		for i := range batch[:n] {
			f.returnPacket(&parser, batch[i].Buffers[0][:batch[i].N])
		}
	}
}

func (f *Fabric) returnPacket(parser *packet.Parser, datagram []byte) {
	var p packet.Packet
	inner, err := wire.OpenGRE(datagram)
	if err == nil {
		err = parser.Parse(inner, &p)
	}
	if err != nil {
		f.mu.Lock()
		f.malformed++
		f.mu.Unlock()
		return
	}
	f.mu.Lock()
	deliver := f.clients[p.Key.Destination.Addr()]
	f.returned++
	f.mu.Unlock()
	if deliver == nil {
		return
	}
	// A delayed packet is delivered after the read buffer is reused.
	data := append([]byte(nil), inner...)
	f.transmit(func() { deliver(data) })
}

// Malformed returns the number of returned datagrams that were not GRE with a
// valid IP packet.
func (f *Fabric) Malformed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.malformed
}
