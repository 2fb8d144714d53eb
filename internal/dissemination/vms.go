package dissemination

import "time"

// indexResetDelay is how long the platform must keep answering with a lower
// index before its VM list counts as restored from a backup instead of stale.
const indexResetDelay = 2 * time.Minute

// vmListState identifies the VM list in use. The platform's list has no
// sequence number of its own, so its modification index orders the versions.
type vmListState struct {
	version uint64
	hash    uint64
	// offset is added to the platform's index, which restarts at a low value
	// when the platform is restored.
	offset        uint64
	lowIndexSince time.Duration
}

// AcceptPeerVMs reports whether a VM list from a peer is newer than the one in
// use, and if so adopts its version. hash identifies its content. The caller
// must validate the list before the call, and call SetDirectory after it.
func (c *Core) AcceptPeerVMs(version, hash uint64) bool {
	if version <= c.vms.version {
		return false
	}
	c.vms.version, c.vms.hash = version, hash
	c.dropOutdatedCandidates()
	return true
}

// AcceptPlatformVMs does the same as AcceptPeerVMs for a list that the platform
// returned with a modification index. A lower index counts as stale until the
// platform has returned it for two minutes.
func (c *Core) AcceptPlatformVMs(index, hash uint64, now time.Duration) bool {
	v := &c.vms
	if v.version != 0 && hash == v.hash {
		v.offset, v.lowIndexSince = v.version-index, 0
		return false
	}
	if version := index + v.offset; version > v.version {
		v.lowIndexSince = 0
		return c.AcceptPeerVMs(version, hash)
	}
	if v.lowIndexSince == 0 {
		v.lowIndexSince = now
	}
	if now-v.lowIndexSince < indexResetDelay {
		return false
	}
	v.lowIndexSince = 0
	v.offset = v.version + 1 - index
	return c.AcceptPeerVMs(v.version+1, hash)
}
