package dissemination

import "time"

const (
	// startReadSpread spreads the first reads of a fleet that restarts at
	// once: 2,740 processes and 440 VM lists give about 1,060 reads a second.
	startReadSpread  = 3 * time.Second
	readBackoffFirst = 2 * time.Second
	readBackoffMax   = 30 * time.Second
	// startBound ends the wait for the platform and for peers.
	startBound = 5 * time.Second
	// askInterval is the time between two questions to a data centre that has
	// not answered.
	askInterval = 500 * time.Millisecond
	// askSeeds is the number of seeds asked at one time.
	askSeeds = 3
	// freshBound ends the wait for a peer after a pause.
	freshBound = time.Second
)

// start is the state of the start phase and of the phase after a pause.
type start struct {
	begun, ready bool
	began        time.Duration
	// readAt is the time of the next read of the platform, reads their number.
	readAt        time.Duration
	reads         int
	reading       bool
	platformTried bool
	nextAsk       time.Duration
	heard         map[string]bool
	// stale is set after a pause until a peer was heard or staleUntil passed.
	stale      bool
	staleUntil time.Duration
}

func (c *Core) begin(now time.Duration) {
	c.start.begun = true
	c.start.began = now
	c.start.readAt = now + time.Duration(c.random.Int64N(int64(c.config.ReadSpread)))
	c.start.nextAsk = now
	c.start.platformTried = !c.config.Platform
	c.readers.since = now
	c.nextAnnouncement = now + time.Duration(c.random.Int64N(int64(c.config.AntiEntropy)))
}

// wake handles the end of a pause: peers may have moved on, and beats that
// arrived before say nothing about readers that run now.
func (c *Core) wake(now time.Duration, out *Actions) {
	out.Changes = append(out.Changes, Change{Source: c.config.Name, Subject: "process",
		From: "paused", To: "running", Reason: "gap of " + (now - c.lastTick).String()})
	c.start.stale, c.start.staleUntil = true, now+freshBound
	c.readers.since = now
	c.readers.startAt, c.readers.stopAt = 0, 0
	for range askSeeds {
		c.announce(c.pick(), true, now, out)
	}
}

// heardDataCentre notes that a peer of the data centre answered. behind tells
// that the peer holds something newer, which has to be pulled first.
func (c *Core) heardDataCentre(dataCentre string, behind bool) {
	if !behind {
		c.start.stale = false
	}
	if !c.start.ready {
		c.start.heard[dataCentre] = true
	}
}

func (c *Core) tickStart(now time.Duration, out *Actions) {
	s := &c.start
	if s.stale && now >= s.staleUntil {
		s.stale = false
	}
	if !s.begun {
		return
	}
	c.tickReads(now, out)
	if s.ready {
		return
	}
	if now >= s.nextAsk {
		s.nextAsk = now + askInterval
		c.ask(now, out)
	}
	if c.held == (Version{}) {
		return
	}
	complete := s.platformTried && c.everyDataCentreHeard() && !c.pulls.running && len(c.pulls.offers) == 0
	if complete || now-s.began >= startBound {
		s.ready = true
		reason := "bundle compared with the platform and every data centre"
		if !complete {
			reason = "start bound passed before every data centre answered"
		}
		out.Changes = append(out.Changes, Change{Source: c.config.Name, Subject: "process",
			From: "starting", To: "ready", Reason: reason})
	}
}

// tickReads reads the platform once at the start, and again with backoff while
// the bundle or, at an entry, the VM list is missing: without the list no
// entry knows whether it is a reader.
func (c *Core) tickReads(now time.Duration, out *Actions) {
	s := &c.start
	missing := c.held == (Version{}) || c.config.Entry && c.vms.version == 0
	if !c.config.Platform || s.reading || now < s.readAt || s.reads > 0 && !missing {
		return
	}
	delay := readBackoffMax
	if s.reads < 5 {
		delay = min(readBackoffMax, readBackoffFirst<<s.reads)
	}
	s.reads++
	s.reading = true
	s.readAt = now + c.jittered(delay)
	out.ReadPlatform = true
}

// ask requests announcements from seeds, and from a peer of every data centre
// that was not heard yet.
func (c *Core) ask(now time.Duration, out *Actions) {
	if c.directory == nil || len(c.start.heard) == 0 {
		seeds := c.config.Seeds
		first := c.random.IntN(max(1, len(seeds)))
		for i := range min(askSeeds, len(seeds)) {
			c.announce(seeds[(first+i)%len(seeds)], true, now, out)
		}
	}
	if c.directory == nil {
		return
	}
	for _, dc := range c.directory.dataCentres {
		if !c.start.heard[dc] {
			c.announce(c.pickFrom(c.directory.peers[dc]), true, now, out)
		}
	}
}

func (c *Core) everyDataCentreHeard() bool {
	if c.directory == nil {
		return false
	}
	for _, dc := range c.directory.dataCentres {
		// A process that is alone in its data centre has nobody to hear.
		alone := dc == c.config.DataCentre && len(c.directory.peers[dc]) <= 1
		if !c.start.heard[dc] && !alone {
			return false
		}
	}
	return true
}
