package dissemination

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathergw/heathergw/schema"
)

const (
	// beatTimeout is the age of a reader's newest beat after which it counts as
	// silent. A beat crosses a data centre of 450 processes in about nine
	// announcement intervals.
	beatTimeout = 10 * time.Second
	// maxBeats bounds the beats in one announcement.
	maxBeats = 6
	// takeOverStep is the delay between the take-overs of two ranks; jitter of
	// one step is added.
	takeOverStep = time.Second
	takeOverMax  = 30 * time.Second
	// giveUpDelay keeps a substitute reader from stopping when a beat was late.
	giveUpDelay = 10 * time.Second
	// watchTimeout is the longest time between two answers of a blocking query
	// of 30 s.
	watchTimeout = 45 * time.Second
)

// readers is the state of the election of platform readers in the own data
// centre. Two readers too many cost two reads; one too few costs time only
// when all of a data centre are gone, so no agreement is needed.
type readers struct {
	self uint32
	// beats holds for each reader the time at which it was last known to run
	// with an answering platform.
	beats   map[uint32]time.Duration
	reading bool
	// since is when beats were first observed without a pause.
	since time.Duration
	// startAt and stopAt are the times of a change, 0 when none is due.
	startAt, stopAt time.Duration
	// answered is the time of the platform's last answer, 0 after a failure.
	answered time.Duration
}

// PlatformAnswered tells the result of a read or watch of the platform.
func (c *Core) PlatformAnswered(healthy bool, now time.Duration, out *Actions) {
	c.start.platformTried, c.start.reading = true, false
	c.readers.answered = 0
	if healthy {
		c.readers.answered = now
	}
	c.tickStart(now, out)
}

func (c *Core) tickReaders(now time.Duration, out *Actions) {
	r := &c.readers
	if !c.config.Entry || !c.config.Platform || c.directory == nil {
		return
	}
	if r.reading && r.answered != 0 && now-r.answered < watchTimeout {
		r.beats[r.self] = now
	}
	rank, elected := c.elected(now)
	switch {
	case elected && !r.reading:
		r.stopAt = 0
		c.tickTakeOver(rank, now, out)
	case !elected && r.reading:
		r.startAt = 0
		if r.stopAt == 0 {
			r.stopAt = now + giveUpDelay + c.jittered(takeOverStep)
		} else if now >= r.stopAt {
			r.reading, r.stopAt, r.answered = false, 0, 0
			out.StopWatch = true
			out.Changes = append(out.Changes, c.readerChange("reading", "not reading", "lower ranks read"))
		}
	default:
		r.startAt, r.stopAt = 0, 0
	}
}

func (c *Core) tickTakeOver(rank int, now time.Duration, out *Actions) {
	r := &c.readers
	if r.startAt == 0 {
		step := time.Duration(max(0, rank-c.config.Readers)) * takeOverStep
		r.startAt = now + min(step, takeOverMax) + c.jittered(takeOverStep)
	}
	if now < r.startAt {
		return
	}
	r.reading, r.startAt = true, 0
	out.StartWatch = true
	out.Changes = append(out.Changes, c.readerChange("not reading", "reading", "elected"))
}

func (c *Core) readerChange(from, to, reason string) Change {
	return Change{Source: c.config.Name, Subject: "platform reader", From: from, To: to, Reason: reason}
}

// elected reports whether fewer than the wanted number of entries with a lower
// rank read the platform, and the own rank. A process that is not in the list
// does not read.
func (c *Core) elected(now time.Duration) (int, bool) {
	r := &c.readers
	live := 0
	for rank, e := range c.directory.ranked[c.config.DataCentre] {
		if e.name == c.config.Name {
			return rank, live < c.config.Readers
		}
		if c.live(e.hash, now) || now-r.since < beatTimeout {
			live++
		}
	}
	return 0, false
}

func (c *Core) live(hash uint32, now time.Duration) bool {
	beat, known := c.readers.beats[hash]
	return known && now-beat < beatTimeout
}

func (c *Core) hearBeats(m *schema.Announcement, now time.Duration) {
	if m.GetDataCentre() != c.config.DataCentre {
		return
	}
	for _, b := range m.GetReaders() {
		if b.GetNameHash() == c.readers.self && c.config.Entry {
			continue
		}
		beat := now - time.Duration(b.GetAgeMilliseconds())*time.Millisecond
		if known, ok := c.readers.beats[b.GetNameHash()]; !ok || beat > known {
			c.readers.beats[b.GetNameHash()] = beat
		}
	}
}

// beatsToSend returns the youngest beats and forgets silent readers.
func (c *Core) beatsToSend(now time.Duration) []*schema.ReaderBeat {
	beats := make([]*schema.ReaderBeat, 0, maxBeats)
	for hash, beat := range c.readers.beats {
		if now-beat >= beatTimeout {
			delete(c.readers.beats, hash)
			continue
		}
		beats = append(beats, &schema.ReaderBeat{
			NameHash:        hash,
			AgeMilliseconds: uint32((now - beat) / time.Millisecond),
		})
	}
	// Ordered by age and then by hash, so that a run is reproducible.
	slices.SortFunc(beats, func(a, b *schema.ReaderBeat) int {
		return cmp.Or(cmp.Compare(a.AgeMilliseconds, b.AgeMilliseconds), cmp.Compare(a.NameHash, b.NameHash))
	})
	return beats[:min(len(beats), maxBeats)]
}
