package node

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net/netip"
	"time"

	"github.com/heathergw/heathergw/internal/audit"
	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/internal/dissemination"
	"github.com/heathergw/heathergw/schema"
)

// openBundles creates the bundle store and the dissemination runner.
func (n *Node) openBundles(fleetKeys [][]byte) error {
	roots, err := n.rootKeys()
	if err != nil {
		return err
	}
	n.Store = bundle.NewStore(bundle.StoreOptions{Roots: roots, Now: time.Now, OnDecision: n.recordDecision})
	seeds, err := parseAddresses("seed_peers", n.Settings.GetSeedPeers())
	if err != nil {
		return err
	}
	config := dissemination.RunnerConfig{
		Core: dissemination.Config{
			Name:       n.Settings.GetName(),
			DataCentre: n.Settings.GetDataCentre(),
			Region:     n.Settings.GetRegion(),
			Address:    n.Peers.Address(),
			Entry:      n.Settings.GetEntry() != nil,
			Seeds:      seeds,
			RandomSeed: n.StartID,
		},
		FleetKeys: fleetKeys,
		Listener:  n.streamListener,
		Store:     n.Store,
		BundleKey: n.Settings.GetPlatform().GetBundleKey(),
		VMListKey: n.Settings.GetPlatform().GetVmListKey(),
		Send:      func(to netip.AddrPort, m *schema.Control) { n.SendControl(m, to) },
		Audit:     n.Audit,
		Metrics:   n.Metrics,
		Clock:     func() time.Duration { return time.Duration(Clock()) },
	}
	if url := n.Settings.GetPlatform().GetUrl(); url != "" {
		if config.Platform, err = configstore.New(url, n.Metrics); err != nil {
			return fmt.Errorf("platform.url: %w", err)
		}
	}
	n.Runner, err = dissemination.NewRunner(config)
	return err
}

func (n *Node) rootKeys() ([]ed25519.PublicKey, error) {
	const field = "bundle_public_keys"
	decoded, err := decodeKeys(field, n.Settings.GetBundlePublicKeys())
	if err != nil {
		return nil, err
	}
	var roots []ed25519.PublicKey
	for i, key := range decoded {
		if len(key) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("%s[%d]: key has %d bytes, want %d", field, i, len(key), ed25519.PublicKeySize)
		}
		roots = append(roots, key)
	}
	return roots, nil
}

func parseAddresses(field string, values []string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for i, value := range values {
		address, err := netip.ParseAddrPort(value)
		if err != nil {
			return nil, fmt.Errorf("%s[%d]: %w", field, i, err)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// recordDecision adds a decision of the bundle store to the audit trail and
// signals a new view. It is called with the store's lock held, so it must not
// block.
func (n *Node) recordDecision(d bundle.Decision) {
	outcome := audit.Refused
	if d.Accepted() {
		outcome = audit.Accepted
		select {
		case n.viewChanged <- struct{}{}:
		default: // a signal is already pending
		}
	}
	n.Audit.Add(audit.Record{
		Source: d.Source, Subject: "bundle", From: d.From.String(), To: d.To.String(),
		Reason: d.Outcome.String() + ": " + d.Reason, Outcome: outcome,
	})
}

// FollowViews calls set with the current view after each change of the current
// bundle, until ctx is cancelled.
func (n *Node) FollowViews(ctx context.Context, set func(*bundle.View)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.viewChanged:
			set(n.Store.View())
		}
	}
}

// FailureTimeout returns the failure timeout of the current bundle, or the
// default without a bundle.
func (n *Node) FailureTimeout() time.Duration {
	if v := n.Store.View(); v != nil {
		return v.FailureTimeout
	}
	return bundle.DefaultFailureTimeout
}
