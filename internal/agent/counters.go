package agent

import (
	"errors"

	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/internal/packet"
)

// counters holds the metrics of the agent process. The flow table has its own
// counters.
type counters struct {
	badDatagram       tally.Counter
	fragments         tally.Counter
	malformed         tally.Counter
	droppedAfterPause tally.Counter
	healthFailed      tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	drop := func(reason string) tally.Counter {
		return scope.Tagged(map[string]string{"reason": reason}).Counter("agent_dropped")
	}
	return &counters{
		badDatagram:       drop("bad_datagram"),
		fragments:         drop("fragment"),
		malformed:         drop("malformed"),
		droppedAfterPause: drop("paused"),
		healthFailed:      scope.Counter("agent_health_failed"),
	}
}

// countParseError counts a packet that could not be parsed.
func (c *counters) countParseError(err error) {
	if errors.Is(err, packet.ErrFragment) {
		c.fragments.Inc(1)
		return
	}
	c.malformed.Inc(1)
}
