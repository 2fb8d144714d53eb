package dissemination

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/schema"
)

const (
	// pushPeers is the number of peers that learn of a new bundle at once: two
	// of the own data centre, one of another in the region, one of another
	// region.
	pushPeers = 4
	// heardPeers bounds the senders that are remembered beside the directory.
	heardPeers = 32
	// heardShare is the share of announcements that go to a heard or seed
	// peer, so that a stale VM list cannot cut a process off.
	heardShare = 1.0 / 16
	// repliesPerSecond bounds announcements in answer to announcements. A
	// fleet that restarts at once asks a few seeds.
	repliesPerSecond = 200
	// ownShare and nearShare divide announcements between the own data centre
	// and the others of the region; the rest crosses to other regions. Links
	// between data centres are costly.
	ownShare  = 0.6
	nearShare = 0.25
)

// Config holds the settings of a Core.
type Config struct {
	// Name is the VM's name in the VM list.
	Name       string
	DataCentre string
	Region     string
	// Address is the own listen address; it is never picked as a peer.
	Address netip.AddrPort
	// Entry tells that the process may become a reader of the platform.
	Entry bool
	// Platform tells that a platform is configured.
	Platform bool
	// Seeds are asked while the fleet is not known yet.
	Seeds []netip.AddrPort
	// RandomSeed seeds all random choices.
	RandomSeed uint64
	// ReadSpread is the time over which the first read of the platform is
	// spread at random. Default 3 s: a fleet of 2,740 that restarts at once
	// then reads bundles and VM lists about 1,060 times a second.
	ReadSpread time.Duration
	// Readers is the number of readers in each data centre. Default 3.
	Readers int
	// AntiEntropy is the interval of announcements. Default 500 ms.
	AntiEntropy time.Duration
	// FailureTimeout is the gap between two ticks after which the process
	// counts as having been paused. Default 1 s.
	FailureTimeout time.Duration
}

// Core decides which peers learn of a bundle, from whom to pull, and whether
// this process reads the platform. Times are readings of a monotonic clock. It
// is not safe for concurrent use.
type Core struct {
	config Config
	random *rand.Rand

	held      Version
	vms       vmList
	directory *Directory
	// near and far list the peers of the other data centres of the region and
	// of other regions, one slice for each data centre.
	near, far [][]netip.AddrPort
	heard     []netip.AddrPort
	nextHeard int

	nextAnnouncement time.Duration
	replies          *rate.Limiter
	lastTick         time.Duration

	readers readers
	pulls   pulls
	start   start
}

// New returns a core without a bundle. The first Tick begins the start phase.
func New(config Config) *Core {
	if config.Readers == 0 {
		config.Readers = bundle.DefaultReaders
	}
	if config.ReadSpread == 0 {
		config.ReadSpread = startReadSpread
	}
	if config.AntiEntropy == 0 {
		config.AntiEntropy = bundle.DefaultAntiEntropyInterval
	}
	if config.FailureTimeout == 0 {
		config.FailureTimeout = bundle.DefaultFailureTimeout
	}
	c := &Core{
		config:  config,
		random:  rand.New(rand.NewPCG(config.RandomSeed, 0x68656174686572)),
		replies: rate.NewLimiter(repliesPerSecond, repliesPerSecond),
	}
	c.readers.beats = map[uint32]time.Duration{}
	c.readers.self = nameHash(config.Name)
	c.pulls.blocked = map[netip.AddrPort]block{}
	c.start.heard = map[string]bool{}
	return c
}

// Held returns the version in force.
func (c *Core) Held() Version { return c.held }

// Reading reports whether this process watches the platform.
func (c *Core) Reading() bool { return c.readers.reading }

// Ready reports whether the start phase is over: the process holds the highest
// bundle that the platform and a peer of every data centre named within the
// start bound.
func (c *Core) Ready() bool { return c.start.ready }

// Fresh reports whether the process has compared its bundle with a peer since
// it was last paused, or has waited for that long enough. A process that is
// not fresh places no openings.
func (c *Core) Fresh() bool { return c.start.ready && !c.start.stale }

