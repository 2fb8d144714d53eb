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
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/schema"
)

// testTimeout bounds the wait for conditions that normally hold in well under a
// second.
const testTimeout = 20 * time.Second

var testKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// fakeConsulKV is an in-memory Consul KV that serves blocking queries.
type fakeConsulKV struct {
	mu      sync.Mutex
	index   uint64
	values  map[string][]byte
	changed chan struct{}
	down    bool
}

func (k *fakeConsulKV) set(key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.index++
	k.values[key] = value
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *fakeConsulKV) get(key string) (uint64, []byte, chan struct{}, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.index, k.values[key], k.changed, k.down
}

func (k *fakeConsulKV) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Path[len("/v1/kv/"):]
	waitIndex, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	index, value, changed, down := k.get(key)
	for waitIndex != 0 && index <= waitIndex && !down {
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

func signTestBundle(c *qt.C, sequence uint64, predecessor *bundle.Signed, targets int) *bundle.Signed {
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

// process is a Runner whose datagrams to other processes are delivered in
// memory.
type process struct {
	runner  *Runner
	store   *bundle.Store
	address netip.AddrPort
}

type processGroup struct {
	c         *qt.C
	ctx       context.Context
	platform  *fakeConsulKV
	url       string
	mu        sync.Mutex // guards processes
	processes map[netip.AddrPort]*process
	runners   sync.WaitGroup
}

func newProcessGroup(c *qt.C) *processGroup {
	ctx, cancel := context.WithCancel(context.Background())
	g := &processGroup{c: c, ctx: ctx, processes: map[netip.AddrPort]*process{}}
	g.platform = &fakeConsulKV{values: map[string][]byte{}, changed: make(chan struct{})}
	server := httptest.NewServer(g.platform)
	g.url = server.URL
	c.Cleanup(func() {
		cancel()
		g.runners.Wait()
		server.Close()
		goleak.VerifyNone(c)
	})
	return g
}

func (g *processGroup) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.c.Assert(err, qt.IsNil)
	return listener
}

func (g *processGroup) start(listener net.Listener, name string, entry, usePlatform bool, seeds ...netip.AddrPort) *process {
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	store := bundle.NewStore(bundle.StoreOptions{Roots: []ed25519.PublicKey{testKey.Public().(ed25519.PublicKey)}, Now: time.Now})
	config := RunnerConfig{
		Core: Config{Name: name, DataCentre: "dc0", Region: "north", Address: address, Entry: entry, Seeds: seeds,
			RandomSeed: uint64(address.Port())},
		FleetKeys: [][]byte{[]byte("0123456789abcdef")},
		Listener:  listener, Store: store, BundleKey: "bundle", VMListKey: "vms",
		Send: func(to netip.AddrPort, m *schema.Control) { g.deliver(address, to, m) },
	}
	var client *configstore.Client
	if usePlatform {
		var err error
		client, err = configstore.New(g.url, nil)
		g.c.Assert(err, qt.IsNil)
		config.Platform = client
	}
	runner, err := NewRunner(config)
	g.c.Assert(err, qt.IsNil)
	p := &process{runner: runner, store: store, address: address}
	g.mu.Lock()
	g.processes[address] = p
	g.mu.Unlock()
	g.runners.Go(func() {
		if err := runner.Run(g.ctx); err != nil {
			g.c.Errorf("run %s: %v", name, err)
		}
		if client != nil {
			client.Close()
		}
	})
	return p
}

func (g *processGroup) deliver(from, to netip.AddrPort, m *schema.Control) {
	g.mu.Lock()
	p := g.processes[to]
	g.mu.Unlock()
	if p != nil {
		p.runner.HandleControl(from, m)
	}
}

func (g *processGroup) eventually(what string, done func() bool) {
	g.c.Helper()
	deadline := time.Now().Add(testTimeout)
	for !done() {
		if time.Now().After(deadline) {
			g.c.Fatalf("condition not met within %v: %s", testTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func vmListJSON(c *qt.C, listeners map[string]net.Listener) []byte {
	type vm map[string]string
	var list []vm
	for name, listener := range listeners {
		list = append(list, vm{"name": name, "data_centre": "dc0", "role": "entry",
			"address": listener.Addr().String(), "state": "live"})
	}
	data, err := json.Marshal(map[string]any{"vms": list})
	c.Assert(err, qt.IsNil)
	return data
}

// TestRunnerPropagation guards the distribution of bundles over real streams:
// from the platform to a reader, from there to a process without a platform,
// and, once the platform is down, to a newly started process. Invalid platform
// values must change nothing, and no goroutine may leak.
func TestRunnerPropagation(t *testing.T) {
	c := qt.New(t)
	g := newProcessGroup(c)
	first := signTestBundle(c, 1, nil, 5)
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
		case <-time.After(testTimeout):
			c.Fatal("process not ready before the timeout")
		}
		c.Assert(p.store.Version(), qt.Equals, first.Version())
	}
	g.eventually("both entries read the platform", func() bool { return entry1.runner.Status().Reading && entry2.runner.Status().Reading })
	g.eventually("the agent has the VM list", func() bool { return len(agent.runner.VMs()) == 2 })

	second := signTestBundle(c, 2, first, 5)
	g.platform.set("bundle", second.Bytes())
	g.eventually("every process holds the changed bundle", func() bool { return allHold(all, second) })

	g.platform.set("bundle", []byte("garbage"))
	g.platform.set("vms", []byte(`{"vms":[]}`))
	forged := signTestBundle(c, 3, second, 5).Bytes()
	forged[len(forged)-1] ^= 1
	g.platform.set("bundle", forged)
	g.eventually("invalid values are refused", func() bool { return entry1.store.Count(bundle.Refused) >= 1 })
	c.Assert(allHold(all, second), qt.IsTrue)
	c.Assert(len(entry1.runner.VMs()), qt.Equals, 2)

	g.platform.mu.Lock()
	g.platform.down = true
	g.platform.mu.Unlock()
	cold := g.start(g.listen(), "agent2", false, true, agent.address)
	g.eventually("a new process gets the bundle from a peer", func() bool { return allHold([]*process{cold}, second) })
	<-cold.runner.Ready()
}

func allHold(processes []*process, want *bundle.Signed) bool {
	for _, p := range processes {
		if p.store.Version() != want.Version() {
			return false
		}
	}
	return true
}
