package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPlatformWait is the maximum duration of a blocking query, as in Consul.
const maxPlatformWait = 10 * time.Minute

// PlatformMode selects how the fake platform responds.
type PlatformMode int

// Modes of the platform.
const (
	// PlatformUp responds according to the published interface.
	PlatformUp PlatformMode = iota
	// PlatformDown closes every connection without a response.
	PlatformDown
	// PlatformStale responds with the values from when the mode was set.
	PlatformStale
	// PlatformGarbage responds with an invalid index and a body that was never
	// written.
	PlatformGarbage
	// PlatformError responds with status 500.
	PlatformError
)

type platformValue struct {
	value []byte
	index uint64
}

// Platform fakes the read part of Consul's key-value HTTP interface, including
// blocking queries. Its methods may be called concurrently.
type Platform struct {
	server   *http.Server
	listener net.Listener

	mu          sync.Mutex
	mode        PlatformMode
	index       uint64
	values      map[string]platformValue
	staleValues map[string]platformValue
	changed     chan struct{}
	reads       int
}

// NewPlatform serves on a free loopback port.
func NewPlatform() (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{listener: listener, index: 1, values: map[string]platformValue{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/", p.get)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// URL returns the base URL for PlatformSettings.
func (p *Platform) URL() string { return "http://" + p.listener.Addr().String() }

// Close stops the server and ends every blocked watch.
func (p *Platform) Close() { _ = p.server.Close() }

// Set publishes a value and wakes the watches.
func (p *Platform) Set(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.values[key] = platformValue{append([]byte(nil), value...), p.index}
	p.wakeWatches()
}

// SetMode changes how the platform responds and wakes the watches.
func (p *Platform) SetMode(mode PlatformMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == PlatformStale {
		p.staleValues = make(map[string]platformValue, len(p.values))
		for key, value := range p.values {
			p.staleValues[key] = value
		}
	}
	p.mode = mode
	p.wakeWatches()
}

func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reads returns the number of reads so far; a blocked watch counts as one.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/kv/")
	index, wait, err := blockingQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for expired := false; ; {
		mode, value, found, changed := p.lookup(key)
		current := value.index
		if !found {
			current = p.currentIndex()
		}
		if mode != PlatformUp && mode != PlatformStale || expired || index == 0 || current != index {
			p.respond(w, r, mode, key, value, found)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) currentIndex() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index
}

func (p *Platform) lookup(key string) (PlatformMode, platformValue, bool, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.mode == PlatformStale {
		values = p.staleValues
	}
	value, found := values[key]
	return p.mode, value, found, p.changed
}

func (p *Platform) respond(w http.ResponseWriter, r *http.Request, mode PlatformMode, key string, v platformValue, found bool) {
	switch mode {
	case PlatformDown:
		panic(http.ErrAbortHandler)
	case PlatformError:
		http.Error(w, "rpc error: No cluster leader", http.StatusInternalServerError)
		return
	case PlatformGarbage:
		w.Header().Set("X-Consul-Index", "not-a-number")
		_, _ = w.Write([]byte("\x00\xff<html>garbage"))
		return
	}
	if !found {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(p.currentIndex(), 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(v.index, 10))
	if r.URL.Query().Has("raw") {
		_, _ = w.Write(v.value)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode([]map[string]any{{
		"LockIndex": 0, "Key": key, "Flags": 0, "Value": v.value,
		"CreateIndex": v.index, "ModifyIndex": v.index,
	}})
}

func blockingQuery(r *http.Request) (uint64, time.Duration, error) {
	query := r.URL.Query()
	wait := 5 * time.Minute
	var index uint64
	var err error
	if s := query.Get("index"); s != "" {
		if index, err = strconv.ParseUint(s, 10, 64); err != nil {
			return 0, 0, fmt.Errorf("invalid index: %w", err)
		}
	}
	if s := query.Get("wait"); s != "" {
		if wait, err = time.ParseDuration(s); err != nil {
			return 0, 0, fmt.Errorf("invalid wait: %w", err)
		}
	}
	return index, min(wait, maxPlatformWait), nil
}
