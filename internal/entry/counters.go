package entry

import (
	"errors"

	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/internal/packet"
)

// counters holds the metrics of the entry. Each drop reason has its own counter.
type counters struct {
	forwarded         tally.Counter
	tooBig            tally.Counter
	badDatagram       tally.Counter
	fragments         tally.Counter
	malformed         tally.Counter
	droppedAfterPause tally.Counter
	ownerHints        tally.Counter
	probeAnswers      tally.Counter
	dropped           [outcomeCount]tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	drop := func(reason string) tally.Counter {
		return scope.Tagged(map[string]string{"reason": reason}).Counter("entry_dropped")
	}
	c := &counters{
		forwarded:         scope.Counter("entry_forwarded"),
		ownerHints:        scope.Counter("entry_owner_hints"),
		probeAnswers:      scope.Counter("entry_probe_answers"),
		tooBig:            drop("too_big"),
		badDatagram:       drop("bad_datagram"),
		fragments:         drop("fragment"),
		malformed:         drop("malformed"),
		droppedAfterPause: drop("paused"),
	}
	c.dropped[outcomeNoBundle] = drop("no_bundle")
	c.dropped[outcomeNoService] = drop("no_service")
	c.dropped[outcomeNoTarget] = drop("no_target")
	return c
}

// countParseError counts a packet that could not be parsed.
func (c *counters) countParseError(err error) {
	if errors.Is(err, packet.ErrFragment) {
		c.fragments.Inc(1)
		return
	}
	c.malformed.Inc(1)
}
