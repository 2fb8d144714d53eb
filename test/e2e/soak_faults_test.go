package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
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

// proxyMode selects the fault that a proxy injects.
type proxyMode int32

const (
	proxyPass proxyMode = iota
	proxyDelay
	proxyReset
	// proxyDropResponses drops the responses of the store.
	proxyDropResponses
	proxySilent
	proxyModeCount
)

const proxyLatency = 300 * time.Millisecond

// proxy forwards the TCP connections of one process to the store and injects
// faults.
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

// copy copies one direction of a connection according to the mode. Once bytes
// were dropped, it discards all later ones in that direction.
func (p *proxy) copy(to, from net.Conn, fromStore bool) {
	defer p.closeConns(to, from)
	buffer := make([]byte, 32<<10)
	discarding := false
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
		case proxyDropResponses:
			discarding = discarding || fromStore
		case proxySilent:
			discarding = true
		}
		if discarding {
			_, _ = io.Copy(io.Discard, from) // until the process closes the connection
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close() // the other direction may have closed it
	}
}

// reset closes all connections with a TCP reset.
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

// injectFaults starts random faults, which may overlap, for the duration d, waits
// until all have ended and restores the store and the proxies.
func (s *soak) injectFaults(d time.Duration) {
	start := time.Now()
	var running sync.WaitGroup
	for time.Since(start) < d {
		running.Go(s.drawFault(start))
		time.Sleep(time.Duration(50+s.random.IntN(400)) * time.Millisecond)
	}
	running.Wait()
	s.store.SetFault(func(netip.Addr) platformtest.Fault { return platformtest.Fault{} })
	for _, p := range s.processes {
		p.proxy.mode.Store(int32(proxyPass))
	}
	s.logEvent(start, "healed")
}

