package standin

import (
	"context"
	"net/netip"
	"time"
)

// LoadOptions is the work of the callers of a fleet.
type LoadOptions struct {
	// Screens is the number of tracking flows that stay open.
	Screens int
	// BookingEvery and UploadEvery are the times between new flows.
	BookingEvery, UploadEvery time.Duration
	// Deadline bounds openings and answers; 0 means 5 s.
	Deadline time.Duration
}

// DefaultLoad keeps every kind of flow open without filling the slots.
func DefaultLoad() LoadOptions {
	return LoadOptions{Screens: 40, BookingEvery: 10 * time.Millisecond, UploadEvery: 40 * time.Millisecond}
}

const (
	uploadBytes  = 30_000
	bookingBytes = 400
	answerBytes  = 4_000
	screenBytes  = 1_500
	screenPoll   = 200 * time.Millisecond
	screenPause  = 50 * time.Millisecond
	// openRetries repeats a refused opening, as dispatch software does.
	openRetries = 3
)

// Load opens flows until Stop.
type Load struct {
	fleet   *Fleet
	callers []*Caller
	stop    context.CancelFunc
	done    chan struct{}
}

// sampleInterval is the time between two samples of the hosts' load.
const sampleInterval = 10 * time.Millisecond

// StartLoad opens the tracking flows and starts the load of a fleet whose
// first service takes bookings and whose second one takes uploads.
func (f *Fleet) StartLoad(options LoadOptions) *Load {
	ctx, stop := context.WithCancel(context.Background())
	l := &Load{fleet: f, stop: stop, done: make(chan struct{})}
	for i := range 2 {
		l.callers = append(l.callers, NewCaller(CallerOptions{
			Fabric: f.Fabric, Ledger: f.Ledger, Source: netip.AddrFrom4([4]byte{192, 0, 2, byte(i + 1)}),
			Seed: f.options.Seed + uint64(i), OpenDeadline: options.Deadline, AnswerDeadline: options.Deadline,
		}))
	}
	for range options.Screens {
		l.callers[0].Open(f.screen())
	}
	go l.run(ctx, options)
	return l
}

func (f *Fleet) screen() Plan {
	return Plan{
		Destination: f.Address(0), Service: 1, Repeat: true, Pause: screenPause, Retries: openRetries,
		Requests: []Request{{Kind: Tracking, Size: 50, AnswerSize: screenBytes, Poll: screenPoll}},
	}
}

func (l *Load) run(ctx context.Context, options LoadOptions) {
	defer close(l.done)
	bookings, uploads, samples := time.NewTicker(options.BookingEvery), time.NewTicker(options.UploadEvery), time.NewTicker(sampleInterval)
	defer bookings.Stop()
	defer uploads.Stop()
	defer samples.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-bookings.C:
			l.callers[0].Open(Plan{
				Destination: l.fleet.Address(0), Service: 1, Retries: openRetries,
				Requests: []Request{{Kind: Booking, Size: bookingBytes, AnswerSize: answerBytes}},
			})
		case <-uploads.C:
			l.callers[1].Open(Plan{
				Destination: l.fleet.Address(1), Service: 2, Retries: openRetries,
				Requests: []Request{{Kind: Upload, Size: uploadBytes, AnswerSize: bookingBytes}, {Kind: Booking, AnswerSize: answerBytes}},
			})
		case <-samples.C:
			l.fleet.Ledger.Sample(l.fleet.Hosts)
		}
	}
}

// Stop ends the load, waits for the present requests at most until ctx ends,
// and returns the number of flows that did not end.
func (l *Load) Stop(ctx context.Context) int {
	l.stop()
	<-l.done
	open := 0
	for _, c := range l.callers {
		open += c.Finish(ctx)
	}
	return open
}

// Close ends the callers after Stop. Until then they answer late segments.
func (l *Load) Close() {
	for _, c := range l.callers {
		c.Close()
	}
}
