// Package demo runs entries, agents and stand-ins of everything around them in
// one process over loopback sockets, breaks parts of them under load, and
// reports what callers and hosts saw.
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
	// DefaultDuration is the time under load.
	DefaultDuration = 5 * time.Second
	// MinDuration lets every step of the demo run.
	MinDuration = 2 * time.Second

	startLimit = 10 * time.Second
	// bundleLimit is the bound of promise P8.
	bundleLimit = 4 * time.Second
	// finishLimit is longer than every deadline of a caller.
	finishLimit = 8 * time.Second
	// fabricLag is how late the fabric learns that an entry is gone.
	fabricLag = 500 * time.Millisecond
)

// Options configures a run.
type Options struct {
	// Duration is the time under load; 0 means DefaultDuration.
	Duration time.Duration
	// Seed drives every random choice of the stand-ins.
	Seed uint64
	// JSON prints the result as one JSON document and no progress.
	JSON bool
	// Out receives progress and result.
	Out io.Writer
}

// Result is what callers and hosts saw, and the time until the rolled bundle
// was in force in every process.
type Result struct {
	standin.Report
	BundleInForceMS int64 `json:"bundle_in_force_ms"`
	// FlowsUnfinished counts flows that did not end after the load stopped.
	FlowsUnfinished int `json:"flows_unfinished"`
}

// Violations counts broken promises.
func (r Result) Violations() int {
	late := 0
	if r.BundleInForceMS > bundleLimit.Milliseconds() {
		late = 1
	}
	return r.Report.Violations() + r.FlowsUnopened + r.FlowsUnfinished + late
}

// Run runs the demo and prints its result. The error tells what could not be
// started or written, or that ctx ended; broken promises are no error.
func Run(ctx context.Context, options Options) (Result, error) {
	if options.Duration == 0 {
		options.Duration = DefaultDuration
	}
	if options.Duration < MinDuration {
		return Result{}, fmt.Errorf("duration %v is shorter than %v", options.Duration, MinDuration)
	}
	d := &demo{options: options, begun: time.Now()}
	result, err := d.run(ctx)
	if err != nil {
		return result, err
	}
	return result, write(options, result, d.fleet.Ledger.Events())
}

type demo struct {
	options Options
	begun   time.Time
	fleet   *standin.Fleet
	nodes   []*runner
	entries int
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
	inForce, err := d.steps(ctx)
	finish, cancel := context.WithTimeout(ctx, finishLimit)
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

// fleetOptions is Blue Mahoe's fleet with requests that hold a slot long
// enough for the chosen load.
func fleetOptions(seed uint64) standin.FleetOptions {
	options := standin.BlueMahoe(seed)
	for i := range options.Services {
		options.Services[i].ServiceTime = 150 * time.Millisecond
	}
	return options
}

// loadOptions keeps about half of the slots busy with bookings and uploads:
// 167 bookings a second of 0.15 s in 49 slots, and 33 flows a second of two
// requests of 0.15 s in 21 slots.
func loadOptions() standin.LoadOptions {
	return standin.LoadOptions{Screens: 30, BookingEvery: 6 * time.Millisecond, UploadEvery: 30 * time.Millisecond}
}

// start runs all processes and waits until each has the first bundle.
func (d *demo) start(ctx context.Context) error {
	log := zap.NewNop()
	for _, s := range d.fleet.Entries {
		if err := d.launch(ctx, s, log); err != nil {
			return err
		}
	}
	d.entries = len(d.nodes)
	for _, s := range d.fleet.Agents {
		if err := d.launch(ctx, s, log); err != nil {
			return err
		}
	}
	if err := d.awaitBundle(ctx, d.fleet.Sequence(), startLimit); err != nil {
		return err
	}
	for _, s := range d.fleet.Entries {
		d.fleet.Fabric.AddEntry(standin.FabricAddress(s))
	}
	d.progress("%d entries and %d agents run; every packet goes to a random entry", d.entries, len(d.nodes)-d.entries)
	return nil
}

// steps breaks and changes parts under load and returns the time until the
// rolled bundle was in force everywhere.
func (d *demo) steps(ctx context.Context) (time.Duration, error) {
	pause := d.options.Duration / 4
	if err := wait.For(ctx, pause); err != nil {
		return 0, err
	}
	d.progress("entry %s is killed", d.nodes[0].name)
	d.nodes[0].kill()
	d.fleet.Fabric.KillEntry(standin.FabricAddress(d.fleet.Entries[0]), fabricLag)
	if err := wait.For(ctx, pause); err != nil {
		return 0, err
	}
	d.progress("host %s drains", d.fleet.Agents[0].GetName())
	d.fleet.Hosts[0].Drain()
	if err := wait.For(ctx, pause); err != nil {
		return 0, err
	}
	rolled := time.Now()
	sequence, err := d.fleet.Roll(drainSecondTarget)
	if err != nil {
		return 0, err
	}
	d.fleet.Hosts[1].Leave()
	d.progress("bundle %d is rolled; it drains %s", sequence, d.fleet.Agents[1].GetName())
	if err := d.awaitBundle(ctx, sequence, 2*bundleLimit); err != nil {
		return 0, err
	}
	inForce := time.Since(rolled)
	d.progress("bundle %d is in force everywhere after %v", sequence, inForce.Round(time.Millisecond))
	return inForce, wait.For(ctx, max(0, pause-inForce))
}

func drainSecondTarget(b *schema.Bundle) {
	b.GetServices()[0].GetTargets()[1].State = schema.TargetState_TARGET_STATE_DRAINING
}

func (d *demo) progress(format string, args ...any) {
	if d.options.JSON {
		return
	}
	since := time.Since(d.begun).Round(10 * time.Millisecond)
	_, _ = fmt.Fprintf(d.options.Out, "%7v  %s\n", since, fmt.Sprintf(format, args...))
}
