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
	// pushFanout is the number of peers to which a new bundle is announced at
	// once: two in the local data centre, one in another data centre of the
	// region, one in another region.
	pushFanout = 4
	// maxRecentSenders bounds the senders that are remembered in addition to
	// the directory.
	maxRecentSenders = 32
	// recentSenderShare is the fraction of announcements that go to a recent
	// sender or a seed, so that a stale VM list cannot isolate a process.
	recentSenderShare = 1.0 / 16
	// repliesPerSecond limits the announcements sent in reply to announcements.
	// When a whole fleet restarts at once, all its processes contact a few seeds.
	repliesPerSecond = 200
	// localShare and regionShare are the fractions of announcements that go to
	// the local data centre and to the other data centres of the region; the
	// rest goes to other regions. Links between data centres are costly.
	localShare  = 0.6
	regionShare = 0.25
)

// Config holds the settings of a Core.
type Config struct {
	// Name is the name of the VM in the VM list.
	Name       string
	DataCentre string
	Region     string
	// Address is the listen address of this process; it is never picked as a
	// peer.
	Address netip.AddrPort
	// Entry is set if the process may become a reader of the platform.
	Entry bool
	// Platform is set if a platform is configured.
	Platform bool
	// Seeds are peers to contact while the fleet is not known yet.
	Seeds []netip.AddrPort
	// RandomSeed seeds the random number generator of all random choices.
	RandomSeed uint64
	// InitialReadJitter is the interval over which the first read of the
	// platform is delayed at random. Default 3 s: when a fleet of 2,740
	// processes restarts at once, it reads bundles and VM lists about 1,060
	// times a second.
	InitialReadJitter time.Duration
	// Readers is the number of platform readers in each data centre. Default 3.
	Readers int
	// AntiEntropy is the interval between announcements. Default 500 ms.
	AntiEntropy time.Duration
	// FailureTimeout is the gap between two ticks beyond which the process is
	// considered to have been paused. Default 1 s.
	FailureTimeout time.Duration
}

// Core decides which peers to announce a bundle to, which peer to pull from, and
// whether this process reads the platform. Times are readings of a monotonic
// clock. Core is not safe for concurrent use.
type Core struct {
	config Config
	random *rand.Rand

	held      Version
	vms       vmListState
	directory *Directory
	// sameRegion and otherRegions list the peers of the other data centres in
	// the region and of the data centres in other regions, one slice per data
	// centre.
	sameRegion, otherRegions [][]netip.AddrPort
	recentSenders            []netip.AddrPort
	oldestSender             int

	nextAnnouncement time.Duration
	replyLimiter     *rate.Limiter
	lastTick         time.Duration

	election election
	pulls    pulls
	startup  startup
}

// NewCore returns a core without a bundle. The first Tick begins the startup
// phase.
func NewCore(config Config) *Core {
	if config.Readers == 0 {
		config.Readers = bundle.DefaultReaders
	}
	if config.InitialReadJitter == 0 {
		config.InitialReadJitter = defaultInitialReadJitter
	}
	if config.AntiEntropy == 0 {
		config.AntiEntropy = bundle.DefaultAntiEntropyInterval
	}
	if config.FailureTimeout == 0 {
		config.FailureTimeout = bundle.DefaultFailureTimeout
	}
	c := &Core{
		config:       config,
		random:       rand.New(rand.NewPCG(config.RandomSeed, 0x68656174686572)),
		replyLimiter: rate.NewLimiter(repliesPerSecond, repliesPerSecond),
	}
	c.election.heartbeats = map[uint32]time.Duration{}
	c.election.selfHash = nameHash(config.Name)
	c.pulls.blocked = map[netip.AddrPort]peerBlock{}
	c.startup.answered = map[string]bool{}
	return c
}

// Held returns the version of the current bundle.
func (c *Core) Held() Version { return c.held }

// Reading reports whether this process watches the platform.
func (c *Core) Reading() bool { return c.election.reading }

