package dissemination

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/schema"
)

// The simulated fleet runs many cores over in-memory links in virtual time. It
// simulates only what the cores observe: delays, loss, transfers and the
// platform.

const (
	fleetTick        = 100 * time.Millisecond
	localDelay       = 500 * time.Microsecond
	sameRegionDelay  = 5 * time.Millisecond
	otherRegionDelay = 60 * time.Millisecond
	datagramHeader   = 20 + 8 + 12 // IPv4, UDP and the fixed part of the datagram
	envelopeBytes    = 9 + 6 + 4   // start id, counter and sequence of Control
	platformDelay    = 3 * time.Millisecond
)

type fleetConfig struct {
	seed            uint64
	entries, agents int
	dataCentres     int // half of them in each of two regions
	loss            float64
	noPlatform      bool
	// allWatch makes every process watch the platform (baseline).
	allWatch bool
	// wholeGossip includes the whole bundle in every announcement (baseline).
	wholeGossip bool
}

// Sizes on the wire at the design size, from BenchmarkTransfer with 880
// services, plus 25% for the TCP and IP headers of small segments.
const (
	streamBytes = 2000 // handshakes
	changeBytes = 700
	wholeBytes  = 66000
	vmListBytes = 17000
)

type fleet struct {
	config fleetConfig
	random *rand.Rand
	now    time.Duration
	queue  eventQueue
	order  uint64

	nodes     []*node
	byAddress map[netip.AddrPort]*node
	vms       []configstore.VM
	directory *Directory
	view      *bundle.View
	platform  fakePlatform
	// partitioned reports whether all datagrams and streams between two nodes
	// are lost.
	partitioned func(a, b *node) bool
}

type fakePlatform struct {
	version        Version
	vmIndex        uint64
	down           bool
	readsBySecond  map[time.Duration]int // by the second of virtual time
	pendingQueries map[*node]bool
	totalReads     int
}

type node struct {
	core            *Core
	index           int
	dc              int
	entry           bool
	address         netip.AddrPort
	dead            bool
	paused          bool
	watching        bool
	watchGeneration int // increased to ignore the answers of an earlier watch
	watchFailures   int
	heldAt          map[uint64]time.Duration
	bytesBySecond   map[time.Duration]int // sent and received, by the second of virtual time
	readyAt         time.Duration
	reverted        bool
	refused         int
}

type scheduledEvent struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func testVersion(n uint64) Version {
	v := Version{Sequence: n}
	v.Digest[0], v.Digest[1] = 1, byte(n)
	return v
}

func newFleet(config fleetConfig) *fleet {
	f := &fleet{
		config:      config,
		random:      rand.New(rand.NewPCG(config.seed, 7)),
		byAddress:   map[netip.AddrPort]*node{},
		partitioned: func(_, _ *node) bool { return false },
	}
	f.platform.readsBySecond = map[time.Duration]int{}
	f.platform.pendingQueries = map[*node]bool{}
	f.platform.version = testVersion(1)
	f.platform.vmIndex = 1
	f.platform.down = config.noPlatform
	for i := range config.entries + config.agents {
		f.addNode(i, i < config.entries)
	}
	document := &schema.Bundle{Sequence: 1}
	for dc := range config.dataCentres {
		document.DataCentres = append(document.DataCentres, &schema.DataCentre{Name: dcName(dc), Region: f.region(dc)})
	}
	view, err := bundle.NewView(document, bundle.Digest{})
	if err != nil {
		panic(err)
	}
	f.view = view
	f.directory = NewDirectory(f.vms, view)
	for _, n := range f.nodes {
		f.restart(n)
	}
	return f
}

func dcName(dc int) string { return fmt.Sprintf("dc%d", dc) }

func (f *fleet) region(dc int) string {
	if dc < (f.config.dataCentres+1)/2 {
		return "north"
	}
	return "south"
}

