package entry

import (
	"sync/atomic"
	"time"

	"github.com/dchest/siphash"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/reach"
	"github.com/heathergw/heathergw/schema"
)

// reachConfig limits the probes of an entry to 3.6 KB/s and their answers to
// 4.3 KB/s. With 30% packet loss in each direction, a probe to a responsive
// target stays unanswered with probability 0.51, and four in a row with 0.07.
// A responsive target that is wrongly treated as silent only costs a detour
// through another agent. Reports from the service's agents usually arrive
// before an entry's own probes find a silent target.
var reachConfig = reach.Config{
	AnswerFreshness:     time.Second,
	ProbeInterval:       200 * time.Millisecond,
	SilentProbeInterval: time.Second,
	SilentAfterProbes:   4,
	ReportSilentTime:    90 * time.Second,
	MaxProbesPerSecond:  60,
}

// outcome is the result of decide. The packet is dropped unless it is
// outcomeForward.
type outcome uint8

const (
	outcomeForward outcome = iota
	outcomeNoBundle
	outcomeNoService
	outcomeNoTarget
	outcomeCount
)

// decision holds the target whose agent receives a packet.
type decision struct {
	view   *bundle.View
	target *bundle.Target
	// flags holds the schema.ForwardFlag bits of the forward header.
	flags uint32
}

// decider selects the target for each packet. It is safe for concurrent use;
// the view is read through an atomic pointer.
type decider struct {
	view  atomic.Pointer[bundle.View]
	cache *ownerCache
	reach *reach.Table
	// hashKey is a random per-process key for the hash of the cache.
	hashKey [2]uint64
}

func newDecider(cacheFlows int, hashKey [2]uint64) *decider {
	return &decider{
		cache:   newOwnerCache(cacheFlows),
		reach:   reach.New(reachConfig),
		hashKey: hashKey,
	}
}

// decide selects the target for p. now is the monotonic clock in nanoseconds.
//
// An opening always goes to the first candidate: if the flow exists, that
// candidate holds its registration, whereas the cached owner may belong to an
// ended flow with the same addresses and ports.
func (d *decider) decide(p *packet.Packet, now int64) (decision, outcome) {
	v := d.view.Load()
	if v == nil {
		return decision{}, outcomeNoBundle
	}
	address := v.Lookup(&p.Key)
	if address == nil {
		return decision{}, outcomeNoService
	}
	target := d.cachedOwner(v, address, p, now)
	if target == nil {
		target = d.firstCandidate(v, address, &p.Key, now)
	}
	if target == nil {
		return decision{}, outcomeNoTarget
	}
	result := decision{view: v, target: target}
	if d.reach.Probe(target.ID, now) {
		result.flags = uint32(schema.ForwardFlag_FORWARD_FLAG_PROBE)
	}
	return result, outcomeForward
}

// cachedOwner returns the cached owner of the flow. It returns nil for an opening,
// and if the owner is silent or not a target of the packet's service. A target
// that was removed from the bundle still serves its flows until its drain
// deadline.
func (d *decider) cachedOwner(v *bundle.View, address *bundle.Address, p *packet.Packet, now int64) *bundle.Target {
	if p.IsOpening() {
		return nil
	}
	id := d.cache.get(d.flowHash(&p.Key), seconds(now))
	if id == 0 || d.reach.Silent(id, now) {
		return nil
	}
	target := v.TargetOrRetired(id)
	if target == nil || target.Service != address.Service {
		return nil
	}
	return target
}

// firstCandidate returns the first candidate that is not silent. If all
// candidates appear silent, the detection is more likely wrong than right, so
// it returns the first candidate regardless.
func (d *decider) firstCandidate(v *bundle.View, address *bundle.Address, k *packet.Key, now int64) *bundle.Target {
	target := placement.First(v, address, k, func(t *bundle.Target) bool {
		return d.reach.Silent(t.ID, now)
	})
	if target == nil {
		target = placement.First(v, address, k, nil)
	}
	return target
}

// learnOwner updates the cache from an owner hint. Target 0 removes the flow.
func (d *decider) learnOwner(k *packet.Key, target uint32, now int64) {
	hash := d.flowHash(k)
	if target == 0 {
		d.cache.remove(hash)
		return
	}
	d.cache.put(hash, target, seconds(now))
}

func (d *decider) flowHash(k *packet.Key) uint64 {
	var buf [packet.MaxKeySize]byte
	b, _ := k.AppendBinary(buf[:0])
	return max(siphash.Hash(d.hashKey[0], d.hashKey[1], b), 1)
}

func seconds(now int64) uint32 { return uint32(now / int64(time.Second)) }
