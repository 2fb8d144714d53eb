package agent

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/internal/flow"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

func loopbackAddress(port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", port))
}

func testView(c *qt.C, targets int) *bundle.View {
	service := &schema.Service{Id: 1, Name: "booking"}
	for i := range targets {
		service.Targets = append(service.Targets, &schema.Target{
			Id: uint32(i + 1), AgentAddress: loopbackAddress(20001 + i).String(), Slots: 7,
		})
	}
	v, err := bundle.NewView(&schema.Bundle{Sequence: 1, Services: []*schema.Service{service}}, bundle.Digest{})
	c.Assert(err, qt.IsNil)
	return v
}

func agentVMs(leaving map[int]bool, ports ...int) []configstore.VM {
	var vms []configstore.VM
	for _, port := range ports {
		vms = append(vms, configstore.VM{Role: configstore.RoleAgent, Address: loopbackAddress(port), Leaving: leaving[port]})
	}
	return vms
}

// Guards against an outdated VM list that makes new targets count as missing,
// and against a target that still counts as present after its VM has left.
func TestMissingVMs(t *testing.T) {
	c := qt.New(t)
	view := testView(c, 3)
	const self = 3
	steps := []struct {
		name string
		vms  []configstore.VM
		want []uint32
	}{
		{"no agent listed", nil, nil},
		{"target 2 never listed", agentVMs(nil, 20001, 20003), nil},
		{"all listed", agentVMs(nil, 20001, 20002, 20003), nil},
		{"target 1 leaving", agentVMs(map[int]bool{20001: true}, 20001, 20002, 20003), []uint32{1}},
		{"target 1 and self no longer listed", agentVMs(nil, 20002), []uint32{1}},
		{"self leaving", agentVMs(map[int]bool{20003: true}, 20001, 20002, 20003), []uint32{3}},
		{"outdated list without target 2", agentVMs(nil, 20001, 20003), []uint32{2}},
	}
	var tracker vmTracker
	for _, s := range steps {
		c.Check(tracker.missing(s.vms, view, self), qt.DeepEquals, s.want, qt.Commentf("%s", s.name))
	}
}

// Guards against a silent target that is not reported to entries, and against
// reports that are sent too often.
func TestSilentReportsAreRepeated(t *testing.T) {
	c := qt.New(t)
	var reports silentReports
	sent := map[int64]int{}
	for second := int64(0); second < 70; second++ {
		silent := []uint32{2}
		if second >= 65 {
			silent = nil
		}
		if due := reports.due(silent, second*int64(time.Second)); len(due) > 0 {
			sent[second]++
		}
	}
	c.Check(sent, qt.DeepEquals, map[int64]int{0: 1, 1: 1, 31: 1, 61: 1})
	c.Check(reports.due([]uint32{2}, 71*int64(time.Second)), qt.DeepEquals, []uint32{2}, qt.Commentf("silent again"))
}

// Guards against an entry that gets no report, or gets reports from several
// agents.
func TestEveryEntryIsAssignedToOneAgent(t *testing.T) {
	c := qt.New(t)
	view := testView(c, 5)
	vms := agentVMs(nil, 20001)
	for port := 30000; port < 30044; port++ {
		vms = append(vms, configstore.VM{Role: configstore.RoleEntry, Address: loopbackAddress(port)})
	}
	reportCount := map[netip.AddrPort]int{}
	for _, target := range view.Services[0].Targets {
		if target.ID == 2 {
			continue
		}
		for _, entry := range assignedEntries(vms, target, []uint32{2}) {
			reportCount[entry]++
		}
	}
	c.Check(len(reportCount), qt.Equals, 44)
	for entry, count := range reportCount {
		c.Check(count, qt.Equals, 1, qt.Commentf("%s", entry))
	}
}

// Guards against counters of the flow table that are not published, or whose
// increments are added twice.
func TestFlowMetricsPublishIncrements(t *testing.T) {
	c := qt.New(t)
	scope := tally.NewTestScope("", nil)
	table := flow.New(flow.Config{TargetID: 1, Chooser: placement.NewChooser(placement.Config{})})
	metrics := newFlowMetrics(scope)
	header := wire.ForwardHeader{} // a hop limit of 0 is counted as a drop
	for range 3 {
		table.FromPeer(&packet.Packet{}, &header, loopbackAddress(1), 1, &flow.Actions{})
		metrics.publish(&table.Counters)
		metrics.publish(&table.Counters)
	}
	counters := scope.Snapshot().Counters()
	c.Check(counters["agent_flow+event=drop_hop_limit"].Value(), qt.Equals, int64(3))
}
