package dissemination

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/heathergw/heathergw/internal/platform"
	"github.com/heathergw/heathergw/internal/transport"
	"github.com/heathergw/heathergw/schema"
)

// respond answers a pull of a peer. It runs in goroutines of the server.
func (r *Runner) respond(request *schema.BundleRequest) (*schema.BundleResponse, error) {
	response := r.replies.respond(request, r.vms.Load())
	if response.GetBusy() {
		r.metrics.limited.Inc(1)
	}
	return response, nil
}

func (r *Runner) pull(ctx context.Context, peer netip.AddrPort) {
	held := r.config.Store.Signed()
	if r.whole.Load() {
		held = nil
	}
	request := requestFor(held)
	if vms := r.vms.Load(); vms != nil {
		request.HaveVmVersion = vms.version
	}
	r.metrics.pulls.Inc(1)
	response, err := r.client.Pull(ctx, peer, request)
	outcome := PullOK
	switch {
	case transport.IsUnauthenticated(err):
		outcome = PullRefused
	case err != nil:
		outcome = PullFailed
		r.metrics.pullFailures.Inc(1)
	case response.GetSigned() != nil:
		if err = accept(r.config.Store, response, held, peer.String()); err != nil {
			outcome = PullRefused
			r.metrics.refused.Inc(1)
		}
		r.whole.Store(err != nil)
	}
	r.post(ctx, func(now time.Duration, out *Actions) {
		if list := response.GetVmList(); list != nil {
			r.offerVMs(list.GetDocument(), peer.String(), out, func(hash uint64) (uint64, bool) {
				return list.GetVersion(), r.core.OfferVMs(list.GetVersion(), hash)
			})
		}
		if outcome == PullRefused {
			out.Changes = append(out.Changes, Change{Source: peer.String(), Subject: "pull", Reason: err.Error(), Refused: true})
		}
		r.follow(now)
		r.core.PullDone(peer, outcome, now, out)
	})
}

// takeDifference verifies a difference that rides on an announcement, outside
// the event loop, and handles the announcement after that. It reports whether
// it does so; otherwise the announcement leads to a pull.
func (r *Runner) takeDifference(from netip.AddrPort, m *schema.Announcement) bool {
	difference, held := m.GetDifference(), r.config.Store.Signed()
	if r.taking || held == nil || m.GetSequence() <= held.Sequence || !bytes.Equal(difference.GetBaseDigest(), held.Digest[:]) {
		return false
	}
	r.taking = true
	r.tasks.Go(func() {
		if err := accept(r.config.Store, difference.GetResponse(), held, from.String()); err != nil {
			r.metrics.refused.Inc(1)
		} else {
			r.metrics.inlined.Inc(1)
		}
		r.post(r.context, func(now time.Duration, out *Actions) {
			r.taking = false
			r.follow(now)
			r.core.Announcement(from, m, now, out)
		})
	})
	return true
}

// readPlatform reads each key once in the start phase.
func (r *Runner) readPlatform(ctx context.Context) {
	if r.config.Core.Entry && r.config.VMListKey != "" {
		value, err := r.config.Platform.Get(ctx, r.config.VMListKey)
		r.takeVMs(ctx, platform.Update{Value: value, Err: err})
	}
	value, err := r.config.Platform.Get(ctx, r.config.BundleKey)
	r.takeBundle(ctx, platform.Update{Value: value, Err: err})
}

func (r *Runner) startWatch(ctx context.Context) {
	ctx, r.stopWatch = context.WithCancel(ctx)
	r.tasks.Go(func() {
		r.config.Platform.Watch(ctx, r.config.BundleKey, func(u platform.Update) { r.takeBundle(ctx, u) })
	})
	if r.config.VMListKey == "" {
		return
	}
	r.tasks.Go(func() {
		r.config.Platform.Watch(ctx, r.config.VMListKey, func(u platform.Update) { r.takeVMs(ctx, u) })
	})
}

// takeBundle handles a result for the bundle key. The value is verified here
// and not in the event loop, because that takes milliseconds.
func (r *Runner) takeBundle(ctx context.Context, u platform.Update) {
	if u.Err == nil && !u.Unchanged {
		// The store records the decision for the audit trail.
		if _, err := r.config.Store.OfferBytes(u.Data, "platform"); err != nil {
			r.metrics.refused.Inc(1)
		}
	}
	r.post(ctx, func(now time.Duration, out *Actions) {
		r.follow(now)
		r.core.PlatformAnswered(u.Healthy(), now, out)
	})
}

func (r *Runner) takeVMs(ctx context.Context, u platform.Update) {
	if u.Err != nil {
		return
	}
	r.post(ctx, func(now time.Duration, out *Actions) {
		r.offerVMs(u.Data, "platform", out, func(hash uint64) (uint64, bool) {
			taken := r.core.OfferPlatformVMs(u.Index, hash, now)
			return r.core.vms.version, taken
		})
	})
}

// offerVMs checks a VM list and puts it in use when decide takes it. A list
// that fails its checks changes nothing and is audited once for each content.
func (r *Runner) offerVMs(document []byte, source string, out *Actions, decide func(hash uint64) (uint64, bool)) {
	hash := xxhash.Sum64(document)
	list, err := platform.ParseVMs(document)
	if err != nil {
		r.metrics.vmRefused.Inc(1)
		if r.refusedVMs != hash {
			r.refusedVMs = hash
			out.Changes = append(out.Changes, Change{Source: source, Subject: "vm list", Reason: firstError(err), Refused: true})
		}
		return
	}
	if version, taken := decide(hash); taken {
		r.vms.Store(&vmDocument{version: version, document: document, list: list})
	}
}

// firstError shortens the joined findings of a list of thousands of VMs.
func firstError(err error) string {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) && len(joined.Unwrap()) > 0 {
		return joined.Unwrap()[0].Error()
	}
	return err.Error()
}
