package agent

import (
	"errors"

	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/internal/packet"
)

// counters are the metrics of the agent process; the flow table has its own.
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

func (c *counters) unparsed(err error) {
	if errors.Is(err, packet.ErrFragment) {
		c.fragments.Inc(1)
		return
	}
	c.malformed.Inc(1)
}
