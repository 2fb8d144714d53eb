package dissemination

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/platform"
	"github.com/heathergw/heathergw/schema"
)

// testBound ends a wait for something that takes well under a second.
const testBound = 20 * time.Second

var testKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// kvStandIn serves the blocking queries of Consul KV from memory.
type kvStandIn struct {
	mu      sync.Mutex
	index   uint64
	values  map[string][]byte
	changed chan struct{}
	down    bool
}

func (k *kvStandIn) set(key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.index++
	k.values[key] = value
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *kvStandIn) get(key string) (uint64, []byte, chan struct{}, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.index, k.values[key], k.changed, k.down
}

func (k *kvStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Path[len("/v1/kv/"):]
	wanted, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	index, value, changed, down := k.get(key)
	for wanted != 0 && index <= wanted && !down {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		index, value, changed, down = k.get(key)
	}
	if down {
		http.Error(w, "no leader", http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if value == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}

func signTest(c *qt.C, sequence uint64, predecessor *bundle.Signed, targets int) *bundle.Signed {
	b := &schema.Bundle{Sequence: sequence, DataCentres: []*schema.DataCentre{{Name: "dc0", Region: "north"}}}
	for id := uint32(1); id <= 3; id++ {
		service := &schema.Service{Id: id, Name: fmt.Sprintf("service%d", id)}
		for t := range targets {
			service.Targets = append(service.Targets, &schema.Target{Id: id*1000 + uint32(t), Name: fmt.Sprintf("t%d-%d", id, t),
				DataCentre: "dc0", AgentAddress: fmt.Sprintf("127.0.0.1:%d", 20000+int(id)*100+t), Slots: 7, MaxConnections: 100})
		}
		b.Services = append(b.Services, service)
	}
	b.Services[0].Name += strconv.FormatUint(sequence, 10)
	signed, err := bundle.Sign(b, predecessor, testKey, time.Unix(1700000000, 0))
	c.Assert(err, qt.IsNil)
	return signed
}

// process is a Runner with an in-memory datagram link to the others.
type process struct {
	runner  *Runner
	store   *bundle.Store
	address netip.AddrPort
}

type group struct {
	c         *qt.C
	ctx       context.Context
	platform  *kvStandIn
	url       string
	mu        sync.Mutex // guards processes
	processes map[netip.AddrPort]*process
	wait      sync.WaitGroup
}

func newGroup(c *qt.C) *group {
	ctx, cancel := context.WithCancel(context.Background())
	g := &group{c: c, ctx: ctx, processes: map[netip.AddrPort]*process{}}
	g.platform = &kvStandIn{values: map[string][]byte{}, changed: make(chan struct{})}
	server := httptest.NewServer(g.platform)
	g.url = server.URL
	c.Cleanup(func() {
		cancel()
		g.wait.Wait()
		server.Close()
		goleak.VerifyNone(c)
	})
	return g
}

func (g *group) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.c.Assert(err, qt.IsNil)
	return listener
}

func (g *group) start(listener net.Listener, name string, entry, usePlatform bool, seeds ...netip.AddrPort) *process {
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	store := bundle.NewStore(bundle.StoreOptions{Roots: []ed25519.PublicKey{testKey.Public().(ed25519.PublicKey)}, Now: time.Now})
	config := RunnerConfig{
		Core: Config{Name: name, DataCentre: "dc0", Region: "north", Address: address, Entry: entry, Seeds: seeds,
			RandomSeed: uint64(address.Port())},
		FleetKeys: [][]byte{[]byte("0123456789abcdef")},
		Listener:  listener, Store: store, BundleKey: "bundle", VMListKey: "vms",
		Send: func(to netip.AddrPort, m *schema.Control) { g.deliver(address, to, m) },
	}
	var client *platform.Client
	if usePlatform {
		var err error
		client, err = platform.New(g.url, nil)
		g.c.Assert(err, qt.IsNil)
		config.Platform = client
	}
	runner, err := NewRunner(config)
	g.c.Assert(err, qt.IsNil)
	p := &process{runner: runner, store: store, address: address}
	g.mu.Lock()
	g.processes[address] = p
	g.mu.Unlock()
	g.wait.Go(func() {
		if err := runner.Run(g.ctx); err != nil {
			g.c.Errorf("run %s: %v", name, err)
		}
		if client != nil {
			client.Close()
		}
	})
	return p
}

func (g *group) deliver(from, to netip.AddrPort, m *schema.Control) {
	g.mu.Lock()
	p := g.processes[to]
	g.mu.Unlock()
	if p != nil {
		p.runner.HandleControl(from, m)
	}
}

func (g *group) eventually(what string, done func() bool) {
	g.c.Helper()
	deadline := time.Now().Add(testBound)
	for !done() {
		if time.Now().After(deadline) {
			g.c.Fatalf("not reached within %v: %s", testBound, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func vmListJSON(c *qt.C, processes map[string]net.Listener) []byte {
	type vm map[string]string
	var list []vm
	for name, listener := range processes {
		list = append(list, vm{"name": name, "data_centre": "dc0", "role": "entry",
			"address": listener.Addr().String(), "state": "live"})
	}
	data, err := json.Marshal(map[string]any{"vms": list})
	c.Assert(err, qt.IsNil)
	return data
}

// TestRunners guards the way of a bundle over real streams: from the platform
// to a reader, from it to a process without a platform, past garbage, and to a
// cold process after the platform is gone. No goroutine may be left.
func TestRunners(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c)
	first := signTest(c, 1, nil, 5)
	listeners := map[string]net.Listener{"entry1": g.listen(), "entry2": g.listen()}
	g.platform.set("bundle", first.Bytes())
	g.platform.set("vms", vmListJSON(c, listeners))

	entry1 := g.start(listeners["entry1"], "entry1", true, true)
	entry2 := g.start(listeners["entry2"], "entry2", true, true)
	agent := g.start(g.listen(), "agent1", false, false, entry1.address, entry2.address)
	all := []*process{entry1, entry2, agent}
	for _, p := range all {
		select {
		case <-p.runner.Ready():
		case <-time.After(testBound):
			c.Fatal("not ready")
		}
		c.Assert(p.store.Version(), qt.Equals, first.Version())
	}
	g.eventually("a reader", func() bool { return entry1.runner.Status().Reading && entry2.runner.Status().Reading })
	g.eventually("the agent has the VM list", func() bool { return len(agent.runner.VMs()) == 2 })

	second := signTest(c, 2, first, 5)
	g.platform.set("bundle", second.Bytes())
	g.eventually("a changed bundle is in force", func() bool { return holdAll(all, second) })

	g.platform.set("bundle", []byte("garbage"))
	g.platform.set("vms", []byte(`{"vms":[]}`))
	forged := signTest(c, 3, second, 5).Bytes()
	forged[len(forged)-1] ^= 1
	g.platform.set("bundle", forged)
	g.eventually("garbage is refused", func() bool { return entry1.store.Count(bundle.Refused) >= 1 })
	c.Assert(holdAll(all, second), qt.IsTrue)
	c.Assert(len(entry1.runner.VMs()), qt.Equals, 2)

	g.platform.mu.Lock()
	g.platform.down = true
	g.platform.mu.Unlock()
	cold := g.start(g.listen(), "agent2", false, true, agent.address)
	g.eventually("a cold process starts from a peer", func() bool { return holdAll([]*process{cold}, second) })
	<-cold.runner.Ready()
}

func holdAll(processes []*process, want *bundle.Signed) bool {
	for _, p := range processes {
		if p.store.Version() != want.Version() {
			return false
		}
	}
	return true
}
