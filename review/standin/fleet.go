//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/heathergw/heathergw/platform/platformtest"
)

// Bounds of the small deployments, in the words of the platform's pages.
const (
	heartbeat    = 1200 * time.Millisecond
	stableWindow = 4 * time.Second
	configApply  = 3 * time.Second
	addressReuse = 2 * time.Second
	drain        = 3 * time.Second
	graceSeconds = "6"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken []string
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// violate records a broken rule.
func (r *recorder) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.printf("BROKEN %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

func (r *recorder) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// machine is one address with an entry or an agent, and the host beside an agent.
type machine struct {
	name, role, zone, service string
	address                   netip.Addr
	settingsPath, logPath     string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	host    *platformtest.Host
	// tap, if any, is the socket at which the host's packets arrive.
	tap *tap
}

type fleet struct {
	*recorder
	folder string
	store  *store
	server *http.Server

	storeAddress string
	// tapped puts a tap in front of each host that is started.
	tapped bool
	// base holds the second and third byte of all addresses; the ports are the same on
	// all machines.
	base                                            [2]byte
	packet, ready, exchange, outbound, app, control uint16
	machines                                        []*machine
	clients                                         []*platformtest.Clients

	requestsMu sync.Mutex // guards the fields below
	// runs counts how often a request ran.
	runs   map[uint64]int
	lastID uint64
}

// address returns the n-th address of the fleet.
func (f *fleet) address(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.base[0], f.base[1], n})
}

func newFleet(r *recorder, folder string) (*fleet, error) {
	f := &fleet{recorder: r, folder: folder, store: newStore(), runs: map[uint64]int{}}
	f.base = [2]byte{byte(20 + rand.IntN(200)), byte(1 + rand.IntN(250))}
	for _, port := range []*uint16{&f.packet, &f.ready, &f.exchange, &f.outbound, &f.app, &f.control} {
		l, err := net.Listen("tcp", netip.AddrPortFrom(f.address(1), 0).String())
		if err != nil {
			return nil, err
		}
		*port = uint16(l.Addr().(*net.TCPAddr).Port)
		defer func() { _ = l.Close() }()
	}
	l, err := net.Listen("tcp", netip.AddrPortFrom(f.address(250), 0).String())
	if err != nil {
		return nil, err
	}
	f.storeAddress = l.Addr().String()
	f.server = &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(l) }() // ends with Close
	return f, nil
}

// addEntry adds an entry in a zone, which start starts.
func (f *fleet) addEntry(n byte, zone string) *machine {
	m := &machine{name: fmt.Sprintf("front-%s-%d", zone, n), role: "entry", zone: zone, address: f.address(n)}
	f.machines = append(f.machines, m)
	return m
}

// addAgent adds a machine with an agent for a host of a service.
func (f *fleet) addAgent(n byte, zone, service string) *machine {
	m := &machine{name: fmt.Sprintf("side-%s-%d-%s", zone, n, service), role: "agent", zone: zone, service: service, address: f.address(n)}
	f.machines = append(f.machines, m)
	return m
}

// start starts the process of a machine.
func (f *fleet) start(m *machine) error {
	var seeds []string
	for _, e := range f.entries() {
		if len(seeds) < 3 {
			seeds = append(seeds, f.at(e, f.control))
		}
	}
	text, err := fillTemplate("platform/"+m.role+".jsonc", seeds, map[string]string{
		"NodeName": m.name, "Zone": m.zone, "Region": "kingston", "Ip": m.address.String(),
		"PortRange.0": fmt.Sprint(f.exchange), "platform.Address": f.storeAddress,
		"Listen.DatagramAddr": f.at(m, f.packet), "Listen.ReadyAddr": f.at(m, f.ready), "Listen.outbound": f.at(m, f.outbound),
		"app": f.at(m, f.app), "Service": m.service, "Bounds.GraceS": graceSeconds,
	})
	if err != nil {
		return err
	}
	m.settingsPath, m.logPath = filepath.Join(f.folder, m.name+".jsonc"), filepath.Join(f.folder, m.name+".log")
	if err := os.WriteFile(m.settingsPath, []byte(text), 0o600); err != nil {
		return err
	}
	words, err := roleCommand(m.role, m.settingsPath)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(words[0], words[1:]...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited = command, exited
	m.mu.Unlock()
	f.printf("start  %s at %s, process %d", m.name, m.address, command.Process.Pid)
	go func() {
		err := command.Wait()
		_ = log.Close()
		f.printf("ended  %s, process %d: %v", m.name, command.Process.Pid, err)
		close(exited)
	}()
	return nil
}

func (f *fleet) at(m *machine, port uint16) string {
	return netip.AddrPortFrom(m.address, port).String()
}

func (f *fleet) entries() (list []*machine) {
	for _, m := range f.machines {
		if m.role == "entry" {
			list = append(list, m)
		}
	}
	return list
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s) // the process may have ended
	}
}

