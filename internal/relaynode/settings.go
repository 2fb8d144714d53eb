package relaynode

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/schema"
)

// seedHosts returns the addresses of the seeds. It skips invalid ones, which
// validated settings do not contain.
func seedHosts(s *schema.Settings) []netip.Addr {
	var list []netip.Addr
	for _, text := range s.GetRelay().GetSeedHosts() {
		if a, err := netip.ParseAddrPort(text); err == nil {
			list = append(list, a.Addr())
		}
	}
	return list
}

// watchSettings rereads the settings after a signal and periodically, because the
// file may change without a signal. Only the seeds take effect while the process
// runs; changes to other settings apply at the next start.
func (p *process) watchSettings(ctx context.Context) error {
	current := p.settings
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-p.reloadRequests:
			signalled = true
		case <-ticker.C:
		}
		current = p.reloadSettings(current, signalled)
	}
}

// reloadSettings rereads the settings and returns them, or current if that failed.
func (p *process) reloadSettings(current *schema.Settings, signalled bool) *schema.Settings {
	if p.loadSettings == nil {
		return current
	}
	s, err := p.loadSettings()
	if err != nil {
		p.counters.badSettings.Inc(1)
		if p.log.AllowDecision() {
			p.log.Warn("settings refused; the former ones stay in force", zap.Error(err))
		}
		return current
	}
	changed := !proto.Equal(current, s)
	if changed {
		p.directory.SetSeeds(seedHosts(s))
	}
	if changed || signalled {
		p.log.Info("settings read again", zap.Bool("changed", changed), zap.Bool("signal", signalled),
			zap.Strings("seeds", s.GetRelay().GetSeedHosts()))
	}
	return s
}
