package entry

import "sync"

const (
	cacheWays  = 4
	cacheLocks = 256
	// cacheLifetimeSeconds is how long an unused entry stays valid. A longer
	// lifetime would only cost a detour through the former owner's agent.
	cacheLifetimeSeconds = 600
)

// ownerCache caches the owners of flows that are not owned by their first
// candidate, as reported by owner hints. It is a set-associative table of fixed
// size: a full set evicts its least recently used slot, so a flood of flows
// cannot grow it. Losing an entry costs one detour through the first candidate.
//
// Lock order: the lock of a set is a leaf; no other lock is acquired while it is
// held.
type ownerCache struct {
	sets  []cacheSet
	locks [cacheLocks]sync.Mutex
}

type cacheSet [cacheWays]cacheSlot

type cacheSlot struct {
	flow   uint64 // keyed hash of the flow; 0 marks an empty slot
	target uint32
	used   uint32 // seconds of the monotonic clock
}

// newOwnerCache returns a cache with slots for at least the given number of flows.
func newOwnerCache(flows int) *ownerCache {
	sets := 1
	for sets*cacheWays < flows {
		sets *= 2
	}
	return &ownerCache{sets: make([]cacheSet, sets)}
}

func (c *ownerCache) set(flow uint64) (*cacheSet, *sync.Mutex) {
	i := flow & uint64(len(c.sets)-1)
	return &c.sets[i], &c.locks[i%cacheLocks]
}

// get returns the target ID of the flow's owner, or 0 if it is not cached.
func (c *ownerCache) get(flow uint64, nowSeconds uint32) uint32 {
	set, lock := c.set(flow)
	lock.Lock()
	defer lock.Unlock()
	for i := range set {
		slot := &set[i]
		if slot.flow != flow {
			continue
		}
		if nowSeconds-slot.used > cacheLifetimeSeconds {
			*slot = cacheSlot{}
			return 0
		}
		slot.used = nowSeconds
		return slot.target
	}
	return 0
}

// put stores the owner of the flow.
func (c *ownerCache) put(flow uint64, target, nowSeconds uint32) {
	set, lock := c.set(flow)
	lock.Lock()
	defer lock.Unlock()
	victim := &set[0]
	for i := range set {
		slot := &set[i]
		if slot.flow == flow || slot.flow == 0 {
			victim = slot
			break
		}
		if slot.used < victim.used {
			victim = slot
		}
	}
	*victim = cacheSlot{flow: flow, target: target, used: nowSeconds}
}

// remove deletes the flow's entry.
func (c *ownerCache) remove(flow uint64) {
	set, lock := c.set(flow)
	lock.Lock()
	defer lock.Unlock()
	for i := range set {
		if set[i].flow == flow {
			set[i] = cacheSlot{}
		}
	}
}
