package relaynode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/node"
)

// serve returns an actor that serves handler on l until its context is cancelled.
func (p *process) serve(l net.Listener, handler http.Handler) func(context.Context) error {
	return func(ctx context.Context) error {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", l.Addr(), err)
		}
		return nil
	}
}

// isReady reports whether the process can forward packets: it has a configuration
// and is not stopping.
func (p *process) isReady() bool {
	v := p.core.View.Load()
	return v != nil && v.ConfigurationKnown && !p.stopping.Load()
}

func (p *process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *process) serveStatus(w http.ResponseWriter, _ *http.Request) {
	counters, err := p.metrics.Counters()
	if err != nil {
		p.log.Warn("cannot gather counters", zap.Error(err))
	}
	role := "entry"
	if p.settings.GetAgent() != nil {
		role = "agent"
	}
	s := node.Status{
		Name: p.settings.GetName(), Role: role, DataCentre: p.settings.GetDataCentre(),
		Ready: p.isReady(), Stopping: p.stopping.Load(),
		Targets: []node.TargetStatus{}, Counters: counters, Audit: p.audit.Records(),
	}
	if v := p.core.View.Load(); v != nil {
		s.Sequence = v.At.Revision
		now := node.Clock()
		s.Store = &node.StoreStatus{
			Era: v.At.Era, Revision: v.At.Revision, ConfigurationVersion: v.Version,
			AgeMillis: (now - p.core.AsOf.Load()) / int64(time.Millisecond),
		}
		s.Store.Evacuated = v.EvacuatedDataCentres()
		if source := p.viewSource.Load(); source != nil {
			s.Store.Source = *source
		}
		v.Members(func(m *catalog.Member) {
			t := node.NewTargetStatus(m.Target)
			t.State = m.State.String()
			if m.Evacuated && m.State == catalog.Ready {
				t.State = "evacuated"
			}
			if p.core.Reach.Silent(m.ID, now) {
				t.State = "silent"
			}
			s.Targets = append(s.Targets, t)
		})
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(s); err != nil {
		p.log.Info("cannot write status response", zap.Error(err))
	}
}
