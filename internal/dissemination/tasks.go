package dissemination

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/internal/transport"
	"github.com/heathergw/heathergw/schema"
)

// respond answers a pull from a peer. It runs in goroutines of the server.
func (r *Runner) respond(request *schema.BundleRequest) (*schema.BundleResponse, error) {
	response := r.responder.respond(request, r.vms.Load())
	if response.GetBusy() {
		r.metrics.responsesLimited.Inc(1)
	}
	return response, nil
}

func (r *Runner) pull(ctx context.Context, peer netip.AddrPort) {
	held := r.config.Store.Signed()
	if r.pullWhole.Load() {
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
		if err = applyResponse(r.config.Store, response, held, peer.String()); err != nil {
			outcome = PullRefused
			r.metrics.bundlesRefused.Inc(1)
		}
		r.pullWhole.Store(err != nil)
	}
	r.postResult(ctx, func(now time.Duration, out *Actions) {
		if list := response.GetVmList(); list != nil {
			r.applyVMList(list.GetDocument(), peer.String(), out, func(hash uint64) (uint64, bool) {
				return list.GetVersion(), r.core.AcceptPeerVMs(list.GetVersion(), hash)
			})
		}
		if outcome == PullRefused {
			out.Changes = append(out.Changes, Change{Source: peer.String(), Subject: "pull", Reason: err.Error(), Refused: true})
		}
		r.syncCore(now)
		r.core.PullDone(peer, outcome, now, out)
	})
}

// applyDifference verifies the difference included in an announcement, in a
// goroutine outside the event loop, and then handles the announcement. It
// returns false if it starts no verification; the announcement then leads to a
// pull.
func (r *Runner) applyDifference(from netip.AddrPort, m *schema.Announcement) bool {
	difference, held := m.GetDifference(), r.config.Store.Signed()
	if r.applyingDifference || held == nil || m.GetSequence() <= held.Sequence || !bytes.Equal(difference.GetBaseDigest(), held.Digest[:]) {
		return false
	}
	r.applyingDifference = true
	r.tasks.Go(func() {
		if err := applyResponse(r.config.Store, difference.GetResponse(), held, from.String()); err != nil {
			r.metrics.bundlesRefused.Inc(1)
		} else {
			r.metrics.differencesApplied.Inc(1)
		}
		r.postResult(r.taskContext, func(now time.Duration, out *Actions) {
			r.applyingDifference = false
			r.syncCore(now)
			r.core.HandleAnnouncement(from, m, now, out)
		})
	})
	return true
}

// readPlatform reads each key once during the startup phase.
func (r *Runner) readPlatform(ctx context.Context) {
	if r.config.Core.Entry && r.config.VMListKey != "" {
		value, err := r.config.Platform.Get(ctx, r.config.VMListKey)
		r.handleVMListUpdate(ctx, configstore.Update{Value: value, Err: err})
	}
	value, err := r.config.Platform.Get(ctx, r.config.BundleKey)
	r.handleBundleUpdate(ctx, configstore.Update{Value: value, Err: err})
}

func (r *Runner) startWatch(ctx context.Context) {
	ctx, r.stopWatch = context.WithCancel(ctx)
	r.tasks.Go(func() {
		r.config.Platform.Watch(ctx, r.config.BundleKey, func(u configstore.Update) { r.handleBundleUpdate(ctx, u) })
	})
	if r.config.VMListKey == "" {
		return
	}
	r.tasks.Go(func() {
		r.config.Platform.Watch(ctx, r.config.VMListKey, func(u configstore.Update) { r.handleVMListUpdate(ctx, u) })
	})
}

// handleBundleUpdate handles a result for the bundle key. It verifies the value
// outside the event loop because verification takes milliseconds.
func (r *Runner) handleBundleUpdate(ctx context.Context, u configstore.Update) {
	if u.Err == nil && !u.Unchanged {
		// The store reports the decision to the audit trail.
		if _, err := r.config.Store.OfferBytes(u.Data, "platform"); err != nil {
			r.metrics.bundlesRefused.Inc(1)
		}
	}
	r.postResult(ctx, func(now time.Duration, out *Actions) {
		r.syncCore(now)
		r.core.PlatformAnswered(u.Healthy(), now, out)
	})
}

func (r *Runner) handleVMListUpdate(ctx context.Context, u configstore.Update) {
	if u.Err != nil {
		return
	}
	r.postResult(ctx, func(now time.Duration, out *Actions) {
		r.applyVMList(u.Data, "platform", out, func(hash uint64) (uint64, bool) {
			accepted := r.core.AcceptPlatformVMs(u.Index, hash, now)
			return r.core.vms.version, accepted
		})
	})
}

// applyVMList checks a VM list and puts it in use if accept returns true. An
// invalid list changes nothing and is audited, once in a row for the same
// content.
func (r *Runner) applyVMList(document []byte, source string, out *Actions, accept func(hash uint64) (uint64, bool)) {
	hash := xxhash.Sum64(document)
	list, err := configstore.ParseVMs(document)
	if err != nil {
		r.metrics.vmListsRefused.Inc(1)
		if r.lastRefusedVMs != hash {
			r.lastRefusedVMs = hash
			out.Changes = append(out.Changes, Change{Source: source, Subject: "vm list", Reason: firstError(err), Refused: true})
		}
		return
	}
	if version, accepted := accept(hash); accepted {
		r.vms.Store(&vmDocument{version: version, document: document, list: list})
	}
}

// firstError returns the first of several joined errors: a list of thousands of
// VMs can produce very many.
func firstError(err error) string {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) && len(joined.Unwrap()) > 0 {
		return joined.Unwrap()[0].Error()
	}
	return err.Error()
}
