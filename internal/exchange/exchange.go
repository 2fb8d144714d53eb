// Package exchange distributes the content of the store among the processes of a
// fleet. A few processes read the store and send changes to the others; a process
// that is behind gets the missing changes from any peer with a newer revision.
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
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/flate"
	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/internal/logging"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/internal/worksharing"
)

const (
	// tickInterval is how often a directory checks whether heartbeats are due.
	tickInterval = 200 * time.Millisecond
	// gossipInterval is how often a process that is not a reader compares its
	// revision with that of random peers.
	gossipInterval = 600 * time.Millisecond
	// gossipFanOut is the number of random peers in one such comparison.
	gossipFanOut = 2
	// maxFanOut bounds the peers to which a reader sends directly; in larger
	// fleets the rest receive changes from other peers.
	maxFanOut = 128
	// relayPeers is the number of peers to which a process relays a change.
	relayPeers = 2
	// entryTimeout is the time without a message after which an entry is removed.
	entryTimeout = 5 * time.Second
	// maxEntriesSent bounds the addresses of entries in one datagram.
	maxEntriesSent = 32
	// maxDatagram is the size in bytes of the largest Exchange that is sent as a
	// datagram: an Ethernet frame minus the IP and UDP headers, with a margin.
	maxDatagram = 1300
	// readInterval separates the reads of one process, so that one response
	// carries several changes.
	readInterval = 150 * time.Millisecond
	// retryMin and retryMax bound the delay before a failed read is retried. The
	// delay grows exponentially and has jitter.
	retryMin = 150 * time.Millisecond
	retryMax = 1500 * time.Millisecond
	// confirmInterval separates the calls that confirm the view on demand; all
	// flows without an owner in the fleet share one call. A client whose flow is
	// lost has 200 ms for the search, the reset, a new opening and its request.
	confirmInterval = 25 * time.Millisecond
	// maxResponseLatency is the assumed upper bound on the time that the response
	// to a blocking watch takes to arrive. The age of its data is based on it.
	maxResponseLatency = 200 * time.Millisecond
	// retryMaxReader is shorter than retryMax, because the fleet depends on its
	// readers.
	retryMaxReader = 400 * time.Millisecond
)

// Settings configure a Directory.
type Settings struct {
	// Listen is the address for datagrams and streams from peers. All VMs use
	// the same port.
	Listen netip.AddrPort
	// Entry is set for an entry and unset for an agent.
	Entry bool
	// Seeds are the addresses of VMs that may run an entry.
	Seeds []netip.Addr
	// AgentPort is the port on which agents receive packets.
	AgentPort uint16
	// StartID is different for each start of the process.
	StartID uint64
	// SilentMembers returns the IDs of members that do not answer this process.
	// OnSilentReport is called with the IDs of those that do not answer a peer.
	// Both may be nil.
	SilentMembers  func() []uint32
	OnSilentReport func(ids []uint32)
	// OnLeaving is called when a peer announces that it exits; it may be nil.
	OnLeaving func(peer netip.Addr)
	// OnOffer and OnPull are called with the offers and pulls of waiting openings from
	// other agents; both are nil in an entry.
	OnOffer func(peer netip.Addr, o worksharing.Offer)
	OnPull  func(peer netip.Addr, p worksharing.Pull)
}

// Update is what a directory passes to the packet path after it received data.
type Update struct {
	// View is nil when only AsOf changed.
	View *catalog.View
	// AsOf is the time of the store's last confirmation.
	AsOf    int64
	Changes []catalog.Change
	// Source is the origin of the changes: sourceStore, the address of a peer, or
	// sourceExpiry.
	Source string
}

// Values of Update.Source.
const (
	sourceStore = "store"
	// sourceExpiry is the source of changes that are due to the passing of time.
	sourceExpiry = "expiry"
)

type peer struct {
	entry               bool
	lastHeard           int64
	lastReaderHeartbeat int64
	position            catalog.Position
	// lostDigest identifies the peer's lost items, mergedDigest those of them that were
	// merged last; see catalog.LostDigest.
	lostDigest, mergedDigest uint64
}

// Directory holds a process's copy of the store's content and its list of peers,
// and keeps both up to date.
type Directory struct {
	settings Settings
	log      *logging.Log
	// store is used by the read loop, confirmStore by the confirm loop.
	store        *configstore.Store
	confirmStore *configstore.Store
	socket       *wire.Socket
	streams      net.Listener
	publish      func(Update)
	onHeartbeat  func(netip.Addr)
	election     readerElection

	mu       sync.Mutex // guards the fields below
	catalog  *catalog.Catalog
	peers    map[netip.Addr]*peer
	seeds    []netip.Addr
	storeOK  bool
	stopping bool
	// storeBehind is set while the store returns earlier positions than known ones,
	// unconfirmed while the catalog is older than confirmationBound.
	storeBehind bool
	unconfirmed bool
	// nextHeartbeat, nextGossip and nextProbe are times of the monotonic clock.
	nextHeartbeat int64
	nextGossip    int64
	nextProbe     int64

	// compressMu guards compressor; no other lock is taken under it.
	compressMu sync.Mutex
	compressor *flate.Writer
	// responses holds a value for each response to a pull that is being encoded.
	responses chan struct{}

	pulls    chan netip.Addr
	confirms chan int64
	counters counters
	// leaving is set once this process has announced that it exits.
	leaving atomic.Bool
}

