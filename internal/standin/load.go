package standin

import (
	"context"
	"net/netip"
	"time"
)

// LoadOptions configures the load that clients put on a fleet.
type LoadOptions struct {
	// TrackingFlows is the number of long-lived flows that repeat Tracking
	// requests.
	TrackingFlows int
	// BookingInterval and UploadInterval are the times between new flows of the
	// kind.
	BookingInterval, UploadInterval time.Duration
	// Deadline bounds openings and responses; 0 means 5 s.
	Deadline time.Duration
}

// DefaultLoad returns a load that keeps flows of every kind open without
// filling the slots.
func DefaultLoad() LoadOptions {
	return LoadOptions{TrackingFlows: 40, BookingInterval: 10 * time.Millisecond, UploadInterval: 40 * time.Millisecond}
}

const (
	uploadBytes   = 30_000
	bookingBytes  = 400
	responseBytes = 4_000
	trackingBytes = 1_500
	trackingPoll  = 200 * time.Millisecond
	trackingPause = 50 * time.Millisecond
	// openRetries is the number of retries of a refused opening; dispatch
	// software retries likewise.
	openRetries = 3
)

// Load is a running load; it opens flows until Stop.
type Load struct {
	fleet   *Fleet
	clients []*Client
	stop    context.CancelFunc
	done    chan struct{}
}

// sampleInterval is the time between samples of the hosts' load.
const sampleInterval = 10 * time.Millisecond

// StartLoad opens the tracking flows and starts the load. The fleet's first
// service receives bookings and tracking flows, its second one uploads.
func (f *Fleet) StartLoad(options LoadOptions) *Load {
	ctx, stop := context.WithCancel(context.Background())
	l := &Load{fleet: f, stop: stop, done: make(chan struct{})}
	for i := range 2 {
		l.clients = append(l.clients, NewClient(ClientOptions{
			Fabric: f.Fabric, Ledger: f.Ledger, Source: netip.AddrFrom4([4]byte{192, 0, 2, byte(i + 1)}),
			Seed: f.options.Seed + uint64(i), OpenDeadline: options.Deadline, ResponseDeadline: options.Deadline,
		}))
	}
	for range options.TrackingFlows {
		l.clients[0].Open(f.trackingPlan())
	}
	go l.run(ctx, options)
	return l
}

func (f *Fleet) trackingPlan() Plan {
	return Plan{
		Destination: f.ServiceAddress(0), Service: 1, Repeat: true, Pause: trackingPause, Retries: openRetries,
		Requests: []Request{{Kind: Tracking, Size: 50, ResponseSize: trackingBytes, Poll: trackingPoll}},
	}
}

func (l *Load) run(ctx context.Context, options LoadOptions) {
	defer close(l.done)
	bookings, uploads, samples := time.NewTicker(options.BookingInterval), time.NewTicker(options.UploadInterval), time.NewTicker(sampleInterval)
	defer bookings.Stop()
	defer uploads.Stop()
	defer samples.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-bookings.C:
			l.clients[0].Open(Plan{
				Destination: l.fleet.ServiceAddress(0), Service: 1, Retries: openRetries,
				Requests: []Request{{Kind: Booking, Size: bookingBytes, ResponseSize: responseBytes}},
			})
		case <-uploads.C:
			l.clients[1].Open(Plan{
				Destination: l.fleet.ServiceAddress(1), Service: 2, Retries: openRetries,
				Requests: []Request{{Kind: Upload, Size: uploadBytes, ResponseSize: bookingBytes}, {Kind: Booking, ResponseSize: responseBytes}},
			})
		case <-samples.C:
			l.fleet.Ledger.Sample(l.fleet.Hosts)
		}
	}
}

// Stop stops opening flows, waits until the open flows have finished their
// current request or ctx is done, and returns the number of flows still open.
func (l *Load) Stop(ctx context.Context) int {
	l.stop()
	<-l.done
	open := 0
	for _, c := range l.clients {
		open += c.Finish(ctx)
	}
	return open
}

// Close stops the clients after Stop. Until then they respond to late segments.
func (l *Load) Close() {
	for _, c := range l.clients {
		c.Close()
	}
}
