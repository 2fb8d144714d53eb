package dissemination

import "time"

// resetAfter is how long the platform has to answer with an older VM list
// until the list counts as restored from a backup and no longer as stale.
const resetAfter = 2 * time.Minute

// vmList is the version of the VM list in use. The platform's list carries no
// sequence of its own, so its modification index orders the copies.
type vmList struct {
	version uint64
	hash    uint64
	// offset is added to the platform's index, whose count starts again when
	// the platform is restored.
	offset   uint64
	lowSince time.Duration
}

// OfferVMs decides whether a VM list that a peer sent is newer than the one in
// use, and takes its version if so. hash identifies its content. The caller
// checks the list before and then calls SetDirectory.
func (c *Core) OfferVMs(version, hash uint64) bool {
	if version <= c.vms.version {
		return false
	}
	c.vms.version, c.vms.hash = version, hash
	c.dropOffers()
	return true
}

// OfferPlatformVMs does the same for a list that the platform returned with a
// modification index. A lower index is stale until the platform has kept to it
// for two minutes.
func (c *Core) OfferPlatformVMs(index, hash uint64, now time.Duration) bool {
	v := &c.vms
	if v.version != 0 && hash == v.hash {
		v.offset, v.lowSince = v.version-index, 0
		return false
	}
	if version := index + v.offset; version > v.version {
		v.lowSince = 0
		return c.OfferVMs(version, hash)
	}
	if v.lowSince == 0 {
		v.lowSince = now
	}
	if now-v.lowSince < resetAfter {
		return false
	}
	v.lowSince = 0
	v.offset = v.version + 1 - index
	return c.OfferVMs(v.version+1, hash)
}
