package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/heathergw/heathergw/internal/node"
)

const (
	statusTimeout = 5 * time.Second
	// maxPrintedRecords is the number of audit records in the text output.
	maxPrintedRecords = 10
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of a process: bundle in force, targets, flows, counters, audit trail",
		Description: "Example:\n\n   heathergw status --addr 127.0.0.1:9100\n\n" +
			"ADDR is the status_listen setting of the process.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "addr", Usage: "`ADDR` of the process as ip:port", Required: true},
			&cli.BoolFlag{Name: "json", Usage: "print the whole status as JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return showStatus(ctx, c.Root().Writer, c.String("addr"), c.Bool("json"))
		},
	}
}

func showStatus(ctx context.Context, out io.Writer, address string, asJSON bool) error {
	body, err := fetchStatus(ctx, address)
	if err != nil {
		return cli.Exit(err, exitFindings)
	}
	if asJSON {
		_, err = out.Write(body)
		return err
	}
	var s node.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return cli.Exit(fmt.Errorf("decode status of %s: %w", address, err), exitFindings)
	}
	return printStatus(out, s)
}

func fetchStatus(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, fmt.Errorf("--addr %q: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read status: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status of %s: %s", address, response.Status)
	}
	return io.ReadAll(response.Body)
}

func printStatus(out io.Writer, s node.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "process\t%s (%s, %s)\n", s.Name, s.Role, s.DataCentre)
	_, _ = fmt.Fprintf(w, "bundle\t%d %.16s\n", s.Sequence, s.Digest)
	_, _ = fmt.Fprintf(w, "ready\t%t\nstopping\t%t\npauses\t%d\n", s.Ready, s.Stopping, s.Pauses)
	if st := s.Store; st != nil {
		_, _ = fmt.Fprintf(w, "store\tera %d, revision %d, configuration version %d, confirmed %s ago, latest change from %s\n",
			st.Era, st.Revision, st.ConfigurationVersion, time.Duration(st.AgeMillis)*time.Millisecond, st.Source)
	}
	if f := s.Flows; f != nil {
		_, _ = fmt.Fprintf(w, "flows\t%d established, %d half-open, %d registrations, %d held\n",
			f.Established, f.HalfOpen, f.Registrations, f.Held)
	}
	_, _ = fmt.Fprintln(w, "\nTARGET\tSERVICE\tDATA CENTRE\tSTATE\tBUSY/SLOTS\tCONNECTIONS")
	for _, t := range s.Targets {
		_, _ = fmt.Fprintf(w, "%d %s\t%s\t%s\t%s\t%d/%d\t%d\n",
			t.ID, t.Name, t.Service, t.DataCentre, t.State, t.BusySlots, t.Slots, t.Connections)
	}
	_, _ = fmt.Fprintln(w, "\nCOUNTER\tVALUE")
	for _, name := range slices.Sorted(maps.Keys(s.Counters)) {
		_, _ = fmt.Fprintf(w, "%s\t%.0f\n", name, s.Counters[name])
	}
	_, _ = fmt.Fprintln(w, "\nTIME\tSOURCE\tSUBJECT\tOUTCOME\tFROM\tTO\tREASON")
	for _, r := range s.Audit[max(0, len(s.Audit)-maxPrintedRecords):] {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			r.Time.Format(time.RFC3339), r.Source, r.Subject, r.Outcome, r.From, r.To, r.Reason)
	}
	return w.Flush()
}
