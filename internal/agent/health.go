package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/heathergw/heathergw/internal/flow"
	"github.com/heathergw/heathergw/internal/node"
)

const (
	healthInterval = time.Second
	healthTimeout  = 800 * time.Millisecond
	// maxHealthBytes limits the size of a response of the health endpoint.
	maxHealthBytes = 4096
)

// Health is a response of the host's health and load endpoint.
type Health struct {
	// State is "ready", "starting", "shedding" or "draining".
	State     string `json:"state"`
	BusySlots int    `json:"busy_slots"`
	Slots     int    `json:"slots"`
	// Connections is nil if the endpoint does not report it.
	Connections *int `json:"connections"`
	// StartID identifies the current run of the host, and UptimeSeconds is the
	// time since its start. Both are optional; without them a restart of the
	// host is detected by the resets it sends.
	StartID       uint64  `json:"start_id"`
	UptimeSeconds float64 `json:"uptime_seconds"`
}

// healthLoop polls the host's health endpoint.
func (a *Agent) healthLoop(ctx context.Context) error {
	url := a.node.Settings.GetAgent().GetHealthUrl()
	if url == "" {
		<-ctx.Done()
		return nil
	}
	// A report that arrives late must not be taken for the next one.
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	s := a.newSender()
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		health, err := pollHealth(ctx, client, url)
		if err != nil {
			a.counters.healthFailed.Inc(1)
		}
		a.applyHealth(s, health, err != nil)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pollHealth requests one health report. Responses with status 200 and 503
// contain a report; any other status is an error.
func pollHealth(ctx context.Context, client *http.Client, url string) (Health, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Health{}, fmt.Errorf("health_url: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return Health{}, fmt.Errorf("read health endpoint: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable {
		return Health{}, fmt.Errorf("health endpoint returned status %s", response.Status)
	}
	var health Health
	if err := json.NewDecoder(io.LimitReader(response.Body, maxHealthBytes)).Decode(&health); err != nil {
		return Health{}, fmt.Errorf("decode health report: %w", err)
	}
	return health, nil
}

// applyHealth passes a health report, or the failure to get one, to the flow
// table.
func (a *Agent) applyHealth(s *sender, h Health, failed bool) {
	report := flow.HostReport{Failed: failed}
	if !failed {
		report.BusySlots = h.BusySlots
		if h.Connections != nil {
			report.Connections, report.ConnectionsKnown = *h.Connections, true
		}
		report.StartID = h.StartID
		report.Uptime = time.Duration(h.UptimeSeconds * float64(time.Second))
		report.Draining = h.State == "draining"
		report.Starting = h.State == "starting"
		report.Shedding = h.State == "shedding"
	}
	a.table.ApplyHostReport(report, node.Clock(), &s.actions)
	s.perform()
	s.flush()
}
