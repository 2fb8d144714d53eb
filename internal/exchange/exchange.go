// Package exchange spreads what the store says among the processes of a fleet:
// a few read the store and tell the others, and any process that knows a
// greater revision brings the rest up to date.
//
// Lock order: Directory.mu and Directory.compressMu are never held together;
// nothing is sent while one is held.
package exchange

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/klauspost/compress/flate"
	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/internal/logging"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/wire"
)

const (
	// tickInterval is how often beats and duties are looked at.
	tickInterval = 200 * time.Millisecond
	// gossipInterval is how often a process that does not read compares its
	// revision with random peers.
	gossipInterval = 600 * time.Millisecond
	// gossipPeers is the number of random peers it asks.
	gossipPeers = 2
	// maxFanOut bounds the peers that a reader tells directly; in larger
	// fleets the rest learns from peers.
	maxFanOut = 128
	// relayPeers is the number of peers that a process passes a change to.
	relayPeers = 2
	// entryLifetime is how long an entry is kept without a message from it.
	entryLifetime = 5 * time.Second
	// maxEntriesTold bounds the addresses of entries in one datagram.
	maxEntriesTold = 32
	// maxDatagram is the largest Exchange in bytes that is sent as a datagram:
	// an Ethernet frame less the headers of IP and UDP, with room to spare.
	maxDatagram = 1300
	// readGap spaces the reads of one process, so that one answer carries
	// several changes.
	readGap = 150 * time.Millisecond
	// Failed reads are repeated with exponential backoff and jitter.
	retryMin = 150 * time.Millisecond
	retryMax = 1500 * time.Millisecond
	// confirmGap spaces the calls that confirm the view on demand; all flows
	// without an owner in the fleet share one. A caller whose flow is gone has
	// 200 ms for the search, the reset, a new opening and its request.
	confirmGap = 25 * time.Millisecond
	// answerLatency is what an answer of a waiting watch may have taken at the
	// most to arrive, for the time at which it was true.
	answerLatency = 200 * time.Millisecond
	// retryMaxReader is shorter, because the fleet waits for its readers.
	retryMaxReader = 400 * time.Millisecond
)

// Settings of a Directory.
type Settings struct {
	// Listen is the address for datagrams and streams of peers; its port is
	// that of all VMs.
	Listen netip.AddrPort
	// Entry tells the role of the process.
	Entry bool
	// Seeds are VMs that may run an entry.
	Seeds []netip.Addr
	// AgentPort is the port at which agents take packets.
	AgentPort uint16
	// StartID differs at every start of the process.
	StartID uint64
	// Silent returns the ids of members that do not answer this process, and
	// Noticed takes those that do not answer a peer. Both may be nil.
	Silent  func() []uint32
	Noticed func(ids []uint32)
}

// Published is what a directory passes to the packet path.
type Published struct {
	// View is nil when only AsOf changed.
	View *catalog.View
	// AsOf is the time of the store's last confirmation.
	AsOf    int64
	Changes []catalog.Change
	// Source says who told: "store", or the peer's address.
	Source string
}

type peer struct {
	entry    bool
	heardAt  int64
	readerAt int64
	revision uint64
}

// Directory holds the knowledge of a process and keeps it up to date.
type Directory struct {
	settings Settings
	log      *logging.Log
	// store serves the reading loop, confirmStore the confirmations.
	store        *configstore.Store
	confirmStore *configstore.Store
	socket       *wire.Socket
	streams      net.Listener
	publish      func(Published)
	heard        func(netip.Addr)
	duty         duty

	mu       sync.Mutex // guards the fields below
	catalog  *catalog.Catalog
	peers    map[netip.Addr]*peer
	seeds    []netip.Addr
	storeOK  bool
	stopping bool
	// nextBeat, nextGossip and nextProbe are times of the monotonic clock.
	nextBeat   int64
	nextGossip int64
	nextProbe  int64

	// compressMu guards compressor; no other lock is taken under it.
	compressMu sync.Mutex
	compressor *flate.Writer

	pulls    chan netip.Addr
	confirms chan int64
	counters counters
}

type counters struct {
	beatsSent, beatsReceived, bad, pulls, pullsFailed, pushes, lists, watches, failures tally.Counter
	// viewAge is in seconds.
	viewAge, peers tally.Gauge
}

// New returns a directory that owns its sockets. publish is called whenever the
// knowledge changes, never concurrently; heard for every datagram of a peer.
func New(s Settings, decode catalog.DecodeFunc, newStore func() *configstore.Store, log *logging.Log, scope tally.Scope,
	publish func(Published), heard func(netip.Addr),
) (*Directory, error) {
	socket, err := wire.Listen(s.Listen.String())
	if err != nil {
		return nil, err
	}
	streams, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	scope = scope.SubScope("exchange")
	return &Directory{
		settings: s, log: log, store: newStore(), confirmStore: newStore(), socket: socket, streams: streams, publish: publish, heard: heard,
		duty:     duty{self: s.Listen.Addr(), entry: s.Entry, startedAt: node.Clock()},
		catalog:  catalog.New(decode),
		peers:    map[netip.Addr]*peer{},
		seeds:    s.Seeds,
		pulls:    make(chan netip.Addr, 1),
		confirms: make(chan int64, 1),
		counters: counters{
			beatsSent: scope.Counter("beats_sent"), beatsReceived: scope.Counter("beats_received"),
			bad: scope.Counter("bad_datagrams"), pulls: scope.Counter("pulls"),
			pullsFailed: scope.Counter("pulls_failed"), pushes: scope.Counter("pushes"),
			lists: scope.Counter("store_lists"), watches: scope.Counter("store_watches"),
			failures: scope.Counter("store_failures"),
			viewAge:  scope.Gauge("view_age_seconds"), peers: scope.Gauge("peers"),
		},
	}, nil
}

// AddActors adds the goroutines of the directory to the group; stop ends ctx.
func (d *Directory) AddActors(group *run.Group, ctx context.Context, stop func()) {
	closeSockets := func(error) { _ = d.Close() } // the readers then return
	group.Add(d.receive, closeSockets)
	group.Add(d.serveStreams, closeSockets)
	node.AddActor(group, ctx, stop, d.readStore)
	node.AddActor(group, ctx, stop, d.pullLoop)
	node.AddActor(group, ctx, stop, d.confirmLoop)
	node.AddActor(group, ctx, stop, func(c context.Context) error {
		return node.Every(c, tickInterval, func() { d.tick(node.Clock()) })
	})
}

// Close closes the sockets.
func (d *Directory) Close() error { return errors.Join(d.socket.Close(), d.streams.Close()) }

// SetStopping tells peers that this process no longer reads for them.
func (d *Directory) SetStopping() {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
}

// SetSeeds replaces the seeds.
func (d *Directory) SetSeeds(seeds []netip.Addr) {
	d.mu.Lock()
	d.seeds = seeds
	d.mu.Unlock()
}

// Answer sends what this process knows to a peer that probed it.
func (d *Directory) Answer(to netip.Addr) {
	d.mu.Lock()
	m := d.beat(node.Clock())
	d.mu.Unlock()
	d.send(m, to)
}

// finish publishes a change; d.mu is held.
func (d *Directory) finish(before uint64, changes []catalog.Change, source string, now int64) {
	p := Published{AsOf: d.catalog.AsOf(), Changes: changes, Source: source}
	if d.catalog.Revision() != before {
		p.View = d.catalog.View(now, d.settings.AgentPort)
		d.setAgents(p.View)
	}
	d.publish(p)
}
