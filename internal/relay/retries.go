package relay

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// retryTime is how long after the last packet of a lost flow its caller's
	// next opening counts as the same request: the search, a few times 55 ms
	// under load, and the 85 ms that callers take between a reset and an
	// opening.
	retryTime = 400 * time.Millisecond
	// maxRetrying bounds the callers that are remembered, one for each flow of
	// a host.
	maxRetrying = 2048
)

// retries remembers when callers sent packets of flows that no host has. Such a
// caller gets a reset and retries its request on a new flow, whose opening looks
// like that of a new request but is late already. It answers the load after a
// loss of power: most openings are such retries while the hosts have room for
// the new requests only. It is safe for concurrent use.
type retries struct {
	mu      sync.Mutex // guards callers
	callers *lru.Cache[callerRoute, []lostFlow]
}

type callerRoute struct {
	caller      netip.Addr
	destination netip.AddrPort
}

type lostFlow struct {
	port uint16
	// first and last are when the first and the last packet were seen.
	first, last int64
}

func newRetries() (*retries, error) {
	callers, err := lru.New[callerRoute, []lostFlow](maxRetrying)
	return &retries{callers: callers}, err
}

func callerRouteOf(p *Packet) callerRoute {
	return callerRoute{p.Key.Source.Addr(), p.Key.Destination}
}

// lost records a packet of a flow that its host does not have.
func (r *retries) lost(p *Packet, now int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := callerRouteOf(p)
	flows, _ := r.callers.Get(k)
	flows = slices.DeleteFunc(flows, func(f lostFlow) bool { return now-f.last > int64(retryTime) })
	at := slices.IndexFunc(flows, func(f lostFlow) bool { return f.port == p.Key.Source.Port() })
	if at < 0 {
		flows = append(flows, lostFlow{port: p.Key.Source.Port(), first: now})
		at = len(flows) - 1
	}
	flows[at].last = now
	r.callers.Add(k, flows)
}

// since returns when the request of an opening began, as far as this agent has
// seen it: with the first packet of a lost flow of the same caller, or now.
// Each lost flow counts for one opening.
func (r *retries) since(p *Packet, now int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := callerRouteOf(p)
	flows, known := r.callers.Get(k)
	if !known {
		return now
	}
	flows = slices.DeleteFunc(flows, func(f lostFlow) bool { return now-f.last > int64(retryTime) })
	if len(flows) == 0 {
		r.callers.Remove(k)
		return now
	}
	first := flows[0].first
	r.callers.Add(k, flows[1:])
	return first
}
