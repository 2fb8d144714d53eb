package e2e

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/platform/platformtest"
	"github.com/heathergw/heathergw/schema"
)

var (
	soakSeed     = flag.Uint64("soak.seed", 0, "run only this seed; 0 runs the regression seeds")
	soakRuns     = flag.Int("soak.runs", 0, "number of random seeds to run after the regression seeds")
	soakTime     = flag.Duration("soak.time", 6*time.Second, "duration of fault injection in each run")
	soakRestores = flag.Bool("soak.restores", true, "let the store come back from older copies")
	soakScale    = flag.Int("soak.scale", 1, "multiplies the number of processes: 12 at 1")
)

// regressionSeeds lists the seeds that have failed before, each with its cause.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{3382597140, "stand-in hosts chose equal initial sequence numbers, so that two hosts held the same flow"},
	{3799258047, "a stand-in host ran a late copy of an answered request again"},
	{4106640159, "as 3382597140, after the kill of several agents"},
	{1086093209, "a process that was being started held a copy of a closed socket of a host, so that the next host could not bind"},
}

// Ports that every VM of a soak run uses.
const (
	packetPort   = 8100
	exchangePort = 8101
	readyPort    = 8102
	outboundPort = 8104
	appPort      = 8105
)

const (
	// maxPause and maxOutage bound process pauses and store outages. A process
	// receives the updates that it missed only after the pause or outage.
	maxPause  = 1500 * time.Millisecond
	maxOutage = 2 * time.Second
	// propagationLimit is the time within which drains and configurations are in
	// force in a fleet without faults; faultAllowance is the delay that injected
	// faults may add.
	propagationLimit = 3 * time.Second
	faultAllowance   = maxPause + maxOutage + time.Second
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 3 * time.Second
	// recoveryTime is the time from the end of all faults until the fleet must
	// serve again.
	recoveryTime = 5 * time.Second
	// requestTimeout is the time after which a client gives up a request.
	requestTimeout = 2 * time.Second
	maxSoakLogs    = 40
)

// soak is one run of heathergw processes against a simulated platform.
type soak struct {
	c      *qt.C
	random *rand.Rand
	subnet byte
	store  *platformtest.Store
	server net.Listener

	processes []*soakProcess
	clients   *platformtest.Clients

	// registering is locked while a host writes to the store; no other lock is held
	// when it is taken.
	registering sync.Mutex
	// gone holds the ids of targets that have left; guarded by registering.
	gone []string

	mu sync.Mutex // guards the fields below
	// rotation holds the packet addresses of the entries that pass readiness
	// checks.
	rotation     []netip.AddrPort
	failedChecks map[netip.AddrPort]int
	hosts        map[netip.Addr]*soakHost
	// routes maps destinations to services in the newest configuration;
	// everRoutes also holds the routes of all earlier ones.
	routes     map[netip.AddrPort]string
	everRoutes map[netip.AddrPort]string
	removed    map[netip.AddrPort]time.Time
	version    uint64
	targets    int
	runs       map[uint64]int
	nextID     uint64
	served     int
	failed     int
	violations []string
	events     []string
}

type soakProcess struct {
	*process
	address netip.Addr
	proxy   *proxy
	entry   bool
	// busy is locked while a fault acts on the process.
	busy sync.Mutex
}

// soakHost is a host beside an agent and its target record in the store.
type soakHost struct {
	*platformtest.Host
	id, service, dataCentre string
	draining                bool
	drainedAt               time.Time
}

