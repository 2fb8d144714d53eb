package relay

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// retryWindow is how long after the last packet of a lost flow its client's
	// next opening counts as the same request. It covers the search, a few times
	// 55 ms under load, and the 85 ms that clients take between a reset and an
	// opening.
	retryWindow = 400 * time.Millisecond
	// maxRetryingClients bounds the tracked clients: one for each flow of a
	// host.
	maxRetryingClients = 2048
)

// retryTracker records when clients sent packets of flows that no host has. Such
// a client gets a reset and retries its request on a new flow, whose opening
// looks like that of a new request but is already late. After a power loss most
// openings are such retries, while the hosts have capacity for the new requests
// only. It is safe for concurrent use.
type retryTracker struct {
	mu      sync.Mutex // guards clients
	clients *lru.Cache[retryKey, []lostFlow]
}

type retryKey struct {
	client      netip.Addr
	destination netip.AddrPort
}

type lostFlow struct {
	clientPort uint16
	// firstSeen and lastSeen are when its first and last packet were seen.
	firstSeen, lastSeen int64
}

func newRetryTracker() (*retryTracker, error) {
	clients, err := lru.New[retryKey, []lostFlow](maxRetryingClients)
	return &retryTracker{clients: clients}, err
}

func retryKeyOf(p *Packet) retryKey {
	return retryKey{p.Key.Source.Addr(), p.Key.Destination}
}

// recordLost records a packet of a flow that the agent's host does not have.
func (r *retryTracker) recordLost(p *Packet, now int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := retryKeyOf(p)
	flows, _ := r.clients.Get(k)
	flows = slices.DeleteFunc(flows, func(f lostFlow) bool { return now-f.lastSeen > int64(retryWindow) })
	i := slices.IndexFunc(flows, func(f lostFlow) bool { return f.clientPort == p.Key.Source.Port() })
	if i < 0 {
		flows = append(flows, lostFlow{clientPort: p.Key.Source.Port(), firstSeen: now})
		i = len(flows) - 1
	}
	flows[i].lastSeen = now
	r.clients.Add(k, flows)
}

// requestStart returns when the request of an opening began, as far as this
// agent has seen it: with the first packet of a lost flow of the same client, or
// now. Each lost flow counts for one opening.
func (r *retryTracker) requestStart(p *Packet, now int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := retryKeyOf(p)
	flows, known := r.clients.Get(k)
	if !known {
		return now
	}
	flows = slices.DeleteFunc(flows, func(f lostFlow) bool { return now-f.lastSeen > int64(retryWindow) })
	if len(flows) == 0 {
		r.clients.Remove(k)
		return now
	}
	first := flows[0].firstSeen
	r.clients.Add(k, flows[1:])
	return first
}
