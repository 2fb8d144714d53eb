//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/heathergw/heathergw/platform/platformtest"
)

// Bounds of the sheet of the site avarkor-gw, in the units of the settings.
const (
	drainTime       = 3 * time.Second
	configApplyTime = 3 * time.Second
	stableWindow    = 4 * time.Second
	misrouteTime    = 2 * time.Second
	graceSeconds    = 6
)

// readyInterval is how often the platform asks a node whether it is ready.
const readyInterval = 500 * time.Millisecond

// ports are the ports of a deployment. They are the same on all machines.
type ports struct{ datagram, ready, exchange, outbound, app int }

// machine is a machine with one process of the system, and its host if it has one.
type machine struct {
	name, zone, role string
	ip               netip.Addr
	service          string
	settings         string
	command          []string
	log              *os.File

	mu      sync.Mutex // guards the fields below
	process *exec.Cmd
	exited  chan struct{}
	stopped bool
	host    *platformtest.Host
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	folder  string
	ports   ports
	network int
	store   *platformtest.Store
	server  *http.Server
	entries []*machine
	sides   []*machine
	record  *record
	clients []*platformtest.Clients
	done    chan struct{}

	mu    sync.Mutex // guards the fields below
	ready map[*machine]int
	// bad holds packets that arrived although nobody sent them so.
	bad []string
	// opened and run hold what the hosts accepted and ran.
	opened []platformtest.AcceptedFlow
	run    []platformtest.ProcessedRequest
}

// record writes what happened to record.txt.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

func newDeployment(out io.Writer) (*deployment, error) {
	folder, err := os.MkdirTemp("", "heathergw-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		folder: folder, network: 64 + os.Getpid()%128, store: platformtest.NewStore(),
		record: &record{out: out, start: time.Now()}, done: make(chan struct{}), ready: map[*machine]int{},
	}
	d.store.SetPageSize(500)
	if err := d.choosePorts(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.server = &http.Server{Handler: d.store}
	go func() { _ = d.server.Serve(listener) }() // ends with Close
	platformAddress = listener.Addr().String()
	return d, nil
}

var platformAddress string

// choosePorts draws ports that are free for UDP and TCP.
func (d *deployment) choosePorts() error {
	var list []int
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		u, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = u.Close()
		if list = append(list, port); len(list) == 5 {
			d.ports = ports{list[0], list[1], list[2], list[3], list[4]}
			return nil
		}
	}
	return errors.New("no free ports")
}

func (d *deployment) address(group, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(d.network), byte(group), byte(number)})
}

var zones = []string{"hu-west-a", "hu-west-b", "hu-west-c"}

// addEntry adds a machine with an entry in each zone's turn.
func (d *deployment) addEntry() *machine {
	n := len(d.entries)
	zone := zones[n%len(zones)]
	m := &machine{name: fmt.Sprintf("front-%s-%d", zone, n/len(zones)+1), zone: zone, role: "entry", ip: d.address(1, n+10)}
	d.entries = append(d.entries, m)
	return m
}

// addSide adds a machine with a host of a service and its agent.
func (d *deployment) addSide(service string) *machine {
	n := len(d.sides)
	zone := zones[n%len(zones)]
	m := &machine{name: fmt.Sprintf("side-%s-%d", zone, n/len(zones)+1), zone: zone, role: "agent", ip: d.address(2, n+10), service: service}
	d.sides = append(d.sides, m)
	return m
}

// app is the address at which the host receives packets.
func (d *deployment) app(m *machine) netip.AddrPort {
	return netip.AddrPortFrom(m.ip, uint16(d.ports.app))
}

func (d *deployment) settingsOf(m *machine) fields {
	var seeds []any
	for _, e := range d.entries[:min(3, len(d.entries))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", e.ip, d.ports.exchange))
	}
	listen := map[string]any{
		"DatagramAddr": fmt.Sprintf("%s:%d", m.ip, d.ports.datagram),
		"ReadyAddr":    fmt.Sprintf("%s:%d", m.ip, d.ports.ready),
	}
	f := fields{
		"NodeName": m.name, "Zone": m.zone, "Region": "hu-west", "Ip": m.ip.String(), "Listen": listen,
		"PortRange": []any{d.ports.exchange, d.ports.exchange + 1}, "Seeds": seeds,
		"Bounds":   map[string]any{"GraceS": graceSeconds},
		"platform": map[string]any{"Address": platformAddress},
	}
	if m.role == "agent" {
		listen["outbound"] = fmt.Sprintf("%s:%d", m.ip, d.ports.outbound)
		f["Service"], f["app"] = m.service, d.app(m).String()
	}
	return f
}