// Tick handles timers. The caller calls it at least every 100 ms.
func (c *Core) Tick(now time.Duration, out *Actions) {
	if !c.start.begun {
		c.begin(now)
	} else if now-c.lastTick > c.config.FailureTimeout {
		c.wake(now, out)
	}
	c.lastTick = now
	if now >= c.nextAnnouncement {
		// The jitter of half an interval keeps processes that started together
		// from announcing together.
		jitter := 0.75 + c.random.Float64()/2
		c.nextAnnouncement = now + time.Duration(jitter*float64(c.config.AntiEntropy))
		c.announce(c.pick(), false, now, out)
	}
	c.tickStart(now, out)
	c.tickReaders(now, out)
	c.nextPull(now, out)
}

// Announcement handles an announcement of a peer. Datagrams are authenticated
// and their counters checked before.
func (c *Core) Announcement(from netip.AddrPort, m *schema.Announcement, now time.Duration, out *Actions) {
	version, ok := versionOf(m)
	if !ok {
		out.Changes = append(out.Changes, Change{Source: from.String(), Subject: "announcement",
			Reason: "digest: not 32 bytes", Refused: true})
		return
	}
	peer := from
	if s := m.GetStreamAddress(); s != "" {
		address, err := netip.ParseAddrPort(s)
		if err != nil {
			out.Changes = append(out.Changes, Change{Source: from.String(), Subject: "announcement",
				Reason: "stream_address: " + err.Error(), Refused: true})
			return
		}
		peer = address
	}
	c.hear(from)
	c.hearBeats(m, now)
	behind := c.offer(peer, version, m.GetVmVersion(), now)
	c.heardDataCentre(m.GetDataCentre(), behind)
	ahead := c.held.Compare(version) > 0 || c.vms.version > m.GetVmVersion()
	if m.GetReplyRequested() || ahead && !behind {
		c.reply(from, version, now, out)
	}
	c.nextPull(now, out)
}

// ObserveSequence handles the bundle sequence that any datagram of a peer
// carries.
func (c *Core) ObserveSequence(peer netip.AddrPort, sequence uint64, now time.Duration, out *Actions) {
	if sequence <= c.held.Sequence {
		return
	}
	c.offer(peer, Version{Sequence: sequence}, 0, now)
	c.nextPull(now, out)
}

// Received tells that a verified bundle is in force. source names where it
// came from. A version that is not greater than the one held is ignored.
func (c *Core) Received(version Version, source string, now time.Duration, out *Actions) {
	if version.Compare(c.held) <= 0 {
		return
	}
	previous := c.held
	c.held = version
	c.pulls.failures = 0
	c.start.stale = false
	c.dropOffers()
	for _, peer := range c.pushTargets() {
		c.announceFrom(peer, previous, now, out)
	}
}

// SetDirectory replaces the list of processes, after the VM list or the bundle
// changed. An empty directory is ignored.
func (c *Core) SetDirectory(d *Directory, now time.Duration, out *Actions) {
	if d.Size() == 0 {
		return
	}
	c.directory = d
	c.near, c.far = c.near[:0], c.far[:0]
	own := c.config.Region
	for _, dc := range d.dataCentres {
		region := d.regions[dc]
		switch {
		case dc == c.config.DataCentre:
		case region == "" || region == own:
			c.near = append(c.near, d.peers[dc])
		default:
			c.far = append(c.far, d.peers[dc])
		}
	}
	c.tickReaders(now, out)
}

// SetReaders replaces the number of readers in each data centre.
func (c *Core) SetReaders(n int) { c.config.Readers = n }

func (c *Core) reply(to netip.AddrPort, held Version, now time.Duration, out *Actions) {
	if c.replies.AllowN(time.Unix(0, int64(now)), 1) {
		c.announceFrom(to, held, now, out)
	}
}

