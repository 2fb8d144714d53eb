package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxHealthLag is the maximum lag of the health endpoint.
const maxHealthLag = 10 * time.Second

// Health is the response body of a host's health and load endpoint.
type Health struct {
	// State is ready, starting or draining; only ready is sent with status
	// 200.
	State       string `json:"state"`
	BusySlots   int    `json:"busy_slots"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

type healthSample struct {
	at                time.Time
	state             string
	busy, connections int
}

// healthEndpoint keeps a history of the host's state, so that it can report an
// old one. Lock order: Host.mu before mu.
type healthEndpoint struct {
	address string

	mu       sync.Mutex
	state    string
	lag      time.Duration
	zeroLoad bool
	history  []healthSample
}

func (e *healthEndpoint) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state, e.history = "ready", []healthSample{{at: time.Now(), state: "ready"}}
}

func (e *healthEndpoint) setState(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
}

func (e *healthEndpoint) ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state == "ready"
}

func (e *healthEndpoint) setLag(lag time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lag = lag
}

func (e *healthEndpoint) getLag() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lag
}

func (e *healthEndpoint) setZero(zero bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zeroLoad = zero
}

func (e *healthEndpoint) record(now time.Time, busy, connections int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history = append(e.history, healthSample{now, e.state, busy, connections})
	if old := len(e.history) - int(maxHealthLag/tickInterval); old > 0 {
		e.history = e.history[old:]
	}
}

func (e *healthEndpoint) report(now time.Time, slots int) Health {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := Health{State: e.state, Slots: slots}
	sample := e.history[0]
	for i := len(e.history) - 1; i >= 0; i-- {
		if now.Sub(e.history[i].at) >= e.lag {
			sample = e.history[i]
			break
		}
	}
	if e.lag > 0 {
		out.State = sample.state
	}
	if !e.zeroLoad {
		out.BusySlots, out.Connections = sample.busy, sample.connections
	}
	return out
}

// serveHealth starts the health endpoint's HTTP server.
func (h *Host) serveHealth() (*http.Server, error) {
	listener, err := net.Listen("tcp", h.health.address)
	if err != nil {
		return nil, err
	}
	if h.done == nil { // Later starts reuse the ports of the first one.
		h.health.address = listener.Addr().String()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		report := h.health.report(time.Now(), h.options.Slots)
		w.Header().Set("Content-Type", "application/json")
		if report.State != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(report)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}
