//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the store, as the platform's pages give them.
const (
	answerTime   = 4 * time.Millisecond
	historyTime  = 20 * time.Second
	maxPageItems = 500
	maxPageBytes = 1 << 20
	maxWait      = 30 * time.Second
)

type storeItem struct {
	Key      string `json:"Key"`
	Value    []byte `json:"Value,omitempty"`
	Revision uint64 `json:"Revision"`
	Created  uint64 `json:"Created,omitempty"`
	Lease    uint64 `json:"Lease"`
	Deleted  bool   `json:"Deleted,omitempty"`
}

type storeEvent struct {
	storeItem
	at time.Time
}

// store is a stand-in for the platform's metadata store. It is safe for concurrent use.
type store struct {
	mu       sync.Mutex // guards the fields below
	items    map[string]storeItem
	events   []storeEvent
	revision uint64
	// dropped is the revision up to which the history is no longer available.
	dropped uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{items: map[string]storeItem{}, revision: 1, dropped: 1, changed: make(chan struct{})}
}

// put writes a value and returns the revision; the return is the acknowledgment.
func (s *store) put(key string, value []byte) uint64 {
	return s.write(storeItem{Key: key, Value: value})
}

func (s *store) remove(key string) uint64 { return s.write(storeItem{Key: key, Deleted: true}) }

func (s *store) write(it storeItem) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.revision++
	it.Revision = s.revision
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		it.Created = s.revision
		if old, ok := s.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.items[it.Key] = it
	}
	s.events = append(s.events, storeEvent{it, now})
	for len(s.events) > 0 && now.Sub(s.events[0].at) > historyTime {
		s.dropped = s.events[0].Revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	status, body := s.respond(r, r.URL.Query())
	data := []byte("{}")
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			status, data = http.StatusInternalServerError, []byte("{}")
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have gone
}

func (s *store) respond(r *http.Request, query url.Values) (int, any) {
	prefix := query.Get("Prefix")
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		it, ok := s.items[query.Get("Key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, map[string]any{"Key": it.Key, "Value": it.Value, "Revision": it.Revision,
			"Created": it.Created, "Lease": it.Lease, "CurrentRev": s.revision}
	case "/kv-range":
		return s.page(prefix, query.Get("after"))
	case "/kv-watch":
		after, err := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, waitErr := strconv.ParseUint(query.Get("WaitMs"), 10, 64)
		if err != nil || waitErr != nil || time.Duration(wait)*time.Millisecond > maxWait {
			return http.StatusBadRequest, nil
		}
		return s.watch(r, prefix, after, time.Duration(wait)*time.Millisecond)
	default:
		return http.StatusNotFound, nil
	}
}

func (s *store) page(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	list, size := []storeItem{}, 0
	for _, key := range keys {
		it := s.items[key]
		if len(list) == maxPageItems || len(list) > 0 && size+len(it.Value) > maxPageBytes {
			return http.StatusOK, map[string]any{"items": list, "HasMore": true, "CurrentRev": s.revision}
		}
		list, size = append(list, it), size+len(it.Value)
	}
	return http.StatusOK, map[string]any{"items": list, "HasMore": false, "CurrentRev": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (int, any) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		for len(s.events) > 0 && time.Since(s.events[0].at) > historyTime {
			s.dropped = s.events[0].Revision
			s.events = s.events[1:]
		}
		if after < s.dropped || after > s.revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e.storeItem)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		response := map[string]any{"events": events, "CurrentRev": revision}
		if len(events) > 0 {
			return http.StatusOK, response
		}
		select {
		case <-changed:
		case <-deadline.C:
			return http.StatusOK, response
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}