func (f *fleet) addNode(i int, isEntry bool) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	n := &node{index: i, dc: i % f.config.dataCentres, entry: isEntry, address: address}
	role := configstore.RoleAgent
	if isEntry {
		role = configstore.RoleEntry
	}
	f.nodes = append(f.nodes, n)
	f.byAddress[address] = n
	f.vms = append(f.vms, configstore.VM{Name: n.name(), DataCentre: dcName(n.dc), Role: role, Address: address})
}

func (n *node) name() string { return fmt.Sprintf("vm%d", n.index) }

// restart replaces the process with one that has no state and schedules its
// ticks.
func (f *fleet) restart(n *node) {
	seeds := []netip.AddrPort{f.nodes[0].address, f.nodes[1%len(f.nodes)].address,
		f.nodes[len(f.nodes)/2].address, f.nodes[len(f.nodes)-1].address}
	n.core = NewCore(Config{
		Name: n.name(), DataCentre: dcName(n.dc), Region: f.region(n.dc), Address: n.address,
		Entry: n.entry, Platform: true, Seeds: seeds, RandomSeed: f.config.seed<<20 + f.random.Uint64()>>44,
	})
	n.watching, n.dead, n.paused, n.readyAt = false, false, false, 0
	n.watchGeneration++
	n.heldAt = map[uint64]time.Duration{}
	n.bytesBySecond = map[time.Duration]int{}
	generation := n.watchGeneration
	f.after(time.Duration(f.random.Int64N(int64(fleetTick))), func() { f.tick(n, n.core, generation) })
	if f.config.allWatch {
		f.after(time.Duration(f.random.Int64N(int64(defaultInitialReadJitter))), func() { f.startWatch(n) })
	}
}

func (f *fleet) tick(n *node, core *Core, generation int) {
	if n.core != core || n.dead {
		return
	}
	if !n.paused {
		f.dispatch(n, func(out *Actions) { core.Tick(f.now, out) })
	}
	f.after(fleetTick, func() { f.tick(n, core, generation) })
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, scheduledEvent{f.now + d, f.order, run})
}

