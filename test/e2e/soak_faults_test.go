package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/platform/platformtest"
)

// proxyMode is what a proxy does with the connections of one process.
type proxyMode int32

const (
	proxyPass proxyMode = iota
	proxyDelay
	proxyReset
	// proxyOneWay loses what the store answers.
	proxyOneWay
	proxySilent
	proxyModes
)

const proxyLatency = 300 * time.Millisecond

// proxy stands between one process and the store.
type proxy struct {
	listener net.Listener
	to       string
	mode     atomic.Int32

	mu    sync.Mutex // guards the field below
	conns map[net.Conn]bool
}

func newProxy(c *qt.C, to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	p := &proxy{listener: l, to: to, conns: map[net.Conn]bool{}}
	c.Cleanup(func() {
		_ = l.Close()
		p.reset()
	})
	go p.run()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		go p.copy(server, client, false)
		go p.copy(client, server, true)
	}
}

// copy passes bytes on as the mode says. Bytes that are lost stay lost: the
// connection is silent from then on.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer p.forget(to, from)
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch proxyMode(p.mode.Load()) {
		case proxyDelay:
			time.Sleep(proxyLatency)
		case proxyReset:
			return
		case proxyOneWay:
			lost = lost || answers
		case proxySilent:
			lost = true
		}
		if lost {
			_, _ = io.Copy(io.Discard, from) // until the process gives the connection up
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close() // the other direction may have closed it
	}
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// faults plays random faults in series that overlap, then heals all.
func (s *soak) faults(d time.Duration) {
	began := time.Now()
	var running sync.WaitGroup
	for time.Since(began) < d {
		running.Go(s.fault(began))
		time.Sleep(time.Duration(50+s.random.IntN(400)) * time.Millisecond)
	}
	running.Wait()
	s.store.SetFault(func(netip.Addr) platformtest.Fault { return platformtest.Fault{} })
	for _, p := range s.processes {
		p.proxy.mode.Store(int32(proxyPass))
	}
	s.log(began, "healed")
}

// fault draws one fault and returns what plays it.
func (s *soak) fault(began time.Time) func() {
	some := s.random.Perm(len(s.processes))[:1+s.random.IntN(len(s.processes)/2)]
	one := s.processes[some[0]]
	outage := time.Duration(s.random.Int64N(int64(maxOutage)))
	pause := time.Duration(s.random.Int64N(int64(maxPause)))
	kind := s.random.IntN(11)
	mode := proxyMode(1 + s.random.IntN(int(proxyModes)-1))
	storeFault := []platformtest.Fault{
		{Silent: true}, {Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Delay: proxyLatency}, {Cut: true},
	}[s.random.IntN(5)]
	host := s.processes[4**soakScale+s.random.IntN(8**soakScale)].address
	s.log(began, "%s", [...]string{
		fmt.Sprint("kill ", one.address), fmt.Sprintf("kill %d processes", len(some)), fmt.Sprintf("pause %s for %s", one.address, pause),
		fmt.Sprint("stop ", one.address), fmt.Sprint("hang up ", one.address), fmt.Sprintf("store fault %+v for %s", storeFault, outage),
		fmt.Sprintf("proxies of %d processes in mode %d for %s", len(some), mode, outage), "drop the store's history",
		fmt.Sprint("restart the host at ", host), fmt.Sprint("replace the target at ", host), "change the configuration",
	}[kind])
	switch kind {
	case 0:
		return func() { one.exclusively(func() { one.restart(s.c, pause/2) }) }
	case 1:
		return func() { s.restartAll(some, pause/2) }
	case 2:
		return func() { one.exclusively(func() { one.pause(pause) }) }
	case 3:
		return func() { one.exclusively(func() { one.terminate(s.c) }) }
	case 4:
		return func() { one.exclusively(func() { one.signal(syscall.SIGHUP) }) }
	case 5:
		return func() { s.storeOutage(storeFault, outage) }
	case 6:
		return func() { s.proxyOutage(some, mode, outage) }
	case 7:
		return s.store.DropHistory
	case 8:
		return func() { s.restartHost(host) }
	case 9:
		return func() { s.replaceTarget(host) }
	default:
		return func() { s.changeRoutes() }
	}
}

func (s *soak) restartAll(some []int, down time.Duration) {
	var all sync.WaitGroup
	for _, i := range some {
		p := s.processes[i]
		all.Go(func() { p.exclusively(func() { p.restart(s.c, down) }) })
	}
	all.Wait()
}

func (s *soak) storeOutage(f platformtest.Fault, d time.Duration) {
	s.store.SetFault(func(netip.Addr) platformtest.Fault { return f })
	time.Sleep(d)
	s.store.SetFault(func(netip.Addr) platformtest.Fault { return platformtest.Fault{} })
}

func (s *soak) proxyOutage(some []int, mode proxyMode, d time.Duration) {
	for _, i := range some {
		s.processes[i].proxy.mode.Store(int32(mode))
		if mode == proxyReset {
			s.processes[i].proxy.reset()
		}
	}
	time.Sleep(d)
	for _, i := range some {
		s.processes[i].proxy.mode.Store(int32(proxyPass))
	}
}

// hostAt returns the host of a VM that is not draining, or nil.
func (s *soak) hostAt(a netip.Addr) *soakHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[a]; h != nil && !h.draining {
		return h
	}
	return nil
}

// restartHost crashes a host and starts it under a new id at its address.
func (s *soak) restartHost(a netip.Addr) {
	h := s.hostAt(a)
	if h == nil {
		return
	}
	h.Close()
	s.store.DeleteTarget(h.id)
	s.startHost(a, h.service)
}

// replaceTarget drains a host, ends it after the announced time, and starts a
// new one at its address.
func (s *soak) replaceTarget(a netip.Addr) {
	h := s.hostAt(a)
	if h == nil {
		return
	}
	s.store.PutTarget(h.id, h.service, h.dataCentre, h.App, 4, "draining")
	s.mu.Lock()
	h.draining, h.drainedAt = true, time.Now()
	s.mu.Unlock()
	time.Sleep(newsBound)
	h.Close()
	s.store.DeleteTarget(h.id)
	s.startHost(a, h.service)
}

// changeRoutes adds a route or removes the one added last.
func (s *soak) changeRoutes() {
	const extra = "198.18.0.9:443"
	d := netip.MustParseAddrPort(extra)
	s.mu.Lock()
	_, held := s.routes[d]
	if held {
		delete(s.routes, d)
	}
	s.mu.Unlock()
	if !held {
		s.route(extra, "booking")
	}
	s.publishRoutes()
	if held {
		s.mu.Lock()
		s.removed[d] = time.Now()
		s.mu.Unlock()
	}
	if f, err := s.callers.Open(d); err == nil {
		f.Close()
	}
}