// drawFault draws a random fault and returns a function that injects it.
func (s *soak) drawFault(start time.Time) func() {
	selected := s.random.Perm(len(s.processes))[:1+s.random.IntN(len(s.processes)/2)]
	victim := s.processes[selected[0]]
	outage := time.Duration(s.random.Int64N(int64(maxOutage)))
	pause := time.Duration(s.random.Int64N(int64(maxPause)))
	kind := s.random.IntN(11)
	mode := proxyMode(1 + s.random.IntN(int(proxyModeCount)-1))
	storeFault := []platformtest.Fault{
		{Silent: true}, {Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Delay: proxyLatency}, {Truncate: true},
	}[s.random.IntN(5)]
	host := s.processes[4**soakScale+s.random.IntN(8**soakScale)].address
	s.logEvent(start, "%s", [...]string{
		fmt.Sprint("kill ", victim.address), fmt.Sprintf("kill %d processes", len(selected)), fmt.Sprintf("pause %s for %s", victim.address, pause),
		fmt.Sprint("stop ", victim.address), fmt.Sprint("SIGHUP to ", victim.address), fmt.Sprintf("store fault %+v for %s", storeFault, outage),
		fmt.Sprintf("proxies of %d processes in mode %d for %s", len(selected), mode, outage), "drop the store's history",
		fmt.Sprint("restart the host at ", host), fmt.Sprint("replace the target at ", host), "change the configuration",
	}[kind])
	switch kind {
	case 0:
		return func() { victim.tryExclusive(func() { victim.restart(s.c, pause/2) }) }
	case 1:
		return func() { s.restartAll(selected, pause/2) }
	case 2:
		return func() { victim.tryExclusive(func() { victim.pause(pause) }) }
	case 3:
		return func() { victim.tryExclusive(func() { victim.terminate(s.c) }) }
	case 4:
		return func() { victim.tryExclusive(func() { victim.signal(syscall.SIGHUP) }) }
	case 5:
		return func() { s.storeOutage(storeFault, outage) }
	case 6:
		return func() { s.proxyOutage(selected, mode, outage) }
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

func (s *soak) restartAll(selected []int, down time.Duration) {
	var group sync.WaitGroup
	for _, i := range selected {
		p := s.processes[i]
		group.Go(func() { p.tryExclusive(func() { p.restart(s.c, down) }) })
	}
	group.Wait()
}

func (s *soak) storeOutage(f platformtest.Fault, d time.Duration) {
	s.store.SetFault(func(netip.Addr) platformtest.Fault { return f })
	time.Sleep(d)
	s.store.SetFault(func(netip.Addr) platformtest.Fault { return platformtest.Fault{} })
}

func (s *soak) proxyOutage(selected []int, mode proxyMode, d time.Duration) {
	for _, i := range selected {
		s.processes[i].proxy.mode.Store(int32(mode))
		if mode == proxyReset {
			s.processes[i].proxy.reset()
		}
	}
	time.Sleep(d)
	for _, i := range selected {
		s.processes[i].proxy.mode.Store(int32(proxyPass))
	}
}

// activeHostAt returns the host at the address, or nil when there is none or it
// is draining.
func (s *soak) activeHostAt(a netip.Addr) *soakHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[a]; h != nil && !h.draining {
		return h
	}
	return nil
}

// restartHost ends a host without a drain and starts it under a new id at the
// same address.
func (s *soak) restartHost(a netip.Addr) {
	h := s.activeHostAt(a)
	if h == nil {
		return
	}
	h.Close()
	s.unregister(h)
	s.startHost(a, h.service)
}

// replaceTarget drains a host, ends it after propagationLimit, and starts a new
// one at the same address.
func (s *soak) replaceTarget(a netip.Addr) {
	h := s.activeHostAt(a)
	if h == nil {
		return
	}
	s.mu.Lock()
	h.draining, h.drainedAt = true, time.Now()
	s.mu.Unlock()
	s.register(h)
	s.mu.Lock()
	h.drainedAt = time.Now()
	s.mu.Unlock()
	time.Sleep(propagationLimit)
	h.Close()
	s.unregister(h)
	s.startHost(a, h.service)
}

// Times of a store that comes back from an older copy.
const (
	copyInterval = 200 * time.Millisecond
	// maxCopyAge is the greatest age of the copy when the store is restored.
	maxCopyAge = 4 * time.Second
	// maxRestorePause is the longest time between two restores.
	maxRestorePause = 3 * time.Second
	// rewriteTime is the time within which running hosts have registered again.
	rewriteTime = 1200 * time.Millisecond
	// expiryTime is the time after which the entries of hosts that left expire.
	expiryTime = 3600 * time.Millisecond
)

// injectRestores lets the store come back from older copies for the duration d. The
// operator writes its newest configuration again at once, the hosts theirs later.
func (s *soak) injectRestores(d time.Duration, random *rand.Rand) {
	if !*soakRestores {
		return
	}
	start := time.Now()
	var running sync.WaitGroup
	var copies []platformtest.Copy
	next := time.Duration(random.Int64N(int64(maxRestorePause)))
	for time.Since(start) < d {
		copies = append(copies, s.store.Copy())
		copies = copies[max(0, len(copies)-int(maxCopyAge/copyInterval)):]
		if time.Since(start) >= next {
			i := random.IntN(len(copies))
			s.logEvent(start, "restore the store from a copy %s old", time.Duration(len(copies)-1-i)*copyInterval)
			delays := make([]time.Duration, len(s.processes))
			for i := range delays {
				delays[i] = time.Duration(random.Int64N(int64(rewriteTime)))
			}
			s.restore(copies[i], delays, &running)
			copies = copies[:i+1]
			next = time.Since(start) + time.Duration(random.Int64N(int64(maxRestorePause)))
		}
		time.Sleep(copyInterval)
	}
	running.Wait()
}

// restore replaces the content of the store and starts what writes it again; delays
// are those of the hosts.
func (s *soak) restore(older platformtest.Copy, delays []time.Duration, running *sync.WaitGroup) {
	s.mu.Lock()
	s.store.Restore(older)
	s.store.PutConfiguration(s.version, s.routes)
	s.mu.Unlock()
	for i, h := range s.currentHosts() {
		running.Go(func() {
			time.Sleep(delays[i])
			s.register(h)
		})
	}
	running.Go(func() {
		time.Sleep(expiryTime)
		s.registering.Lock()
		defer s.registering.Unlock()
		for _, id := range s.gone {
			s.store.DeleteTarget(id)
		}
	})
}

// changeRoutes adds an extra route, or removes it when it is present.
func (s *soak) changeRoutes() {
	const extra = "198.18.0.9:443"
	d := netip.MustParseAddrPort(extra)
	s.mu.Lock()
	_, present := s.routes[d]
	if present {
		delete(s.routes, d)
	}
	s.mu.Unlock()
	if !present {
		s.route(extra, "booking")
	}
	s.publishRoutes()
	if present {
		s.mu.Lock()
		s.removed[d] = time.Now()
		s.mu.Unlock()
	}
	if f, err := s.clients.Open(d); err == nil {
		f.Close()
	}
}