// start starts the process of a machine with the command of the deploy file. A process
// that ends is started again after a short delay unless it was stopped for good.
func (d *deployment) start(m *machine) error {
	if m.settings == "" {
		template, err := os.ReadFile(filepath.Join("platform", m.role+".jsonc"))
		if err != nil {
			return err
		}
		m.settings = filepath.Join(d.folder, m.name+".jsonc")
		if err := os.WriteFile(m.settings, []byte(d.settingsOf(m).render(string(template))), 0o600); err != nil {
			return err
		}
		if m.log, err = os.Create(filepath.Join(d.folder, m.name+".log")); err != nil {
			return err
		}
		command, err := roleCommand(m.role)
		if err != nil {
			return err
		}
		m.command = append(strings.Fields(command), "")
		m.command = slices.DeleteFunc(m.command, func(s string) bool { return s == "" })
		m.command[len(m.command)-1] = m.settings
	}
	c := exec.Command(m.command[0], m.command[1:]...)
	c.Stdout, c.Stderr = m.log, m.log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	// The process ends with this program, whatever ends it.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = c, exited
	m.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// roleCommand returns the command of a role in the deploy file.
func roleCommand(role string) (string, error) {
	data, err := os.ReadFile(filepath.Join("deploy", "system.toml"))
	if err != nil {
		return "", err
	}
	_, section, found := strings.Cut(string(data), "[roles."+role+"]")
	if !found {
		return "", fmt.Errorf("deploy file: role %s is missing", role)
	}
	_, run, found := strings.Cut(section, "run = \"")
	if !found {
		return "", fmt.Errorf("deploy file: command of role %s is missing", role)
	}
	command, _, _ := strings.Cut(run, "\"")
	return command, nil
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(s) // it may have ended
	d.record.printf("%s: %s", m.name, s)
}

// restart stops the process by plan, with SIGKILL after the grace time, and starts it
// again after a delay.
func (d *deployment) restart(m *machine, delay time.Duration) error {
	d.signal(m, syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(graceSeconds * time.Second):
		d.signal(m, syscall.SIGKILL)
		<-m.exited
	}
	time.Sleep(delay)
	d.record.printf("%s: started again", m.name)
	return d.start(m)
}

// startHost starts the host of a side machine.
func (d *deployment) startHost(m *machine, work time.Duration) error {
	outbound := netip.AddrPortFrom(m.ip, uint16(d.ports.outbound))
	host, err := platformtest.NewHost(m.service, d.app(m), outbound, work, platformtest.HostEvents{
		OnRequest: func(r platformtest.ProcessedRequest) {
			d.mu.Lock()
			d.run = append(d.run, r)
			d.mu.Unlock()
			d.record.printf("run %d by %s at %s", r.ID, r.Service, m.name)
		},
		OnOpen: func(f platformtest.AcceptedFlow) {
			d.mu.Lock()
			d.opened = append(d.opened, f)
			d.mu.Unlock()
		},
		OnForged: d.forged,
	})
	m.mu.Lock()
	m.host = host
	m.mu.Unlock()
	return err
}

// forged records a packet that arrived although its sender did not write it so.
func (d *deployment) forged(where string, err error) {
	d.mu.Lock()
	d.bad = append(d.bad, where)
	d.mu.Unlock()
	d.record.printf("%s got a packet that nobody sent so: %v", where, err)
}

// register writes the host's entry into the store.
func (d *deployment) register(m *machine, state string) {
	d.store.PutTarget("i-"+m.name, m.service, m.zone, d.app(m), 4, state)
	d.record.printf("store: acknowledged %s, %s at %s: %s", "i-"+m.name, m.service, d.app(m), state)
}

// route is a route of a configuration.
type route struct {
	Name, Host, Prefix, Service string
	RouteType                   string
	TimeoutMs, TargetLatencyMs  int
	Priority, Attempts          int
}

func newRoute(name string, address netip.AddrPort, service, kind string) route {
	return route{
		Name: name, Host: address.Addr().String(), Prefix: fmt.Sprintf("/%d/", address.Port()), Service: service,
		RouteType: kind, TimeoutMs: 2000, TargetLatencyMs: 250, Priority: 1, Attempts: 2,
	}
}

// configure writes a configuration.
func (d *deployment) configure(version uint64, services []string, routes ...route) error {
	type service struct {
		Name, HealthPath string
		MaxConns         int
		Protocol         string
		Tls              bool
	}
	c := struct {
		Version  uint64
		Routes   []route
		Services []service
		Limits   map[string]int
	}{Version: version, Routes: routes, Limits: map[string]int{"IdleTimeoutMs": 12000}}
	for _, name := range services {
		c.Services = append(c.Services, service{name, "/health", 2000, "h1", false})
	}
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	d.store.Put("op/config", value)
	d.record.printf("store: acknowledged the configuration %s", value)
	return nil
}

// watchReady asks the entries whether they are ready, twice a second.
func (d *deployment) watchReady() {
	client := http.Client{Timeout: readyInterval}
	for {
		for _, m := range d.entries {
			go func() {
				response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, d.ports.ready))
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				d.mu.Lock()
				defer d.mu.Unlock()
				if ok {
					d.ready[m] = 2
				} else if d.ready[m]--; d.ready[m] < 0 {
					d.ready[m] = 0
				}
			}()
		}
		select {
		case <-d.done:
			return
		case <-time.After(readyInterval):
		}
	}
}

