package e2e

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/heathergw/heathergw/platform/platformtest"
)

func (s *soak) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *soak) forged(where string, err error) {
	s.violate("%s got a packet that its sender did not write: %v", where, err)
}

func (s *soak) ran(r platformtest.Run) {
	s.mu.Lock()
	s.runs[r.ID]++
	n := s.runs[r.ID]
	s.mu.Unlock()
	if n > 1 {
		s.violate("request %d ran %d times, last at %s", r.ID, n, r.Host)
	}
}

func (s *soak) opened(o platformtest.Opening) {
	s.mu.Lock()
	want := s.everRoutes[o.Destination]
	removed, gone := s.removed[o.Destination]
	host := s.hosts[o.Host.App.Addr()]
	late := host.Host == o.Host && host.draining && o.At.Sub(host.drainedAt) > newsBound+newsSlack
	s.mu.Unlock()
	if want != o.Host.Service {
		s.violate("%s, a route of %q, was opened at a host of %q", o.Destination, want, o.Host.Service)
	}
	if gone && o.At.Sub(removed) > newsBound+newsSlack {
		s.violate("%s was opened %s after its route was removed", o.Destination, o.At.Sub(removed))
	}
	if late {
		s.violate("%s was opened %s after the host's drain", o.Destination, o.At.Sub(host.drainedAt))
	}
}

// callerLoop sends requests one after the other, on one flow while it lasts or
// on a flow each.
func (s *soak) callerLoop(stop chan struct{}, keep bool, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	var f *platformtest.Flow
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+random.IntN(60)) * time.Millisecond):
		}
		destination := netip.MustParseAddrPort([]string{"198.18.0.1:443", "198.18.0.2:443"}[random.IntN(2)])
		f = s.request(f, destination)
		if f != nil && !keep {
			f.Close()
			f = nil
		}
	}
}

// request sends one request and returns the flow while it is usable.
func (s *soak) request(f *platformtest.Flow, destination netip.AddrPort) *platformtest.Flow {
	var err error
	if f == nil {
		if f, err = s.callers.Open(destination); err != nil {
			s.count(false)
			return nil
		}
	}
	destination = f.Destination()
	s.mu.Lock()
	s.nextID++
	id, want := s.nextID, s.everRoutes[destination]
	s.mu.Unlock()
	service, err := f.Request(id, callerDeadline)
	s.count(err == nil)
	switch {
	case err == nil && service == want:
		return f
	case err == nil || errors.Is(err, platformtest.ErrForeign):
		s.violate("request %d to %q was answered by %q: %v", id, want, service, err)
	case errors.Is(err, platformtest.ErrReset):
		s.mu.Lock()
		for _, h := range s.hosts {
			if h.Holds(f.Local(), destination) {
				s.violations = append(s.violations, fmt.Sprintf("flow %s>%s was reset while %s holds it", f.Local(), destination, h.App))
			}
		}
		s.mu.Unlock()
	}
	f.Forget()
	return nil
}

func (s *soak) count(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.served++
	} else {
		s.failed++
	}
}

func (s *soak) waitServed(limit time.Duration) {
	for end := time.Now().Add(limit); ; {
		if f := s.request(nil, netip.MustParseAddrPort("198.18.0.1:443")); f != nil {
			f.Close()
			return
		}
		if time.Now().After(end) {
			s.c.Fatalf("no request was served within %s; logs in %s", limit, filepath.Dir(s.processes[0].path("")))
		}
	}
}

// checkHealed checks that a fleet without faults serves again.
func (s *soak) checkHealed() {
	time.Sleep(healTime)
	good := 0
	const requests = 60
	for i := range requests {
		destination := netip.MustParseAddrPort([]string{"198.18.0.1:443", "198.18.0.2:443"}[i%2])
		if f := s.request(nil, destination); f != nil {
			f.Close()
			good++
		}
	}
	if good < requests*95/100 {
		s.violate("only %d of %d requests were served after the faults", good, requests)
	}
}

func (s *soak) report(t *testing.T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("served %d, failed %d, %d events, %d distinct requests ran", s.served, s.failed, len(s.events), len(s.runs))
	if len(s.violations) == 0 {
		return
	}
	for _, e := range s.events {
		t.Log(e)
	}
	for _, v := range s.violations[:min(len(s.violations), maxSoakLogs)] {
		t.Error(v)
	}
}
