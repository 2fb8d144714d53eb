package dissemination

import "time"

const (
	// defaultInitialReadJitter spreads out the first reads of a fleet that
	// restarts at once: 2,740 reads of the bundle and 440 of the VM list give
	// about 1,060 reads a second.
	defaultInitialReadJitter = 3 * time.Second
	readBackoffMin           = 2 * time.Second
	readBackoffMax           = 30 * time.Second
	// startupTimeout bounds the wait for the platform and for peers.
	startupTimeout = 5 * time.Second
	// requestInterval is the time between two requests to a data centre that
	// has not answered.
	requestInterval = 500 * time.Millisecond
	// requestFanout is the number of seeds, or of random peers after a pause,
	// that are asked at a time.
	requestFanout = 3
	// freshnessTimeout bounds the wait for a peer after a pause.
	freshnessTimeout = time.Second
)

// startup is the state of the startup phase and of the phase after a pause.
type startup struct {
	started, ready bool
	startedAt      time.Duration
	// nextRead is the time of the next platform read, reads the number of reads
	// so far.
	nextRead      time.Duration
	reads         int
	readPending   bool
	platformTried bool
	nextRequest   time.Duration
	answered      map[string]bool
	// stale is set after a pause. It is cleared when a peer announces nothing
	// newer, when a newer bundle is applied, or at staleUntil.
	stale      bool
	staleUntil time.Duration
}

func (c *Core) beginStartup(now time.Duration) {
	c.startup.started = true
	c.startup.startedAt = now
	c.startup.nextRead = now + time.Duration(c.random.Int64N(int64(c.config.InitialReadJitter)))
	c.startup.nextRequest = now
	c.startup.platformTried = !c.config.Platform
	c.election.observedSince = now
	c.nextAnnouncement = now + time.Duration(c.random.Int64N(int64(c.config.AntiEntropy)))
}

// handleResume handles the end of a pause: peers may hold newer versions by
// now, and heartbeats received before the pause say nothing about which readers
// run now.
func (c *Core) handleResume(now time.Duration, out *Actions) {
	out.Changes = append(out.Changes, Change{Source: c.config.Name, Subject: "process",
		From: "paused", To: "running", Reason: "no timer tick for " + (now - c.lastTick).String()})
	c.startup.stale, c.startup.staleUntil = true, now+freshnessTimeout
	c.election.observedSince = now
	c.election.startAt, c.election.stopAt = 0, 0
	for range requestFanout {
		c.announce(c.pickPeer(), true, now, out)
	}
}

// markDataCentreAnswered records that a peer of the data centre has sent an
// announcement. behind reports whether the peer holds a newer version, which
// has to be pulled first.
func (c *Core) markDataCentreAnswered(dataCentre string, behind bool) {
	if !behind {
		c.startup.stale = false
	}
	if !c.startup.ready {
		c.startup.answered[dataCentre] = true
	}
}

func (c *Core) tickStartup(now time.Duration, out *Actions) {
	s := &c.startup
	if s.stale && now >= s.staleUntil {
		s.stale = false
	}
	if !s.started {
		return
	}
	c.tickPlatformReads(now, out)
	if s.ready {
		return
	}
	if now >= s.nextRequest {
		s.nextRequest = now + requestInterval
		c.requestAnnouncements(now, out)
	}
	if c.held == (Version{}) {
		return
	}
	complete := s.platformTried && c.allDataCentresAnswered() && !c.pulls.running && len(c.pulls.candidates) == 0
	if complete || now-s.startedAt >= startupTimeout {
		s.ready = true
		reason := "bundle compared with the platform and every data centre"
		if !complete {
			reason = "startup timeout expired before every data centre answered"
		}
		out.Changes = append(out.Changes, Change{Source: c.config.Name, Subject: "process",
			From: "starting", To: "ready", Reason: reason})
	}
}

// tickPlatformReads reads the platform once at startup, and again with backoff
// while the bundle or, on an entry, the VM list is missing: an entry cannot
// tell whether it is a reader without the list.
func (c *Core) tickPlatformReads(now time.Duration, out *Actions) {
	s := &c.startup
	missing := c.held == (Version{}) || c.config.Entry && c.vms.version == 0
	if !c.config.Platform || s.readPending || now < s.nextRead || s.reads > 0 && !missing {
		return
	}
	delay := readBackoffMax
	if s.reads < 5 {
		delay = min(readBackoffMax, readBackoffMin<<s.reads)
	}
	s.reads++
	s.readPending = true
	s.nextRead = now + c.jittered(delay)
	out.ReadPlatform = true
}

// requestAnnouncements requests announcements from seeds, and from a peer of
// every data centre that has not answered yet.
func (c *Core) requestAnnouncements(now time.Duration, out *Actions) {
	if c.directory == nil || len(c.startup.answered) == 0 {
		seeds := c.config.Seeds
		first := c.random.IntN(max(1, len(seeds)))
		for i := range min(requestFanout, len(seeds)) {
			c.announce(seeds[(first+i)%len(seeds)], true, now, out)
		}
	}
	if c.directory == nil {
		return
	}
	for _, dc := range c.directory.dataCentres {
		if !c.startup.answered[dc] {
			c.announce(c.pickOther(c.directory.peers[dc]), true, now, out)
		}
	}
}

func (c *Core) allDataCentresAnswered() bool {
	if c.directory == nil {
		return false
	}
	for _, dc := range c.directory.dataCentres {
		// The only process of a data centre has no peer there to wait for.
		alone := dc == c.config.DataCentre && len(c.directory.peers[dc]) <= 1
		if !c.startup.answered[dc] && !alone {
			return false
		}
	}
	return true
}
