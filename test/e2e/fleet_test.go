package e2e

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/standin"
	"github.com/heathergw/heathergw/schema"
)

const (
	seed = 11
	// startLimit bounds the start of a fleet on a busy machine.
	startLimit = 8 * time.Second
	// bundleLimit is the time limit of guarantee P8.
	bundleLimit = 4 * time.Second
	// flowEndLimit is longer than every deadline of a client.
	flowEndLimit = 8 * time.Second
)

// fleet holds the running processes and the simulated fabric, hosts, clients
// and platform.
type fleet struct {
	*standin.Fleet
	c       *qt.C
	folder  string
	entries []*process
	agents  []*process
	load    *standin.Load
}

// startFleet starts all processes and waits until they have the bundle in
// force.
func startFleet(t *testing.T) *fleet {
	c := qt.New(t)
	t.Logf("seed %d", seed)
	standins, err := standin.NewFleet(standin.BlueMahoeFleet(seed))
	c.Assert(err, qt.IsNil)
	c.Cleanup(standins.Close)
	f := &fleet{Fleet: standins, c: c, folder: t.TempDir()}
	for _, s := range standins.Entries {
		f.entries = append(f.entries, newProcess(c, f.folder, s))
	}
	for _, s := range standins.Agents {
		f.agents = append(f.agents, newProcess(c, f.folder, s))
	}
	c.Cleanup(f.logDiagnostics)
	c.Assert(awaitBundle(f.all(), f.Sequence(), startLimit), qt.IsNil)
	for _, s := range standins.Entries {
		f.Fabric.AddEntry(standin.FabricAddress(s))
	}
	return f
}

func (f *fleet) all() []*process {
	return append(append([]*process(nil), f.entries...), f.agents...)
}

// stopLoadAndCheck stops the load and checks the records of clients and hosts. Only
// flows that a lost host served may be broken.
func (f *fleet) stopLoadAndCheck(lost ...*standin.Host) {
	ctx, cancel := context.WithTimeout(context.Background(), flowEndLimit)
	defer cancel()
	open := f.load.Stop(ctx)
	f.c.Cleanup(f.load.Close)
	f.c.Check(open, qt.Equals, 0, qt.Commentf("flows still open"))
	r := f.Ledger.Report()
	broken := 0
	for _, broke := range f.Ledger.BrokenFlows() {
		if !servedBy(lost, func(h *standin.Host) bool { return h.Served(broke) }) {
			broken++
		}
	}
	f.c.Check(broken, qt.Equals, 0, qt.Commentf("broken flows"))
	if len(lost) == 0 {
		f.c.Check(r.RequestsAnswered, qt.Equals, r.RequestsSent)
	}
	f.c.Check(r.RequestsAnswered > 100, qt.IsTrue, qt.Commentf("%d requests answered", r.RequestsAnswered))
	f.c.Check(r.Violations()-r.FlowsBroken, qt.Equals, 0)
	f.c.Check(r.FlowsUnopened, qt.Equals, 0)
	f.c.Check(r.FlowsRefused, qt.Equals, 0)
}

func servedBy(hosts []*standin.Host, served func(*standin.Host) bool) bool {
	for _, h := range hosts {
		if served(h) {
			return true
		}
	}
	return false
}

// logDiagnostics logs the ledger's report and, after a failure, its events and
// the status counters and last log lines of every process.
func (f *fleet) logDiagnostics() {
	f.c.Logf("%+v", f.Ledger.Report())
	if !f.c.Failed() {
		return
	}
	f.c.Log(strings.Join(f.Ledger.Events(), "\n"))
	for _, p := range f.all() {
		data, err := os.ReadFile(p.path(".log"))
		if err != nil {
			data = []byte(err.Error())
		}
		s, _ := p.status()
		f.c.Logf("%s: %v\n%s", p.settings.GetName(), nonZero(s.Counters), data[max(0, len(data)-1500):])
	}
}

func nonZero(counters map[string]float64) []string {
	var out []string
	for name, value := range counters {
		if value != 0 {
			out = append(out, fmt.Sprintf("%s=%.0f", name, value))
		}
	}
	return out
}

func setState(id uint32, state schema.TargetState) func(*schema.Bundle) {
	return func(b *schema.Bundle) {
		for _, s := range b.GetServices() {
			for _, t := range s.GetTargets() {
				if t.GetId() == id {
					t.State = state
				}
			}
		}
	}
}