// Guards against violated guarantees under overlapping faults: processes are
// killed, paused, stopped and restarted, the store is silent, slow, refuses
// requests or is unreachable for some processes, hosts crash, drain and are
// replaced, the configuration changes, and the store comes back from older copies.
func TestSoak(t *testing.T) {
	if *soakSeed != 0 {
		runSoak(t, *soakSeed)
		return
	}
	for _, regression := range regressionSeeds {
		t.Run(fmt.Sprint("kept-", regression.seed), func(t *testing.T) { runSoak(t, regression.seed) })
	}
	for range *soakRuns {
		seed := rand.Uint64N(1 << 32)
		t.Run(fmt.Sprint("fresh-", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	t.Logf("to reproduce: go test ./test/e2e -run TestSoak -soak.seed %d -soak.time %s -soak.scale %d", seed, *soakTime, *soakScale)
	s := newSoak(t, seed)
	s.waitServed(10 * time.Second)
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i := range 16 {
		work.Go(func() { s.clientLoop(stop, i%2 == 0, uint64(i)) })
	}
	var restores sync.WaitGroup
	restores.Go(func() { s.injectRestores(*soakTime, rand.New(rand.NewPCG(seed, 11))) })
	s.injectFaults(*soakTime)
	restores.Wait()
	close(stop)
	work.Wait()
	s.checkRecovered()
	s.report(t)
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		c: qt.New(t), random: rand.New(rand.NewPCG(seed, 7)), subnet: byte(10 + seed%200), store: platformtest.NewStore(),
		failedChecks: map[netip.AddrPort]int{}, hosts: map[netip.Addr]*soakHost{}, runs: map[uint64]int{},
		routes: map[netip.AddrPort]string{}, everRoutes: map[netip.AddrPort]string{}, removed: map[netip.AddrPort]time.Time{},
	}
	server, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	s.server = server
	go func() { _ = http.Serve(server, s.store) }() // ends with the listener
	s.c.Cleanup(func() { _ = server.Close() })
	s.route("198.18.0.1:443", "booking")
	s.route("198.18.0.2:443", "intake")
	s.publishRoutes()
	folder := t.TempDir()
	for i := range 4 * *soakScale {
		s.addProcess(folder, true, s.address(1+i%2, 1+i), "")
	}
	for i := range 8 * *soakScale {
		service := "booking"
		if i%4 == 3 {
			service = "intake"
		}
		a := s.address(1+i%2, 100+i)
		s.startHost(a, service)
		s.addProcess(folder, false, a, service)
	}
	clients, err := platformtest.NewClients(netip.AddrPortFrom(s.address(9, 1), packetPort), s.sendToEntry, s.recordForgedPacket)
	s.c.Assert(err, qt.IsNil)
	s.clients = clients
	s.c.Cleanup(clients.Close)
	stop := make(chan struct{})
	s.c.Cleanup(func() { close(stop) })
	go s.probeReadiness(stop)
	return s
}

func (s *soak) address(dataCentre, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.subnet, byte(dataCentre), byte(n)})
}

func (s *soak) addProcess(folder string, entry bool, a netip.Addr, service string) {
	p := newProxy(s.c, s.server.Addr().String())
	at := func(port uint16) string { return netip.AddrPortFrom(a, port).String() }
	settings := &schema.Settings{
		Name: "vm-" + a.String(), DataCentre: fmt.Sprint("dc-", a.As4()[2]), Listen: at(exchangePort),
		Platform: &schema.PlatformSettings{Url: "http://" + p.address()},
		Relay: &schema.RelaySettings{
			Trust: schema.ConfigurationTrust_CONFIGURATION_TRUST_STORE, PacketListen: at(packetPort), ReadyListen: at(readyPort),
			ExchangePort: exchangePort, SeedHosts: []string{netip.AddrPortFrom(s.address(1, 1), exchangePort).String()},
			Service: service, StopGrace: durationpb.New(stopGrace),
		},
	}
	if entry {
		settings.Role = &schema.Settings_Entry{Entry: &schema.EntrySettings{}}
	} else {
		settings.Role = &schema.Settings_Agent{Agent: &schema.AgentSettings{HostListen: at(outboundPort), HostAddress: at(appPort)}}
	}
	s.processes = append(s.processes, &soakProcess{process: newProcess(s.c, folder, settings), address: a, proxy: p, entry: entry})
}

// bindTimeout bounds the time in which a new process holds copies of the sockets of the
// one that starts it: until it runs its program.
const bindTimeout = 5 * time.Second

