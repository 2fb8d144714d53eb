package relaynode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/relay"
)

const (
	// maxHeld bounds the packets that wait for a newer view, one per flow. It
	// covers a fifth of a second of new flows at the busiest entry in use.
	maxHeld = 256
	// holdTime is how long a packet waits. A client gives up an opening after
	// 1.4 s and has retransmitted it by then.
	holdTime = 1200 * time.Millisecond
)

// heldPackets keeps packets for which no decision was possible yet. It is safe
// for concurrent use.
type heldPackets struct {
	mu      sync.Mutex // guards the field below
	packets map[packet.Key]heldPacket
	wake    chan struct{}
}

type heldPacket struct {
	datagram []byte
	// service is relay.Packet.Service.
	service  []byte
	fromHost bool
	until    int64
}

func newHeldPackets() *heldPackets {
	return &heldPackets{packets: map[packet.Key]heldPacket{}, wake: make(chan struct{}, 1)}
}

// add keeps a copy of the newest packet of a flow. If the limit is reached, a
// packet of another flow is dropped, and the client retransmits it.
func (h *heldPackets) add(p *relay.Packet, fromHost bool, now int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.packets[p.Key]; !known && len(h.packets) >= maxHeld {
		return
	}
	h.packets[p.Key] = heldPacket{slices.Clone(p.Datagram), slices.Clone(p.Service), fromHost, now + int64(holdTime)}
}

// release triggers a new decision on all held packets.
func (h *heldPackets) release() {
	select {
	case h.wake <- struct{}{}:
	default: // a release is pending
	}
}

// takeAll removes all packets and returns those that have not expired.
func (h *heldPackets) takeAll(now int64) []heldPacket {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []heldPacket
	for key, p := range h.packets {
		if now < p.until {
			list = append(list, p)
		}
		delete(h.packets, key)
	}
	return list
}

// replayWorkers process held packets: one for those received from the host and one
// for all others. host is nil in an entry.
type replayWorkers struct{ network, host *worker }

func (r replayWorkers) of(fromHost bool) *worker {
	if fromHost {
		return r.host
	}
	return r.network
}

// copy returns other workers with the same decision functions.
func (r replayWorkers) copy() replayWorkers {
	c := replayWorkers{network: r.network.copy()}
	if r.host != nil {
		c.host = r.host.copy()
	}
	return c
}

// replay decides again on the held packets after each release.
func (p *process) replay(ctx context.Context, r replayWorkers) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.held.wake:
		}
		now := node.Clock()
		for _, h := range p.held.takeAll(now) {
			w := r.of(h.fromHost)
			if err := p.adapter.Packets.Parse(h.datagram, &w.packet); err != nil {
				continue // it was parsed before it was held
			}
			w.packet.Service, w.packet.Delayed = h.service, true
			w.execute(&w.packet, w.decide(&w.packet, now), now)
			w.out.Flush()
		}
	}
}
