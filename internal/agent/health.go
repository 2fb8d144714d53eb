package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	healthInterval = time.Second
	healthTimeout  = 800 * time.Millisecond
	// maxHealthBytes bounds an answer of the health endpoint.
	maxHealthBytes = 4096
)

// Health is an answer of the host's health and load endpoint.
type Health struct {
	// State is "ready", "starting" or "draining".
	State       string `json:"state"`
	BusySlots   int    `json:"busy_slots"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// healthLoop polls the host's endpoint. A failed poll changes nothing: the
// endpoint may be late or broken while the host serves.
func (a *Agent) healthLoop(ctx context.Context) error {
	url := a.node.Settings.GetAgent().GetHealthUrl()
	if url == "" {
		<-ctx.Done()
		return nil
	}
	client := &http.Client{Timeout: healthTimeout}
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		health, err := pollHealth(ctx, client, url)
		if err != nil {
			a.counters.healthFailed.Inc(1)
		} else {
			a.applyHealth(health)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pollHealth reads one answer. Status 200 and 503 carry a report; any other
// answer is an error.
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
		return Health{}, fmt.Errorf("health endpoint answered %s", response.Status)
	}
	var health Health
	if err := json.NewDecoder(io.LimitReader(response.Body, maxHealthBytes)).Decode(&health); err != nil {
		return Health{}, fmt.Errorf("decode health report: %w", err)
	}
	return health, nil
}

func (a *Agent) applyHealth(Health) {}
