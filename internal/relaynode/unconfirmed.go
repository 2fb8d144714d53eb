package relaynode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/relay"
	"github.com/heathergw/heathergw/internal/wait"
)

const (
	// maxUnconfirmed bounds the copies of forwarded packets that await an answer. The
	// clients retransmit the others.
	maxUnconfirmed = 256
	// maxReplays bounds how often one packet is decided on again.
	maxReplays = 8
	// confirmationTime is how long the answer to a probe may take, with a margin after
	// which the member counts as suspected.
	confirmationTime = 51 * time.Millisecond
	// replayInterval is the minimum time between two wake-ups for packets whose response
	// is due; under load they become due one after the other.
	replayInterval = 25 * time.Millisecond
)

// unconfirmedPackets keeps copies of forwarded packets that carry a probe until the agent
// of the member answers. Without an answer the packet is decided on again: the member then
// counts as suspected, so that the packet goes on without it. It is safe for concurrent use.
type unconfirmedPackets struct {
	mu      sync.Mutex // guards packets
	packets []unconfirmedPacket
	// added receives a value when packets is no longer empty.
	added chan struct{}
}

type unconfirmedPacket struct {
	datagram []byte
	fromHost bool
	member   uint32
	sentAt   int64
	replays  int
}

func newUnconfirmedPackets() *unconfirmedPackets {
	return &unconfirmedPackets{added: make(chan struct{}, 1)}
}

func (u *unconfirmedPackets) add(p unconfirmedPacket) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.packets) >= maxUnconfirmed {
		return
	}
	u.packets = append(u.packets, p)
	select {
	case u.added <- struct{}{}:
	default: // a value is pending
	}
}

// takeDue removes and returns the packets whose answer is due. next is the time until the
// next one is due, 0 if there is none.
func (u *unconfirmedPackets) takeDue(now int64) (due []unconfirmedPacket, next time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for n < len(u.packets) && now-u.packets[n].sentAt >= int64(confirmationTime) {
		n++
	}
	due = slices.Clone(u.packets[:n])
	u.packets = slices.Delete(u.packets, 0, n)
	if len(u.packets) > 0 {
		next = confirmationTime - time.Duration(now-u.packets[0].sentAt)
	}
	return due, next
}

// keepUnconfirmed keeps a copy of a forwarded packet that carries a probe. Openings are
// left to the client, which retransmits them to any member.
func (w *worker) keepUnconfirmed(p *relay.Packet, v *relay.Verdict, now int64) {
	if v.Action != relay.ActionForward || !v.State.Probe || p.IsOpening() || w.replays >= maxReplays {
		return
	}
	w.unconfirmed.add(unconfirmedPacket{slices.Clone(p.Datagram), w.fromHost, v.Member.ID, now, w.replays + 1})
}

// replayUnconfirmed decides again on packets whose probe was not answered in time.
func (p *process) replayUnconfirmed(ctx context.Context, r replayWorkers) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.unconfirmed.added:
		}
		for next := confirmationTime; next > 0; {
			if wait.For(ctx, max(next, replayInterval)) != nil {
				return nil
			}
			now := node.Clock()
			var due []unconfirmedPacket
			due, next = p.unconfirmed.takeDue(now)
			for _, u := range due {
				if p.core.Reach.AnsweredSince(u.member, u.sentAt) {
					continue
				}
				w := r.of(u.fromHost)
				if err := p.adapter.Packets.Parse(u.datagram, &w.packet); err != nil {
					continue // it was parsed before it was kept
				}
				p.counters.replayed.Inc(1)
				w.replays = u.replays
				w.execute(&w.packet, w.decide(&w.packet, now), now)
				w.out.Flush()
			}
		}
	}
}
