// Package metrics creates the metrics scope of a process and the handler that
// serves its counters and histograms for scraping.
package metrics

import (
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally reports counters to the Prometheus registry.
const reportInterval = time.Second

// processTag is the tag of every metric that holds the process name.
const processTag = "process"

// Metrics are the metrics of one process.
type Metrics struct {
	// Scope is the root scope; names start with "heathergw".
	Scope tally.Scope
	// Handler serves all metrics as text.
	Handler http.Handler
	io.Closer
	registry *prom.Registry
}

// Open returns the metrics of the process with the given name and starts the
// goroutine that reports them; Close ends it.
func Open(process string) Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "heathergw",
		Tags:                   map[string]string{processTag: process},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return Metrics{Scope: scope, Handler: reporter.HTTPHandler(), Closer: closer, registry: registry}
}

// Counters returns the values of all counters. The keys are the metric name and
// the values of its labels other than the process, joined by dots. The values are
// up to reportInterval old. On an error it returns the counters that could be
// gathered.
func (m Metrics) Counters() (map[string]float64, error) {
	families, err := m.registry.Gather()
	counters := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if metric.GetCounter() == nil {
				continue
			}
			var labels []string
			for _, label := range metric.GetLabel() {
				if label.GetName() != processTag {
					labels = append(labels, label.GetValue())
				}
			}
			sort.Strings(labels)
			name := strings.Join(append([]string{family.GetName()}, labels...), ".")
			counters[name] = metric.GetCounter().GetValue()
		}
	}
	return counters, err
}
