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

// reorderDelay lets a delayed packet arrive after its successors.
const reorderDelay = 5 * time.Millisecond

// Faults are probabilities from 0 to 1 for each packet in both directions.
type Faults struct {
	Loss, Duplicate, Reorder float64
}

type fabricEntry struct {
	address netip.AddrPort
	// cut drops packets while the entry stays in the list.
	cut bool
}

// Fabric sprays packets of callers over entries as GRE-in-UDP and hands
// returned packets to callers by destination address. Its methods may be
// called concurrently.
type Fabric struct {
	socket *wire.Socket
	done   chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	entries  []*fabricEntry
	faults   Faults
	callers  map[netip.Addr]func([]byte)
	sent     map[netip.AddrPort]int
	returned int
	unknown  int
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
		callers: map[netip.Addr]func([]byte){}, sent: map[netip.AddrPort]int{},
	}
	go f.read()
	return f, nil
}

// Address is where agents send returned packets.
func (f *Fabric) Address() netip.AddrPort { return f.socket.Address() }

// Close ends the fabric and waits for its reader.
func (f *Fabric) Close() {
	_ = f.socket.Close()
	<-f.done
}

// AddEntry starts to spray packets to the entry's fabric address.
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

// KillEntry loses every packet that is sprayed to address and removes it after
// lag, as a fabric does that learns late of a dead entry.
func (f *Fabric) KillEntry(address netip.AddrPort, lag time.Duration) {
	f.CutEntry(address, true)
	time.AfterFunc(lag, func() { f.RemoveEntry(address) })
}

// CutEntry loses packets to address, or stops to, while it stays in the list.
func (f *Fabric) CutEntry(address netip.AddrPort, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.entries {
		if e.address == address {
			e.cut = cut
		}
	}
}

// SetFaults replaces the faults of all packets.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Attach hands packets for the address to deliver, which must not keep them.
func (f *Fabric) Attach(address netip.Addr, deliver func([]byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers[address] = deliver
}

// Sent returns the number of packets sprayed to the entry.
func (f *Fabric) Sent(address netip.AddrPort) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[address]
}

// Send sprays a caller's IP packet to a random entry.
func (f *Fabric) Send(data []byte) {
	f.transmit(func() {
		f.mu.Lock()
		var to netip.AddrPort
		if len(f.entries) > 0 {
			if e := f.entries[f.random.IntN(len(f.entries))]; !e.cut {
				to = e.address
				f.sent[to]++
			}
		}
		f.mu.Unlock()
		if to.IsValid() {
			// A refused write is a lost packet, as in a real fabric.
			_ = f.socket.WriteTo(wire.AppendGRE(nil, data), to)
		}
	})
}

// transmit applies the faults to one packet that send carries.
func (f *Fabric) transmit(send func()) {
	f.mu.Lock()
	lost := f.random.Float64() < f.faults.Loss
	twice := f.random.Float64() < f.faults.Duplicate
	late := f.random.Float64() < f.faults.Reorder
	f.mu.Unlock()
	if lost {
		return
	}
	if twice {
		send()
	}
	if late {
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
		f.unknown++
		f.mu.Unlock()
		return
	}
	f.mu.Lock()
	deliver := f.callers[p.Key.Destination.Addr()]
	f.returned++
	f.mu.Unlock()
	if deliver == nil {
		return
	}
	// A delayed packet outlives the read buffer.
	data := append([]byte(nil), inner...)
	f.transmit(func() { deliver(data) })
}

// Malformed returns the number of returned datagrams that were not GRE with a
// readable IP packet.
func (f *Fabric) Malformed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unknown
}
