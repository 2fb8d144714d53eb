package demo

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

func writeResult(options Options, r Result, events []string) error {
	if options.JSON {
		encoder := json.NewEncoder(options.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	w := tabwriter.NewWriter(options.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w)
	for _, row := range []struct {
		name  string
		value any
	}{
		{"flows opened", r.FlowsOpened},
		{"flows broken", r.FlowsBroken},
		{"flows refused", r.FlowsRefused},
		{"flows not opened", r.FlowsUnopened},
		{"requests sent", r.RequestsSent},
		{"requests answered", r.RequestsAnswered},
		{"requests run twice", r.RequestsRunTwice},
		{"misrouted", r.Misrouted + r.StrayPackets},
		{"refused but run", r.RefusedButRun},
		{"wrong answers", r.WrongAnswers},
		{"openings at a draining target", r.LateOpenings},
		{"imbalance, max/mean load", fmt.Sprintf("%.2f", r.ImbalanceMaxOverMean)},
		{"bundle in force, ms", r.BundleInForceMS},
		{"guarantee violations", r.Violations()},
	} {
		_, _ = fmt.Fprintf(w, "%s\t%v\t\n", row.name, row.value)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	if r.Violations() > 0 {
		for _, e := range events {
			_, _ = fmt.Fprintln(options.Out, e)
		}
	}
	return nil
}