// Ready reports whether the startup phase is over: the process holds the newest
// bundle that the platform and a peer of every data centre reported, or the
// startup timeout has expired and it holds some bundle.
func (c *Core) Ready() bool { return c.startup.ready }

// Fresh reports whether, since the last pause, the process has compared its
// bundle with a peer or has waited long enough for one. A process that is not
// fresh must not place new flows.
func (c *Core) Fresh() bool { return c.startup.ready && !c.startup.stale }

// Tick handles timers. It must be called at least every 100 ms.
func (c *Core) Tick(now time.Duration, out *Actions) {
	if !c.startup.started {
		c.beginStartup(now)
	} else if now-c.lastTick > c.config.FailureTimeout {
		c.handleResume(now, out)
	}
	c.lastTick = now
	if now >= c.nextAnnouncement {
		// A jitter of half an interval keeps processes that started together
		// from announcing at the same time.
		jitter := 0.75 + c.random.Float64()/2
		c.nextAnnouncement = now + time.Duration(jitter*float64(c.config.AntiEntropy))
		c.announce(c.pickPeer(), false, now, out)
	}
	c.tickStartup(now, out)
	c.tickElection(now, out)
	c.startNextPull(now, out)
}

// HandleAnnouncement handles an announcement from a peer. The caller has
// authenticated the datagram and checked its counter.
func (c *Core) HandleAnnouncement(from netip.AddrPort, m *schema.Announcement, now time.Duration, out *Actions) {
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
	c.rememberSender(from)
	c.mergeHeartbeats(m, now)
	behind := c.addCandidate(peer, version, m.GetVmVersion(), now)
	c.markDataCentreAnswered(m.GetDataCentre(), behind)
	ahead := c.held.Compare(version) > 0 || c.vms.version > m.GetVmVersion()
	if m.GetReplyRequested() || ahead && !behind {
		c.reply(from, version, now, out)
	}
	c.startNextPull(now, out)
}

// ObserveSequence handles the bundle sequence that every datagram of a peer
// carries.
func (c *Core) ObserveSequence(peer netip.AddrPort, sequence uint64, now time.Duration, out *Actions) {
	if sequence <= c.held.Sequence {
		return
	}
	c.addCandidate(peer, Version{Sequence: sequence}, 0, now)
	c.startNextPull(now, out)
}

// BundleApplied handles that a verified bundle from source became the current
// bundle. A version that is not greater than the held one is ignored.
func (c *Core) BundleApplied(version Version, source string, now time.Duration, out *Actions) {
	if version.Compare(c.held) <= 0 {
		return
	}
	previous := c.held
	c.held = version
	c.pulls.failures = 0
	c.startup.stale = false
	c.dropOutdatedCandidates()
	for _, peer := range c.pushRecipients() {
		c.announceWithBase(peer, previous, now, out)
	}
}

// SetDirectory replaces the list of processes after a change of the VM list or
// the bundle. An empty directory is ignored.
func (c *Core) SetDirectory(d *Directory, now time.Duration, out *Actions) {
	if d.Size() == 0 {
		return
	}
	c.directory = d
	c.sameRegion, c.otherRegions = c.sameRegion[:0], c.otherRegions[:0]
	localRegion := c.config.Region
	for _, dc := range d.dataCentres {
		region := d.regions[dc]
		switch {
		case dc == c.config.DataCentre:
		case region == "" || region == localRegion:
			c.sameRegion = append(c.sameRegion, d.peers[dc])
		default:
			c.otherRegions = append(c.otherRegions, d.peers[dc])
		}
	}
	c.tickElection(now, out)
}

// SetReaders sets the number of platform readers in each data centre.
func (c *Core) SetReaders(n int) { c.config.Readers = n }

func (c *Core) reply(to netip.AddrPort, base Version, now time.Duration, out *Actions) {
	if c.replyLimiter.AllowN(time.Unix(0, int64(now)), 1) {
		c.announceWithBase(to, base, now, out)
	}
}

