package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/standin"
)

// TestRun guards against guarantee violations while an entry is killed, a target
// drains and a bundle is published, and against missing keys in the JSON result.
func TestRun(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	result, err := Run(context.Background(), Options{Duration: 3 * time.Second, Seed: 5, JSON: true, Out: &out})
	c.Assert(err, qt.IsNil)
	t.Logf("seed 5: %s", out.String())
	c.Check(result.Violations(), qt.Equals, 0)
	c.Check(result.RequestsAnswered, qt.Equals, result.RequestsSent)
	c.Check(result.FlowsOpened > 300, qt.IsTrue)
	c.Check(result.ImbalanceMaxOverMean >= 1, qt.IsTrue)
	c.Check(result.BundleInForceMS > 0, qt.IsTrue)
	var keys map[string]any
	c.Assert(json.Unmarshal(out.Bytes(), &keys), qt.IsNil)
	for _, key := range []string{
		"flows_opened", "flows_broken", "requests_sent", "requests_answered", "requests_run_twice",
		"misrouted", "refused_but_run", "imbalance_max_over_mean", "bundle_in_force_ms",
	} {
		c.Check(keys[key], qt.Not(qt.IsNil), qt.Commentf(key))
	}
}

// TestViolations guards against a violation that does not fail the command, and
// against a run with invalid options.
func TestViolations(t *testing.T) {
	c := qt.New(t)
	for _, r := range []Result{
		{Report: standin.Report{FlowsBroken: 1}}, {Report: standin.Report{RequestsRunTwice: 1}},
		{Report: standin.Report{Misrouted: 1}}, {Report: standin.Report{RefusedButRun: 1}},
		{Report: standin.Report{WrongAnswers: 1}}, {Report: standin.Report{StrayPackets: 1}},
		{Report: standin.Report{LateOpenings: 1}}, {Report: standin.Report{FlowsUnopened: 1}},
		{FlowsUnfinished: 1}, {BundleInForceMS: 4001},
	} {
		c.Check(r.Violations(), qt.Equals, 1, qt.Commentf("%+v", r))
	}
	c.Check(Result{BundleInForceMS: 4000, Report: standin.Report{FlowsRefused: 1}}.Violations(), qt.Equals, 0)
	_, err := Run(context.Background(), Options{Duration: time.Millisecond, Out: &bytes.Buffer{}})
	c.Assert(err, qt.ErrorMatches, "duration 1ms is shorter than 2s")
}
