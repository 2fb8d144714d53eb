//go:build review

package main

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/heathergw/heathergw/platform/platformtest"
)

// flowID identifies a flow by the addresses in its packets.
type flowID struct{ client, route netip.AddrPort }

// tap is the socket of a host. It records the packets that reach the host and hands them
// to it, unless the host is silent: a silent host reads its packets and answers none.
type tap struct {
	conn *net.UDPConn
	host netip.AddrPort

	mu       sync.Mutex // guards the fields below
	silent   bool
	arrivals map[flowID][]time.Time
}

func newTap(listen, host netip.AddrPort) (*tap, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	t := &tap{conn: conn, host: host, arrivals: map[flowID][]time.Time{}}
	go t.run()
	return t, nil
}

func (t *tap) close() { _ = t.conn.Close() } // ends run

func (t *tap) setSilent() {
	t.mu.Lock()
	t.silent = true
	t.mu.Unlock()
}

func (t *tap) run() {
	buffer := make([]byte, 2048)
	for {
		n, err := t.conn.Read(buffer)
		if err != nil {
			return
		}
		p, err := platformtest.Decode(buffer[:n])
		t.mu.Lock()
		if err == nil {
			id := flowID{p.Src, p.Dst}
			t.arrivals[id] = append(t.arrivals[id], time.Now())
		}
		silent := t.silent
		t.mu.Unlock()
		if !silent {
			_, _ = t.conn.WriteToUDPAddrPort(buffer[:n], t.host) // a lost datagram is sent again
		}
	}
}

// between returns how many packets of a flow reached the host in a period.
func (t *tap) between(id flowID, from, to time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.arrivals[id] {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// times returns the arrivals of a flow's packets in a period.
func (t *tap) times(id flowID, from, to time.Time) (list []time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.arrivals[id] {
		if !at.Before(from) && at.Before(to) {
			list = append(list, at)
		}
	}
	return list
}
