//go:build review

package main

import (
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathergw/heathergw/platform/platformtest"
)

// requestDeadline is the deadline of a request.
const requestDeadline = 2 * time.Second

var nextRequest atomic.Uint64

// outcome is the end of one client's flow.
type outcome struct {
	flow *platformtest.Flow
	// host is the machine whose host has the flow, nil if it never opened.
	host *machine
	// opened and ended are the times at which the flow opened and failed; ended is zero if
	// it did not fail.
	opened, ended time.Time
	err           error
	answered      int
}

// hostOf returns the machine whose host has the flow.
func (d *deployment) hostOf(f *platformtest.Flow) *machine {
	for _, m := range d.sides {
		m.mu.Lock()
		host := m.host
		m.mu.Unlock()
		if host != nil && host.HasFlow(f.Local(), f.Destination()) {
			return m
		}
	}
	return nil
}

// longFlow opens a flow and sends a request in each interval until stop is closed or the
// flow fails.
func (d *deployment) longFlow(c *platformtest.Clients, destination netip.AddrPort, interval time.Duration, stop <-chan struct{}) *outcome {
	o := &outcome{}
	if o.flow, o.err = c.Open(destination); o.err != nil {
		o.ended = time.Now()
		d.record.printf("flow to %s did not open: %v", destination, o.err)
		return o
	}
	o.opened = time.Now()
	for {
		id := nextRequest.Add(1)
		d.record.printf("sent %d on %s to %s", id, o.flow.Local(), destination)
		service, err := o.flow.Request(id, requestDeadline)
		if o.host == nil {
			o.host = d.hostOf(o.flow)
		}
		if err != nil {
			o.ended, o.err = time.Now(), err
			d.record.printf("answer to %d on %s: %v; its host %s has the flow: %t", id, o.flow.Local(), err, name(o.host), d.hostOf(o.flow) != nil)
			return o
		}
		o.answered++
		d.record.printf("answer to %d on %s: by %s", id, o.flow.Local(), service)
		select {
		case <-stop:
			o.flow.Close()
			return o
		case <-time.After(interval):
		}
	}
}

func name(m *machine) string {
	if m == nil {
		return "(unknown)"
	}
	return m.name
}

// longFlows runs n long flows of each client and returns their outcomes when stop is
// closed. The flows open one after the other.
func (d *deployment) longFlows(n int, destination netip.AddrPort, interval time.Duration, stop <-chan struct{}) func() []*outcome {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var list []*outcome
	for i := range n {
		for _, c := range d.clients {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				o := d.longFlow(c, destination, interval, stop)
				mu.Lock()
				list = append(list, o)
				mu.Unlock()
			})
		}
	}
	return func() []*outcome {
		wg.Wait()
		return list
	}
}

// brokenFlows counts the flows that were reset although their host has them. The stand-ins
// of the hosts send no resets, so each reset is the system's own.
func (d *deployment) brokenFlows(list []*outcome) int {
	n := 0
	for _, o := range list {
		if errors.Is(o.err, platformtest.ErrReset) && d.hostOf(o.flow) != nil {
			n++
		}
	}
	return n
}
