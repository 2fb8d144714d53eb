package dissemination

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/platform"
	"github.com/heathergw/heathergw/schema"
)

// The fleet drives many cores over in-memory links under virtual time. It
// models only what the cores see: delays, loss, transfers, the platform.

const (
	fleetTick      = 100 * time.Millisecond
	localDelay     = 500 * time.Microsecond
	nearDelay      = 5 * time.Millisecond
	farDelay       = 60 * time.Millisecond
	datagramHeader = 20 + 8 + 12 // IPv4, UDP and the datagram's fixed part
	envelopeBytes  = 9 + 6 + 4   // start id, counter and sequence of Control
	platformDelay  = 3 * time.Millisecond
)

type fleetConfig struct {
	seed            uint64
	entries, agents int
	dataCentres     int // half of them in each of two regions
	loss            float64
	noPlatform      bool
	// allWatch makes every process watch the platform (baseline).
	allWatch bool
	// wholeGossip sends the whole bundle to a random peer on every
	// announcement (baseline).
	wholeGossip bool
}

// Sizes on the wire at the design size, from BenchmarkTransfer with 880
// services, with 25% for TCP and IP headers of small segments.
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
	vms       []platform.VM
	directory *Directory
	view      *bundle.View
	platform  fakePlatform
	// cut reports whether no datagram or stream passes between two nodes.
	cut func(a, b *node) bool
}

type fakePlatform struct {
	version   Version
	vmIndex   uint64
	down      bool
	reads     map[time.Duration]int // by second
	waiting   map[*node]bool
	totalRead int
}

type node struct {
	core          *Core
	index         int
	dc            int
	entry         bool
	address       netip.AddrPort
	dead          bool
	paused        bool
	watching      bool
	watch         int // generation, so that answers of an old watch are ignored
	watchFailures int
	inForce       map[uint64]time.Duration
	bytes         map[time.Duration]int // sent and received by second
	readyAt       time.Duration
	reverted      bool
	refused       int
}

type event2 struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event2

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event2)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func versionNumber(n uint64) Version {
	v := Version{Sequence: n}
	v.Digest[0], v.Digest[1] = 1, byte(n)
	return v
}

func newFleet(config fleetConfig) *fleet {
	f := &fleet{
		config:    config,
		random:    rand.New(rand.NewPCG(config.seed, 7)),
		byAddress: map[netip.AddrPort]*node{},
		cut:       func(_, _ *node) bool { return false },
	}
	f.platform.reads = map[time.Duration]int{}
	f.platform.waiting = map[*node]bool{}
	f.platform.version = versionNumber(1)
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
	role := platform.RoleAgent
	if isEntry {
		role = platform.RoleEntry
	}
	f.nodes = append(f.nodes, n)
	f.byAddress[address] = n
	f.vms = append(f.vms, platform.VM{Name: n.name(), DataCentre: dcName(n.dc), Role: role, Address: address})
}

func (n *node) name() string { return fmt.Sprintf("vm%d", n.index) }

// restart replaces the process by a cold one and starts its ticks.
func (f *fleet) restart(n *node) {
	seeds := []netip.AddrPort{f.nodes[0].address, f.nodes[1%len(f.nodes)].address,
		f.nodes[len(f.nodes)/2].address, f.nodes[len(f.nodes)-1].address}
	n.core = New(Config{
		Name: n.name(), DataCentre: dcName(n.dc), Region: f.region(n.dc), Address: n.address,
		Entry: n.entry, Platform: true, Seeds: seeds, RandomSeed: f.config.seed<<20 + f.random.Uint64()>>44,
	})
	n.watching, n.dead, n.paused, n.readyAt = false, false, false, 0
	n.watch++
	n.inForce = map[uint64]time.Duration{}
	n.bytes = map[time.Duration]int{}
	generation := n.watch
	f.after(time.Duration(f.random.Int64N(int64(fleetTick))), func() { f.tick(n, n.core, generation) })
	if f.config.allWatch {
		f.after(time.Duration(f.random.Int64N(int64(startReadSpread))), func() { f.startWatch(n) })
	}
}

func (f *fleet) tick(n *node, core *Core, generation int) {
	if n.core != core || n.dead {
		return
	}
	if !n.paused {
		f.do(n, func(out *Actions) { core.Tick(f.now, out) })
	}
	f.after(fleetTick, func() { f.tick(n, core, generation) })
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, event2{f.now + d, f.order, run})
}