type counters struct {
	heartbeatsSent, heartbeatsReceived, badDatagrams, pulls, pullsFailed, pushes, storeLists, storeWatches, storeFailures tally.Counter
	// storeBehind counts responses with an earlier position than the one known before
	// the call, storeRestores returns of the store from an older copy that this process
	// learned from the store itself.
	storeBehind, storeRestores tally.Counter
	// viewAge is in seconds; viewUnconfirmed is 1 while it exceeds confirmationBound.
	viewAge, viewUnconfirmed, peers tally.Gauge
	// storeEra and storeRevision are those of the store's latest response.
	storeEra, storeRevision tally.Gauge
}

// New returns a directory that owns its sockets. publish is called, never
// concurrently, when the view or the time of its last confirmation may have
// changed; onHeartbeat is called for every valid datagram from a peer.
func New(s Settings, decode catalog.DecodeFunc, newStore func() *configstore.Store, log *logging.Log, scope tally.Scope,
	publish func(Update), onHeartbeat func(netip.Addr),
) (*Directory, error) {
	socket, streams, err := wire.ListenPair(s.Listen.String())
	if err != nil {
		return nil, err
	}
	scope = scope.SubScope("exchange")
	store, confirmStore := newStore(), newStore()
	store.Prepare, confirmStore.Prepare = decode.PrepareAll, decode.PrepareAll
	return &Directory{
		settings: s, log: log, store: store, confirmStore: confirmStore, socket: socket, streams: streams, publish: publish, onHeartbeat: onHeartbeat,
		election:  readerElection{self: s.Listen.Addr(), entry: s.Entry, startedAt: node.Clock()},
		catalog:   catalog.New(decode),
		responses: make(chan struct{}, maxConcurrentResponses),
		peers:     map[netip.Addr]*peer{},
		seeds:     s.Seeds,
		pulls:     make(chan netip.Addr, 1),
		confirms:  make(chan int64, 1),
		counters: counters{
			heartbeatsSent: scope.Counter("beats_sent"), heartbeatsReceived: scope.Counter("beats_received"),
			badDatagrams: scope.Counter("bad_datagrams"), pulls: scope.Counter("pulls"),
			pullsFailed: scope.Counter("pulls_failed"), pushes: scope.Counter("pushes"),
			storeLists: scope.Counter("store_lists"), storeWatches: scope.Counter("store_watches"),
			storeFailures: scope.Counter("store_failures"),
			storeBehind:   scope.Counter("store_behind"), storeRestores: scope.Counter("store_restores"),
			viewAge: scope.Gauge("view_age_seconds"), viewUnconfirmed: scope.Gauge("view_unconfirmed"), peers: scope.Gauge("peers"),
			storeEra: scope.Gauge("store_response_era"), storeRevision: scope.Gauge("store_response_revision"),
		},
	}, nil
}

// AddActors adds the goroutines of the directory to the group; stop cancels ctx.
func (d *Directory) AddActors(group *run.Group, ctx context.Context, stop func()) {
	closeSockets := func(error) { _ = d.Close() } // unblocks receive and serveStreams
	group.Add(d.receive, closeSockets)
	group.Add(d.serveStreams, closeSockets)
	node.AddActor(group, ctx, stop, d.readLoop)
	node.AddActor(group, ctx, stop, d.pullLoop)
	node.AddActor(group, ctx, stop, d.confirmLoop)
	node.AddActor(group, ctx, stop, func(c context.Context) error {
		d.tick(node.Clock()) // a fresh process asks for its first view at once
		return node.RunPeriodically(c, tickInterval, func() { d.tick(node.Clock()) })
	})
}

// Close closes the sockets.
func (d *Directory) Close() error { return errors.Join(d.socket.Close(), d.streams.Close()) }

// SetStopping announces to peers that this process no longer reads the store for
// them.
func (d *Directory) SetStopping() {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
}

// Leave announces to all peers that this process exits, so that they send it nothing
// more. From then on it sends no messages, since a peer takes each for a sign of life.
func (d *Directory) Leave() {
	d.mu.Lock()
	m, recipients := d.heartbeat(node.Clock()), d.samplePeers(len(d.peers))
	d.mu.Unlock()
	m.Leaving, m.Reader, m.Stopping = true, false, true
	d.leaving.Store(true)
	d.sendAll(m, recipients)
}

// SetSeeds replaces the seeds.
func (d *Directory) SetSeeds(seeds []netip.Addr) {
	d.mu.Lock()
	d.seeds = seeds
	d.mu.Unlock()
}

// SendHeartbeat sends a heartbeat to a peer that probed this process.
func (d *Directory) SendHeartbeat(to netip.Addr) {
	d.mu.Lock()
	m := d.heartbeat(node.Clock())
	d.mu.Unlock()
	d.send(m, to)
}

// publishUpdate publishes the state of the catalog, with a new view if the
// position differs from before or the content changed; d.mu is held.
func (d *Directory) publishUpdate(before catalog.Position, changes []catalog.Change, source string, now int64) {
	u := Update{AsOf: d.catalog.AsOf(), Changes: changes, Source: source}
	if d.catalog.Position() != before || len(changes) > 0 {
		u.View = d.catalog.View(now, d.settings.AgentPort)
		d.setAgents(u.View)
	}
	d.publish(u)
}