// announceFrom announces to a peer that probably holds base.
func (c *Core) announceFrom(to netip.AddrPort, base Version, now time.Duration, out *Actions) {
	n := len(out.Announcements)
	c.announce(to, false, now, out)
	if len(out.Announcements) > n && base.Compare(c.held) < 0 {
		out.Announcements[n].Base = base
	}
}

func (c *Core) announce(to netip.AddrPort, replyRequested bool, now time.Duration, out *Actions) {
	if !to.IsValid() || to == c.config.Address {
		return
	}
	m := &schema.Announcement{
		Sequence:       c.held.Sequence,
		DataCentre:     c.config.DataCentre,
		VmVersion:      c.vms.version,
		ReplyRequested: replyRequested,
		Readers:        c.beatsToSend(now),
	}
	if c.held.Sequence != 0 {
		m.Digest = slices.Clone(c.held.Digest[:])
	}
	out.Announcements = append(out.Announcements, Announcement{To: to, Message: m})
}

// hear remembers a sender in a ring. It keeps processes reachable that a stale
// VM list does not name.
func (c *Core) hear(from netip.AddrPort) {
	if slices.Contains(c.heard, from) {
		return
	}
	if len(c.heard) < heardPeers {
		c.heard = append(c.heard, from)
		return
	}
	c.heard[c.nextHeard] = from
	c.nextHeard = (c.nextHeard + 1) % heardPeers
}

// pick returns a random peer, or the zero value when none is known.
func (c *Core) pick() netip.AddrPort {
	if c.directory == nil || c.random.Float64() < heardShare {
		return c.pickHeard()
	}
	share := c.random.Float64()
	switch {
	case share < ownShare:
		return c.pickOwn()
	case share < ownShare+nearShare:
		return c.pickOf(c.near)
	}
	return c.pickOf(c.far)
}

func (c *Core) pickHeard() netip.AddrPort {
	n := len(c.heard) + len(c.config.Seeds)
	if n == 0 {
		return netip.AddrPort{}
	}
	i := c.random.IntN(n)
	if i < len(c.heard) {
		return c.heard[i]
	}
	return c.config.Seeds[i-len(c.heard)]
}

func (c *Core) pickOwn() netip.AddrPort {
	if peers := c.directory.peers[c.config.DataCentre]; len(peers) > 1 {
		return c.pickFrom(peers)
	}
	return c.pickElsewhere()
}

func (c *Core) pickOf(dataCentres [][]netip.AddrPort) netip.AddrPort {
	if len(dataCentres) == 0 {
		return c.pickOwnOrHeard()
	}
	return c.pickFrom(dataCentres[c.random.IntN(len(dataCentres))])
}

func (c *Core) pickOwnOrHeard() netip.AddrPort {
	if peers := c.directory.peers[c.config.DataCentre]; len(peers) > 1 {
		return c.pickFrom(peers)
	}
	return c.pickHeard()
}

func (c *Core) pickElsewhere() netip.AddrPort {
	if len(c.near) > 0 {
		return c.pickOf(c.near)
	}
	return c.pickOf(c.far)
}

// pickFrom returns a random peer other than this process. A list that holds
// only this process yields the own address, which announce skips.
func (c *Core) pickFrom(peers []netip.AddrPort) netip.AddrPort {
	i := c.random.IntN(len(peers))
	if peers[i] == c.config.Address {
		i = (i + 1) % len(peers)
	}
	return peers[i]
}

// pushTargets returns distinct peers for a push.
func (c *Core) pushTargets() []netip.AddrPort {
	targets := make([]netip.AddrPort, 0, pushPeers)
	add := func(peer netip.AddrPort) {
		if peer.IsValid() && !slices.Contains(targets, peer) {
			targets = append(targets, peer)
		}
	}
	if c.directory == nil {
		for range pushPeers {
			add(c.pickHeard())
		}
		return targets
	}
	add(c.pickOf(c.far))
	add(c.pickElsewhere())
	for range 2 * pushPeers {
		if len(targets) == pushPeers {
			break
		}
		add(c.pickOwn())
	}
	return targets
}
