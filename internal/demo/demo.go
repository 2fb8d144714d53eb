// Package demo runs entries, agents and fakes of the systems around them in one
// process over loopback sockets, causes failures and changes under load, and
// reports what clients and hosts saw.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/standin"
	"github.com/heathergw/heathergw/internal/wait"
	"github.com/heathergw/heathergw/schema"
)

const (
	// DefaultDuration is the default time under load.
	DefaultDuration = 5 * time.Second
	// MinDuration is long enough for every step of the demo.
	MinDuration = 2 * time.Second

	startTimeout = 10 * time.Second
	// maxBundleDelay is the bound of guarantee P8.
	maxBundleDelay = 4 * time.Second
	// finishTimeout is longer than every deadline of a client.
	finishTimeout = 8 * time.Second
	// fabricLag is the time until the fabric removes a failed entry.
	fabricLag = 500 * time.Millisecond
)

// Options configures a run.
type Options struct {
	// Duration is the time under load; 0 means DefaultDuration.
	Duration time.Duration
	// Seed drives every random choice of the fakes.
	Seed uint64
	// JSON prints the result as one JSON document, without progress.
	JSON bool
	// Out receives progress and result.
	Out io.Writer
}

// Result is what clients and hosts saw, and the time until the published bundle
// was in force in every process.
type Result struct {
	standin.Report
	BundleInForceMS int64 `json:"bundle_in_force_ms"`
	// FlowsUnfinished counts flows that were still open after the load stopped.
	FlowsUnfinished int `json:"flows_unfinished"`
}

// Violations returns the number of guarantee violations, including flows that
// were not opened or did not finish.
func (r Result) Violations() int {
	lateBundles := 0
	if r.BundleInForceMS > maxBundleDelay.Milliseconds() {
		lateBundles = 1
	}
	return r.Report.Violations() + r.FlowsUnopened + r.FlowsUnfinished + lateBundles
}

// Run runs the demo and prints its result. It returns an error if something
// could not be started or written or if ctx is done, but not for guarantee
// violations.
func Run(ctx context.Context, options Options) (Result, error) {
	if options.Duration == 0 {
		options.Duration = DefaultDuration
	}
	if options.Duration < MinDuration {
		return Result{}, fmt.Errorf("duration %v is shorter than %v", options.Duration, MinDuration)
	}
	d := &demo{options: options, startedAt: time.Now()}
	result, err := d.run(ctx)
	if err != nil {
		return result, err
	}
	return result, writeResult(options, result, d.fleet.Ledger.Events())
}

type demo struct {
	options    Options
	startedAt  time.Time
	fleet      *standin.Fleet
	runners    []*runner
	entryCount int
}

func (d *demo) run(ctx context.Context) (result Result, err error) {
	if d.fleet, err = standin.NewFleet(fleetOptions(d.options.Seed)); err != nil {
		return Result{}, err
	}
	defer d.fleet.Close()
	defer func() { err = errors.Join(err, d.stop()) }()
	if err := d.start(ctx); err != nil {
		return Result{}, err
	}
	load := d.fleet.StartLoad(loadOptions())
	defer load.Close()
	inForce, err := d.runScenario(ctx)
	finish, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	unfinished := load.Stop(finish)
	if err != nil {
		return Result{}, err
	}
	return Result{
		Report:          d.fleet.Ledger.Report(),
		BundleInForceMS: inForce.Milliseconds(),
		FlowsUnfinished: unfinished,
	}, nil
}

// fleetOptions returns Blue Mahoe's fleet with requests that occupy a slot long
// enough for the load of loadOptions.
func fleetOptions(seed uint64) standin.FleetOptions {
	options := standin.BlueMahoeFleet(seed)
	for i := range options.Services {
		options.Services[i].ServiceTime = 150 * time.Millisecond
	}
	return options
}

// loadOptions returns a load that keeps about half of the slots busy: 167
// bookings per second of 0.15 s in 49 slots, and 33 upload flows per second of
// two requests of 0.15 s in 21 slots.
func loadOptions() standin.LoadOptions {
	return standin.LoadOptions{TrackingFlows: 30, BookingInterval: 6 * time.Millisecond, UploadInterval: 30 * time.Millisecond}
}

// start starts all processes, waits until each has the first bundle in force, and
// adds the entries to the fabric.
func (d *demo) start(ctx context.Context) error {
	log := zap.NewNop()
	for _, s := range d.fleet.Entries {
		if err := d.launch(ctx, s, log); err != nil {
			return err
		}
	}
	d.entryCount = len(d.runners)
	for _, s := range d.fleet.Agents {
		if err := d.launch(ctx, s, log); err != nil {
			return err
		}
	}
	if err := d.awaitBundle(ctx, d.fleet.Sequence(), startTimeout); err != nil {
		return err
	}
	for _, s := range d.fleet.Entries {
		d.fleet.Fabric.AddEntry(standin.FabricAddress(s))
	}
	d.progress("%d entries and %d agents are running; the fabric sends each packet to a random entry", d.entryCount, len(d.runners)-d.entryCount)
	return nil
}

// runScenario kills an entry, drains a host and publishes a bundle under load. It
// returns the time until the bundle was in force in every process.
func (d *demo) runScenario(ctx context.Context) (time.Duration, error) {
	pause := d.options.Duration / 4
	if err := wait.For(ctx, pause); err != nil {
		return 0, err
	}
	d.progress("entry %s is killed", d.runners[0].name)
	d.runners[0].kill()
	d.fleet.Fabric.KillEntry(standin.FabricAddress(d.fleet.Entries[0]), fabricLag)
	if err := wait.For(ctx, pause); err != nil {
		return 0, err
	}
	d.progress("host %s begins to drain", d.fleet.Agents[0].GetName())
	d.fleet.Hosts[0].Drain()
	if err := wait.For(ctx, pause); err != nil {
		return 0, err
	}
	publishedAt := time.Now()
	sequence, err := d.fleet.PublishBundle(drainSecondTarget)
	if err != nil {
		return 0, err
	}
	d.fleet.Hosts[1].ExpectNoOpenings()
	d.progress("bundle %d is published; it drains %s", sequence, d.fleet.Agents[1].GetName())
	if err := d.awaitBundle(ctx, sequence, 2*maxBundleDelay); err != nil {
		return 0, err
	}
	inForce := time.Since(publishedAt)
	d.progress("bundle %d is in force in every process after %v", sequence, inForce.Round(time.Millisecond))
	return inForce, wait.For(ctx, max(0, pause-inForce))
}

func drainSecondTarget(b *schema.Bundle) {
	b.GetServices()[0].GetTargets()[1].State = schema.TargetState_TARGET_STATE_DRAINING
}

func (d *demo) progress(format string, args ...any) {
	if d.options.JSON {
		return
	}
	elapsed := time.Since(d.startedAt).Round(10 * time.Millisecond)
	_, _ = fmt.Fprintf(d.options.Out, "%7v  %s\n", elapsed, fmt.Sprintf(format, args...))
}