// rotation returns the entries that get packets of clients in a zone.
func (d *deployment) rotation(zone string) []*machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var inZone, ready, anywhere []*machine
	for _, m := range d.entries {
		if d.ready[m] > 0 {
			anywhere = append(anywhere, m)
		}
		if m.zone == zone {
			inZone = append(inZone, m)
			if d.ready[m] > 0 {
				ready = append(ready, m)
			}
		}
	}
	switch {
	case len(ready) == 0:
		return anywhere
	case 2*len(ready) < len(inZone):
		return inZone
	default:
		return ready
	}
}

// newClients returns clients of a zone. Their packets go to an entry of the zone that is
// chosen by a hash of the four addresses and ports.
func (d *deployment) newClients(zone int) (*platformtest.Clients, error) {
	listen := netip.AddrPortFrom(d.address(3, len(d.clients)+10), uint16(d.ports.datagram))
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.address(4, len(d.clients)+10), 0)))
	if err != nil {
		return nil, err
	}
	c, err := platformtest.NewClients(listen, func(_ netip.AddrPort, datagram []byte) {
		list := d.rotation(zones[zone])
		if len(list) == 0 {
			return
		}
		h := fnv.New32a()
		_, _ = h.Write(datagram[18:30]) // never fails
		m := list[int(h.Sum32()%uint32(len(list)))]
		_, _ = socket.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(m.ip, uint16(d.ports.datagram))) // a lost datagram
	}, d.forged)
	if err == nil {
		d.clients = append(d.clients, c)
	}
	return c, err
}

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		d.mu.Lock()
		n := 0
		for _, m := range d.entries {
			if d.ready[m] > 0 {
				n++
			}
		}
		d.mu.Unlock()
		if n == len(d.entries) {
			return nil
		}
	}
	return errors.New("the entries did not become ready")
}

// startAll starts all processes and hosts, registers the hosts and waits until the
// entries are ready.
func (d *deployment) startAll(work time.Duration) error {
	for _, m := range d.sides {
		if err := d.startHost(m, work); err != nil {
			return err
		}
		d.register(m, "ready")
	}
	for _, m := range slices.Concat(d.sides, d.entries) {
		if err := d.start(m); err != nil {
			return err
		}
	}
	go d.watchReady()
	if err := d.awaitReady(10 * time.Second); err != nil {
		return err
	}
	d.record.printf("all %d entries are ready", len(d.entries))
	return nil
}

// close ends everything that the deployment started.
func (d *deployment) close() {
	close(d.done)
	for _, m := range slices.Concat(d.sides, d.entries) {
		m.mu.Lock()
		if m.process != nil {
			_ = m.process.Process.Kill()
			<-m.exited
		}
		if m.host != nil {
			m.host.Close()
		}
		m.mu.Unlock()
	}
	for _, c := range d.clients {
		c.Close()
	}
	_ = d.server.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs:", d.folder)
	}
}