// runFor advances virtual time.
func (f *fleet) runFor(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(scheduledEvent)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// runUntil advances virtual time until done returns true or the timeout
// expires, and reports whether done returned true.
func (f *fleet) runUntil(timeout time.Duration, done func() bool) bool {
	end := f.now + timeout
	for f.now < end {
		if done() {
			return true
		}
		f.runFor(min(50*time.Millisecond, end-f.now))
	}
	return done()
}

// dispatch runs an event at a node and performs the resulting actions.
func (f *fleet) dispatch(n *node, event func(out *Actions)) {
	if n.dead || n.paused {
		return
	}
	var out Actions
	before := n.core.Held()
	event(&out)
	if n.core.Held().Compare(before) < 0 {
		n.reverted = true
	}
	if n.readyAt == 0 && n.core.Ready() {
		n.readyAt = f.now
	}
	for _, a := range out.Announcements {
		f.send(n, a)
	}
	for _, peer := range out.Pulls {
		f.pull(n, peer)
	}
	if out.ReadPlatform {
		f.readPlatform(n)
	}
	if f.config.allWatch {
		out.StartWatch, out.StopWatch = false, false
	}
	if out.StartWatch {
		f.startWatch(n)
	}
	if out.StopWatch {
		n.watching = false
		n.watchGeneration++
		delete(f.platform.pendingQueries, n)
	}
	for _, change := range out.Changes {
		if change.Refused {
			n.refused++
		}
	}
}

func (f *fleet) countBytes(n *node, bytes int) { n.bytesBySecond[f.now/time.Second] += bytes }

func (f *fleet) linkDelay(a, b *node) time.Duration {
	base := otherRegionDelay
	switch {
	case a.dc == b.dc:
		base = localDelay
	case f.region(a.dc) == f.region(b.dc):
		base = sameRegionDelay
	}
	return base + time.Duration(f.random.Int64N(int64(base)/5))
}

func (f *fleet) lost(a, b *node) bool {
	return f.partitioned(a, b) || f.random.Float64() < f.config.loss
}

func (f *fleet) send(from *node, a Announcement) {
	if f.config.allWatch {
		return
	}
	to := f.byAddress[a.To]
	if to == nil {
		return
	}
	size := datagramHeader + envelopeBytes + proto.Size(a.Message)
	if f.config.wholeGossip {
		size += wholeBytes
	}
	if a.Base != (Version{}) {
		size += changeBytes
	}
	f.countBytes(from, size)
	if f.lost(from, to) {
		return
	}
	f.after(f.linkDelay(from, to), func() {
		f.countBytes(to, size)
		if f.config.wholeGossip || a.Base != (Version{}) && a.Base == to.core.Held() {
			version, _ := versionOf(a.Message)
			f.receiveBundle(to, version)
		}
		f.dispatch(to, func(out *Actions) {
			to.core.HandleAnnouncement(from.address, a.Message, f.now, out)
			if f.config.wholeGossip {
				out.Pulls, out.Announcements = nil, nil
			}
		})
	})
}

func (f *fleet) receiveBundle(n *node, version Version) {
	f.dispatch(n, func(out *Actions) {
		if version.Compare(n.core.Held()) > 0 {
			n.core.BundleApplied(version, "peer", f.now, out)
			f.recordHeld(n)
		}
		if f.config.wholeGossip {
			out.Announcements = nil
		}
	})
}

func (f *fleet) recordHeld(n *node) {
	if _, known := n.heldAt[n.core.Held().Sequence]; !known {
		n.heldAt[n.core.Held().Sequence] = f.now
	}
}

// pull simulates a transfer: three round trips and, with loss, a retransmission
// timeout of 200 ms or more for each lost segment.
func (f *fleet) pull(n *node, peer netip.AddrPort) {
	from := f.byAddress[peer]
	duration := 6 * f.linkDelay(n, from)
	for range 8 {
		for timeout := 200 * time.Millisecond; f.random.Float64() < f.config.loss && timeout < 4*time.Second; timeout *= 2 {
			duration += timeout
		}
	}
	fails := from.dead || from.paused || f.partitioned(n, from)
	if fails {
		duration = 3 * time.Second
	}
	core := n.core
	f.after(duration, func() {
		if n.core != core {
			return
		}
		if fails {
			f.dispatch(n, func(out *Actions) { core.PullDone(peer, PullFailed, f.now, out) })
			return
		}
		size := f.transferSize(n, from)
		f.countBytes(n, size)
		f.countBytes(from, size)
		f.dispatch(n, func(out *Actions) {
			if from.core.vms.version > core.vms.version {
				core.AcceptPeerVMs(from.core.vms.version, from.core.vms.hash)
				core.SetDirectory(f.directory, f.now, out)
			}
			if version := from.core.Held(); version.Compare(core.Held()) > 0 {
				core.BundleApplied(version, "peer", f.now, out)
				f.recordHeld(n)
				core.SetDirectory(f.directory, f.now, out)
			}
			core.PullDone(peer, PullOK, f.now, out)
		})
	})
}

func (f *fleet) transferSize(n, from *node) int {
	size := streamBytes
	switch {
	case n.core.Held() == (Version{}):
		size += wholeBytes
	case from.core.Held().Compare(n.core.Held()) > 0:
		size += changeBytes
	}
	if from.core.vms.version > n.core.vms.version {
		size += vmListBytes
	}
	return size
}

func (f *fleet) allHold(version Version) bool {
	for _, n := range f.nodes {
		if !n.dead && !n.paused && n.core.Held() != version {
			return false
		}
	}
	return true
}

func (f *fleet) allReady() bool {
	for _, n := range f.nodes {
		if !n.dead && !n.paused && !n.core.Ready() {
			return false
		}
	}
	return true
}

func (f *fleet) countReaders(dc int) (count int) {
	for _, n := range f.nodes {
		if n.dc == dc && !n.dead && !n.paused && n.core.Reading() {
			count++
		}
	}
	return count
}
