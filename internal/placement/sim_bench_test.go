package placement

import (
	"fmt"
	"testing"
)

type row struct {
	name string
	set  func(*simConfig)
}

func policies(seed uint64) []row {
	entry := func(pick func(*sim, *simOpening) int) func(*simConfig) {
		return func(c *simConfig) { c.policy = atEntry(pick) }
	}
	rule := func(r keepRule) func(*simConfig) { return func(c *simConfig) { c.rule = r } }
	return []row{
		{"reference", func(c *simConfig) { c.policy = reference }},
		{"hash", entry(firstOf)},
		{"reports_fresh", entry(func(s *sim, o *simOpening) int { return leastOf(o, s.busy) })},
		{"reports_late", entry(func(s *sim, o *simOpening) int { return leastOf(o, s.late) })},
		{"two_random", entry(twoRandom)},
		{"round_robin", entry(roundRobin(seed))},
		{"rule_least", rule(keepIfLeast)},
		{"rule_two_choices", func(c *simConfig) { c.rule, c.twoChoices = keepIfLeast, true }},
		{"rule_within_one", rule(keepWithinOne)},
		{"chooser", func(*simConfig) {}},
	}
}

var sizes = []simConfig{
	{hosts: 7, slots: 4, load: 0.7}, {hosts: 7, slots: 4, load: 0.85},
	{hosts: 7, slots: 7, load: 0.7}, {hosts: 7, slots: 7, load: 0.85},
}

func BenchmarkPolicies(b *testing.B) {
	for _, size := range sizes {
		for _, r := range policies(1) {
			c := size
			c.seed, c.openings = 1, 200_000
			r.set(&c)
			b.Run(fmt.Sprintf("%dx%d/load=%.2f/%s", c.hosts, c.slots, c.load, r.name), func(b *testing.B) {
				report(b, c)
			})
		}
	}
}

func report(b *testing.B, c simConfig) {
	var r simResult
	for b.Loop() {
		r = newSim(c).run()
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(r.imbalance(), "max/mean")
	b.ReportMetric(100*r.per(r.misplaced), "misplaced%")
	b.ReportMetric(r.per(r.redirects), "redirects/opening")
	b.ReportMetric(100*float64(r.displaced)/float64(max(1, r.placed)), "displaced%")
	b.ReportMetric(100*r.per(r.waited), "waited%")
	b.ReportMetric(100*r.per(r.waitedFree), "waitedfree%")
	b.ReportMetric(100*r.per(r.refused), "refused%")
	b.ReportMetric(100*r.per(r.refusedFree), "refusedfree%")
	b.ReportMetric(float64(r.controlBytes)/r.seconds/float64(c.hosts), "controlB/s")
}