// runFor advances virtual time.
func (f *fleet) runFor(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event2)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// runUntil advances time until done or the bound, and reports which.
func (f *fleet) runUntil(bound time.Duration, done func() bool) bool {
	end := f.now + bound
	for f.now < end {
		if done() {
			return true
		}
		f.runFor(min(50*time.Millisecond, end-f.now))
	}
	return done()
}

// do runs an event at a node and carries out the actions.
func (f *fleet) do(n *node, event func(out *Actions)) {
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
		n.watch++
		delete(f.platform.waiting, n)
	}
	for _, change := range out.Changes {
		if change.Refused {
			n.refused++
		}
	}
}

func (f *fleet) count(n *node, bytes int) { n.bytes[f.now/time.Second] += bytes }

func (f *fleet) delay(a, b *node) time.Duration {
	base := farDelay
	switch {
	case a.dc == b.dc:
		base = localDelay
	case f.region(a.dc) == f.region(b.dc):
		base = nearDelay
	}
	return base + time.Duration(f.random.Int64N(int64(base)/5))
}

func (f *fleet) lost(a, b *node) bool {
	return f.cut(a, b) || f.random.Float64() < f.config.loss
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
	f.count(from, size)
	if f.lost(from, to) {
		return
	}
	f.after(f.delay(from, to), func() {
		f.count(to, size)
		if f.config.wholeGossip || a.Base != (Version{}) && a.Base == to.core.Held() {
			version, _ := versionOf(a.Message)
			f.receive(to, version)
		}
		f.do(to, func(out *Actions) {
			to.core.Announcement(from.address, a.Message, f.now, out)
			if f.config.wholeGossip {
				out.Pulls, out.Announcements = nil, nil
			}
		})
	})
}

func (f *fleet) receive(n *node, version Version) {
	f.do(n, func(out *Actions) {
		if version.Compare(n.core.Held()) > 0 {
			n.core.Received(version, "peer", f.now, out)
			f.applied(n)
		}
		if f.config.wholeGossip {
			out.Announcements = nil
		}
	})
}

func (f *fleet) applied(n *node) {
	if _, known := n.inForce[n.core.Held().Sequence]; !known {
		n.inForce[n.core.Held().Sequence] = f.now
	}
}

// pull models a transfer: three round trips and, with loss, a retransmission
// timeout of 200 ms or more for each lost segment.
func (f *fleet) pull(n *node, peer netip.AddrPort) {
	from := f.byAddress[peer]
	duration := 6 * f.delay(n, from)
	for range 8 {
		for timeout := 200 * time.Millisecond; f.random.Float64() < f.config.loss && timeout < 4*time.Second; timeout *= 2 {
			duration += timeout
		}
	}
	fails := from.dead || from.paused || f.cut(n, from)
	if fails {
		duration = 3 * time.Second
	}
	core := n.core
	f.after(duration, func() {
		if n.core != core {
			return
		}
		if fails {
			f.do(n, func(out *Actions) { core.PullDone(peer, PullFailed, f.now, out) })
			return
		}
		size := f.transferSize(n, from)
		f.count(n, size)
		f.count(from, size)
		f.do(n, func(out *Actions) {
			if from.core.vms.version > core.vms.version {
				core.OfferVMs(from.core.vms.version, from.core.vms.hash)
				core.SetDirectory(f.directory, f.now, out)
			}
			if version := from.core.Held(); version.Compare(core.Held()) > 0 {
				core.Received(version, "peer", f.now, out)
				f.applied(n)
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

func (f *fleet) everyoneHolds(version Version) bool {
	for _, n := range f.nodes {
		if !n.dead && !n.paused && n.core.Held() != version {
			return false
		}
	}
	return true
}

func (f *fleet) everyoneReady() bool {
	for _, n := range f.nodes {
		if !n.dead && !n.paused && !n.core.Ready() {
			return false
		}
	}
	return true
}

func (f *fleet) readers(dc int) (count int) {
	for _, n := range f.nodes {
		if n.dc == dc && !n.dead && !n.paused && n.core.Reading() {
			count++
		}
	}
	return count
}