// running reports whether the process of the machine has not ended.
func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// startHost starts the host of a machine. Its outgoing packets go to the agent.
func (f *fleet) startHost(m *machine, work time.Duration) error {
	app := netip.AddrPortFrom(m.address, f.app)
	if f.tapped {
		app = netip.AddrPortFrom(m.address, f.app+1)
		var err error
		if m.tap, err = newTap(netip.AddrPortFrom(m.address, f.app), app); err != nil {
			return err
		}
	}
	h, err := platformtest.NewHost(m.service, app, netip.AddrPortFrom(m.address, f.outbound), work,
		platformtest.HostEvents{
			OnRequest: func(p platformtest.ProcessedRequest) {
				f.printf("run    request %d at %s (%s)", p.ID, p.Host, p.Service)
				f.requestsMu.Lock()
				f.runs[p.ID]++
				n := f.runs[p.ID]
				f.requestsMu.Unlock()
				if n > 1 {
					f.printf("note   request %d ran %d times", p.ID, n)
				}
			},
			OnOpen: f.onOpen,
			OnForged: func(where string, err error) {
				f.violate("UNASKED/MIXED: packet that nobody wrote so at %s: %v", where, err)
			},
		})
	m.host = h
	return err
}

// allowed holds the services to which a configuration has sent each route.
var allowed sync.Map

// onOpen checks that a configuration sends the route of an accepted flow to the service.
func (f *fleet) onOpen(a platformtest.AcceptedFlow) {
	f.printf("opened flow to route %s at host %s of %s", a.Destination, a.Host.App, a.Host.Service)
	services, _ := allowed.Load(a.Destination)
	if list, _ := services.([]string); !slices.Contains(list, a.Host.Service) {
		f.violate("ROUTE: host %s of service %s took the opening of a flow to route %s, which every configuration sends to %v",
			a.Host.App, a.Host.Service, a.Destination, list)
	}
}

// register writes the entry of a host.
func (f *fleet) register(m *machine, state string) {
	f.putEntry(hostID(m), m.service, netip.AddrPortFrom(m.address, f.app), m.zone, state)
}

func hostID(m *machine) string { return "i-" + m.name }

func (f *fleet) putEntry(id, service string, address netip.AddrPort, zone, state string) {
	value, err := json.Marshal(map[string]any{
		"Service": service, "Address": address.String(), "Zone": zone, "Version": "v1", "Slots": 7, "State": state,
		"ColdLeftMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	revision := f.store.put("servers/"+id, value)
	f.printf("store  servers/%s = %s, acknowledged at revision %d", id, value, revision)
}

type route struct {
	Name, Host, Prefix, Service, RouteType         string
	TimeoutMs, TargetLatencyMs, Priority, Attempts int
}

// putConfiguration writes a configuration with the routes and a number of idle ones, and
// returns the time of its acknowledgment.
func (f *fleet) putConfiguration(version uint64, routes map[netip.AddrPort]string, idle int) time.Time {
	type service struct {
		Name, HealthPath string
		MaxConns         int
	}
	var c struct {
		Version  uint64
		Routes   []route
		Services []service
		Limits   map[string]int
	}
	c.Version, c.Limits = version, map[string]int{"IdleTimeoutMs": 15000}
	known := map[string]bool{}
	add := func(destination netip.AddrPort, s string) {
		c.Routes = append(c.Routes, route{
			Name: "route-" + destination.String(), Host: destination.Addr().String(), Prefix: fmt.Sprintf("/%d/", destination.Port()),
			Service: s, RouteType: "safe", TimeoutMs: 4000, TargetLatencyMs: 300, Priority: 1, Attempts: 1,
		})
		if !known[s] {
			known[s] = true
			c.Services = append(c.Services, service{s, "/healthz", 2000})
		}
	}
	for destination, s := range routes {
		list, _ := allowed.Load(destination)
		services, _ := list.([]string)
		if !slices.Contains(services, s) {
			allowed.Store(destination, append(services, s))
		}
		add(destination, s)
	}
	var first string
	for _, s := range routes {
		if first == "" || s < first {
			first = s
		}
	}
	for i := range idle {
		add(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 255, byte(i >> 8), byte(i)}), 443), first)
	}
	value, err := json.Marshal(c)
	if err != nil {
		panic(err) // all values can be encoded
	}
	revision := f.store.put("op/config", value)
	at := time.Now()
	f.printf("store  op/config version %d, %d routes, %d bytes, acknowledged at revision %d", version, len(c.Routes), len(value), revision)
	return at
}

// isReady reports whether a machine answers the platform's check with 200.
func (f *fleet) isReady(m *machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + f.at(m, f.ready) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range f.machines {
		for m.command != nil && !f.isReady(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// newClients returns clients whose packets the routers send to one of the entries.
func (f *fleet) newClients(n byte, entries ...*machine) (*platformtest.Clients, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IP(f.address(251).AsSlice())})
	if err != nil {
		return nil, err
	}
	fabric := func(client netip.AddrPort, datagram []byte) {
		h := fnv.New32a()
		_, _ = h.Write(datagram[18:30]) // never fails; addresses and ports
		to := entries[int(h.Sum32()%uint32(len(entries)))]
		_, _ = conn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(to.address, f.packet)) // a lost datagram is sent again
	}
	c, err := platformtest.NewClients(netip.AddrPortFrom(f.address(n), f.packet), fabric,
		func(where string, err error) { f.violate("MIXED: packet that nobody wrote so at %s: %v", where, err) })
	if err == nil {
		f.clients = append(f.clients, c)
	}
	return c, err
}

// nextID returns an unused request id; ids rise.
func (f *fleet) nextID() uint64 {
	f.requestsMu.Lock()
	defer f.requestsMu.Unlock()
	f.lastID++
	return f.lastID
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	for _, c := range f.clients {
		c.Close()
	}
	for _, m := range f.machines {
		if m.host != nil {
			m.host.Close()
		}
		if m.tap != nil {
			m.tap.close()
		}
		if m.command == nil {
			continue
		}
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	_ = f.server.Close()
}
