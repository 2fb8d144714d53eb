package dissemination

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathergw/heathergw/schema"
)

const (
	// heartbeatTimeout is the age of a reader's newest heartbeat after which
	// the reader counts as failed. A heartbeat reaches all processes of a data
	// centre of 450 within about nine announcement intervals.
	heartbeatTimeout = 10 * time.Second
	// maxHeartbeats bounds the heartbeats in one announcement.
	maxHeartbeats = 6
	// takeoverStep is the delay between the takeovers of two consecutive ranks;
	// a jitter of up to one step is added.
	takeoverStep     = time.Second
	maxTakeoverDelay = 30 * time.Second
	// stepDownDelay keeps a substitute reader running while a heartbeat of an
	// elected reader is merely late.
	stepDownDelay = 10 * time.Second
	// watchTimeout is the longest expected time between two answers of a
	// blocking query of 30 s.
	watchTimeout = 45 * time.Second
)

// election is the state of the election of platform readers in the local data
// centre. Two extra readers cost two extra reads, and a missing reader only
// delays updates when all readers of a data centre have failed, so no consensus
// is needed.
type election struct {
	selfHash uint32
	// heartbeats holds, for each reader, the last time at which it was known to
	// run and to receive answers from the platform.
	heartbeats map[uint32]time.Duration
	reading    bool
	// observedSince is the time since which heartbeats have been observed
	// without a pause.
	observedSince time.Duration
	// startAt and stopAt are the times at which to start and stop reading, 0 if
	// neither is scheduled.
	startAt, stopAt time.Duration
	// lastAnswer is the time of the platform's last answer, 0 after a failure.
	lastAnswer time.Duration
}

// PlatformAnswered reports the result of a read or watch of the platform.
func (c *Core) PlatformAnswered(healthy bool, now time.Duration, out *Actions) {
	c.startup.platformTried, c.startup.readPending = true, false
	c.election.lastAnswer = 0
	if healthy {
		c.election.lastAnswer = now
	}
	c.tickStartup(now, out)
}

func (c *Core) tickElection(now time.Duration, out *Actions) {
	e := &c.election
	if !c.config.Entry || !c.config.Platform || c.directory == nil {
		return
	}
	if e.reading && e.lastAnswer != 0 && now-e.lastAnswer < watchTimeout {
		e.heartbeats[e.selfHash] = now
	}
	rank, elected := c.elected(now)
	switch {
	case elected && !e.reading:
		e.stopAt = 0
		c.tickTakeover(rank, now, out)
	case !elected && e.reading:
		e.startAt = 0
		if e.stopAt == 0 {
			e.stopAt = now + stepDownDelay + c.jittered(takeoverStep)
		} else if now >= e.stopAt {
			e.reading, e.stopAt, e.lastAnswer = false, 0, 0
			out.StopWatch = true
			out.Changes = append(out.Changes, c.readerChange("reading", "not reading", "enough entries of lower rank read the platform"))
		}
	default:
		e.startAt, e.stopAt = 0, 0
	}
}

func (c *Core) tickTakeover(rank int, now time.Duration, out *Actions) {
	e := &c.election
	if e.startAt == 0 {
		step := time.Duration(max(0, rank-c.config.Readers)) * takeoverStep
		e.startAt = now + min(step, maxTakeoverDelay) + c.jittered(takeoverStep)
	}
	if now < e.startAt {
		return
	}
	e.reading, e.startAt = true, 0
	out.StartWatch = true
	out.Changes = append(out.Changes, c.readerChange("not reading", "reading", "elected"))
}

func (c *Core) readerChange(from, to, reason string) Change {
	return Change{Source: c.config.Name, Subject: "platform reader", From: from, To: to, Reason: reason}
}

// elected returns the rank of this process and whether fewer than the
// configured number of entries with a lower rank read the platform. A process
// that is not in the directory is not elected.
func (c *Core) elected(now time.Duration) (int, bool) {
	e := &c.election
	live := 0
	for rank, candidate := range c.directory.readerCandidates[c.config.DataCentre] {
		if candidate.name == c.config.Name {
			return rank, live < c.config.Readers
		}
		if c.isLive(candidate.nameHash, now) || now-e.observedSince < heartbeatTimeout {
			live++
		}
	}
	return 0, false
}

func (c *Core) isLive(hash uint32, now time.Duration) bool {
	heartbeat, known := c.election.heartbeats[hash]
	return known && now-heartbeat < heartbeatTimeout
}

func (c *Core) mergeHeartbeats(m *schema.Announcement, now time.Duration) {
	if m.GetDataCentre() != c.config.DataCentre {
		return
	}
	for _, b := range m.GetReaders() {
		if b.GetNameHash() == c.election.selfHash && c.config.Entry {
			continue
		}
		heartbeat := now - time.Duration(b.GetAgeMilliseconds())*time.Millisecond
		if known, ok := c.election.heartbeats[b.GetNameHash()]; !ok || heartbeat > known {
			c.election.heartbeats[b.GetNameHash()] = heartbeat
		}
	}
}

// recentHeartbeats returns the most recent heartbeats and deletes expired ones.
func (c *Core) recentHeartbeats(now time.Duration) []*schema.ReaderBeat {
	heartbeats := make([]*schema.ReaderBeat, 0, maxHeartbeats)
	for hash, heartbeat := range c.election.heartbeats {
		if now-heartbeat >= heartbeatTimeout {
			delete(c.election.heartbeats, hash)
			continue
		}
		heartbeats = append(heartbeats, &schema.ReaderBeat{
			NameHash:        hash,
			AgeMilliseconds: uint32((now - heartbeat) / time.Millisecond),
		})
	}
	// Sort by age and then by hash, so that runs are reproducible.
	slices.SortFunc(heartbeats, func(a, b *schema.ReaderBeat) int {
		return cmp.Or(cmp.Compare(a.AgeMilliseconds, b.AgeMilliseconds), cmp.Compare(a.NameHash, b.NameHash))
	})
	return heartbeats[:min(len(heartbeats), maxHeartbeats)]
}
