package agent

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/internal/flow"
	"github.com/heathergw/heathergw/internal/node"
)

// flowMetricsInterval is how often the flow table's counters are published.
const flowMetricsInterval = time.Second

// flowMetrics adds the increments of the flow table's counters to tally
// counters.
type flowMetrics struct {
	scope tally.Scope
	last  map[string]uint64
}

func newFlowMetrics(scope tally.Scope) *flowMetrics {
	return &flowMetrics{scope: scope, last: map[string]uint64{}}
}

func (m *flowMetrics) publish(counters *flow.Counters) {
	counters.Each(func(name string, value uint64) {
		m.scope.Tagged(map[string]string{"event": name}).Counter("agent_flow").Inc(int64(value - m.last[name]))
		m.last[name] = value
	})
}

// metricsLoop publishes the flow table's counters until ctx is cancelled.
func (a *Agent) metricsLoop(ctx context.Context) error {
	metrics := newFlowMetrics(a.node.Metrics)
	return node.RunPeriodically(ctx, flowMetricsInterval, func() { metrics.publish(&a.table.Counters) })
}