// startHost starts a host under a new id and registers it. The address may still be
// in use by the closed socket of the host before.
func (s *soak) startHost(a netip.Addr, service string) {
	var h *platformtest.Host
	var err error
	for end := time.Now().Add(bindTimeout); ; time.Sleep(time.Millisecond) {
		h, err = platformtest.NewHost(service, netip.AddrPortFrom(a, appPort), netip.AddrPortFrom(a, outboundPort), 10*time.Millisecond,
			platformtest.HostEvents{OnRequest: s.recordRun, OnOpen: s.recordOpening, OnForged: s.recordForgedPacket})
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			break
		}
	}
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(h.Close)
	s.mu.Lock()
	s.targets++
	host := &soakHost{Host: h, id: fmt.Sprint("i-", s.targets), service: service, dataCentre: fmt.Sprint("dc-", a.As4()[2])}
	s.hosts[a] = host
	s.mu.Unlock()
	s.register(host)
}

// register writes the state of a host to the store, unless it has left.
func (s *soak) register(h *soakHost) {
	s.registering.Lock()
	defer s.registering.Unlock()
	if slices.Contains(s.gone, h.id) {
		return
	}
	state := "ready"
	s.mu.Lock()
	if h.draining {
		state = "draining"
	}
	s.mu.Unlock()
	s.store.PutTarget(h.id, h.service, h.dataCentre, h.App, 4, state)
}

// unregister removes a host that has left from the store.
func (s *soak) unregister(h *soakHost) {
	s.registering.Lock()
	defer s.registering.Unlock()
	s.gone = append(s.gone, h.id)
	s.store.DeleteTarget(h.id)
}

func (s *soak) route(destination, service string) {
	d := netip.MustParseAddrPort(destination)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes[d], s.everRoutes[d] = service, service
	delete(s.removed, d)
}

func (s *soak) publishRoutes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 3
	s.store.PutConfiguration(s.version, s.routes)
}

// sendToEntry stands for the fabric: it sends a datagram to the entry that the
// client port selects modulo the size of the rotation, so that nearly all flows
// move to other entries when the size changes.
func (s *soak) sendToEntry(client netip.AddrPort, datagram []byte) {
	s.mu.Lock()
	rotation := s.rotation
	s.mu.Unlock()
	if len(rotation) == 0 {
		return
	}
	to := rotation[int(client.Port())%len(rotation)]
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		return
	}
	_, _ = conn.Write(datagram) // lost when the entry is down
	_ = conn.Close()
}

// probeReadiness polls the readiness of all entries. An entry leaves the
// rotation after two failed checks in a row.
func (s *soak) probeReadiness(stop chan struct{}) {
	client := &http.Client{Timeout: 200 * time.Millisecond}
	for {
		for _, p := range s.processes {
			if !p.entry {
				continue
			}
			response, err := client.Get("http://" + netip.AddrPortFrom(p.address, readyPort).String() + "/ready")
			ready := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			s.setReady(netip.AddrPortFrom(p.address, packetPort), ready)
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (s *soak) setReady(a netip.AddrPort, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := slices.Contains(s.rotation, a)
	switch {
	case ready:
		s.failedChecks[a] = 0
		if !in {
			s.rotation = append(slices.Clone(s.rotation), a)
			slices.SortFunc(s.rotation, netip.AddrPort.Compare)
		}
	case in:
		if s.failedChecks[a]++; s.failedChecks[a] >= 2 {
			s.rotation = slices.DeleteFunc(slices.Clone(s.rotation), func(x netip.AddrPort) bool { return x == a })
		}
	}
}

// logEvent records an injected fault with its time since the start.
func (s *soak) logEvent(start time.Time, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%6.3f s ", time.Since(start).Seconds())+fmt.Sprintf(format, args...))
}

// tryExclusive calls change unless another fault is acting on the process; it
// does not wait for that fault.
func (p *soakProcess) tryExclusive(change func()) {
	if p.busy.TryLock() {
		defer p.busy.Unlock()
		change()
	}
}

func (p *soakProcess) pause(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (p *soakProcess) restart(c *qt.C, down time.Duration) {
	p.kill()
	time.Sleep(down)
	p.start(c)
}

func (p *soakProcess) terminate(c *qt.C) {
	p.signal(syscall.SIGTERM)
	_ = p.awaitExit(stopGrace) // followed by SIGKILL, as on the platform
	p.kill()
	p.start(c)
}