// announceWithBase announces to a peer that probably holds base.
func (c *Core) announceWithBase(to netip.AddrPort, base Version, now time.Duration, out *Actions) {
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
		Readers:        c.recentHeartbeats(now),
	}
	if c.held.Sequence != 0 {
		m.Digest = slices.Clone(c.held.Digest[:])
	}
	out.Announcements = append(out.Announcements, Announcement{To: to, Message: m})
}

// rememberSender records a sender in a ring buffer, so that processes missing
// from a stale VM list stay reachable.
func (c *Core) rememberSender(from netip.AddrPort) {
	if slices.Contains(c.recentSenders, from) {
		return
	}
	if len(c.recentSenders) < maxRecentSenders {
		c.recentSenders = append(c.recentSenders, from)
		return
	}
	c.recentSenders[c.oldestSender] = from
	c.oldestSender = (c.oldestSender + 1) % maxRecentSenders
}

// pickPeer returns a random peer, or the zero value if none is known.
func (c *Core) pickPeer() netip.AddrPort {
	if c.directory == nil || c.random.Float64() < recentSenderShare {
		return c.pickRecentSenderOrSeed()
	}
	share := c.random.Float64()
	switch {
	case share < localShare:
		return c.pickLocal()
	case share < localShare+regionShare:
		return c.pickInDataCentres(c.sameRegion)
	}
	return c.pickInDataCentres(c.otherRegions)
}

func (c *Core) pickRecentSenderOrSeed() netip.AddrPort {
	n := len(c.recentSenders) + len(c.config.Seeds)
	if n == 0 {
		return netip.AddrPort{}
	}
	i := c.random.IntN(n)
	if i < len(c.recentSenders) {
		return c.recentSenders[i]
	}
	return c.config.Seeds[i-len(c.recentSenders)]
}

func (c *Core) pickLocal() netip.AddrPort {
	if peers := c.directory.peers[c.config.DataCentre]; len(peers) > 1 {
		return c.pickOther(peers)
	}
	return c.pickRemote()
}

func (c *Core) pickInDataCentres(dataCentres [][]netip.AddrPort) netip.AddrPort {
	if len(dataCentres) == 0 {
		return c.pickLocalOrRecentSender()
	}
	return c.pickOther(dataCentres[c.random.IntN(len(dataCentres))])
}

func (c *Core) pickLocalOrRecentSender() netip.AddrPort {
	if peers := c.directory.peers[c.config.DataCentre]; len(peers) > 1 {
		return c.pickOther(peers)
	}
	return c.pickRecentSenderOrSeed()
}

func (c *Core) pickRemote() netip.AddrPort {
	if len(c.sameRegion) > 0 {
		return c.pickInDataCentres(c.sameRegion)
	}
	return c.pickInDataCentres(c.otherRegions)
}

// pickOther returns a random peer other than this process. If the list holds
// only this process, it returns the local address, which announce skips.
func (c *Core) pickOther(peers []netip.AddrPort) netip.AddrPort {
	i := c.random.IntN(len(peers))
	if peers[i] == c.config.Address {
		i = (i + 1) % len(peers)
	}
	return peers[i]
}

// pushRecipients returns distinct peers to push a new bundle to.
func (c *Core) pushRecipients() []netip.AddrPort {
	recipients := make([]netip.AddrPort, 0, pushFanout)
	add := func(peer netip.AddrPort) {
		if peer.IsValid() && !slices.Contains(recipients, peer) {
			recipients = append(recipients, peer)
		}
	}
	if c.directory == nil {
		for range pushFanout {
			add(c.pickRecentSenderOrSeed())
		}
		return recipients
	}
	add(c.pickInDataCentres(c.otherRegions))
	add(c.pickRemote())
	for range 2 * pushFanout {
		if len(recipients) == pushFanout {
			break
		}
		add(c.pickLocal())
	}
	return recipients
}
