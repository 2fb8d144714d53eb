// Package e2e tests the heathergw binary, run as three entries and ten agents,
// under injected faults. Fabric, hosts, clients and platform are simulated.
package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/heathergw/heathergw/internal/standin"
	"github.com/heathergw/heathergw/schema"

	qt "github.com/frankban/quicktest"
)

// fabricLag is the delay until the fabric stops sending to a lost entry.
const fabricLag = 500 * time.Millisecond

// TestFailures checks the guarantees under each fault: only flows at a lost host
// break, and every request is answered in full and runs once, at a host of its
// service.
func TestFailures(t *testing.T) {
	tests := []struct {
		name string
		// fault runs under load and returns the hosts whose flows may break.
		fault func(*fleet) []*standin.Host
		// after runs when all flows have ended.
		after func(*fleet)
	}{
		{name: "no fault", fault: noFault},
		{name: "entry killed", fault: entryKilled},
		{name: "entry paused", fault: entryPaused},
		{name: "entry joins", fault: entryJoins},
		{name: "entry stops", fault: entryStops},
		{name: "entry cut off", fault: entryCutOff},
		{name: "agent killed and restarted", fault: agentRestarted},
		{name: "agent paused", fault: agentPaused},
		{name: "agent stops", fault: agentStops, after: agentExits},
		{name: "platform down", fault: platformDown},
		{name: "platform down and entry restarted", fault: platformDownEntryRestarted},
		{name: "platform answers garbage", fault: platformGarbage},
		{name: "target drains by health", fault: targetDrains},
		{name: "target drains by bundle", fault: bundleDrains},
		{name: "target drains by VM list", fault: vmListDrains},
		{name: "target drains, platform down", fault: targetDrainsPlatformDown},
		{name: "host killed", fault: hostKilled},
		{name: "host accepts and closes", fault: hostAcceptsAndCloses},
		{name: "lossy fabric", fault: lossyFabric},
		{name: "entry and agent killed", fault: entryAndAgentKilled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startFleet(t)
			f.load = f.StartLoad(standin.DefaultLoad())
			time.Sleep(500 * time.Millisecond)
			lost := test.fault(f)
			f.stopLoadAndCheck(lost...)
			if test.after != nil {
				test.after(f)
			}
		})
	}
}

func noFault(*fleet) []*standin.Host {
	time.Sleep(2 * time.Second)
	return nil
}

func entryKilled(f *fleet) []*standin.Host {
	f.entries[0].kill()
	f.Fabric.KillEntry(standin.FabricAddress(f.Entries[0]), fabricLag)
	time.Sleep(2 * time.Second)
	return nil
}

func entryPaused(f *fleet) []*standin.Host {
	f.entries[0].signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	f.entries[0].signal(syscall.SIGCONT)
	time.Sleep(1500 * time.Millisecond)
	return nil
}

// entryJoins sends packets through the new entry before it has a bundle.
func entryJoins(f *fleet) []*standin.Host {
	s, err := f.AddEntry()
	f.c.Assert(err, qt.IsNil)
	f.entries = append(f.entries, newProcess(f.c, f.folder, s))
	f.Fabric.AddEntry(standin.FabricAddress(s))
	f.PublishVMs()
	time.Sleep(2 * time.Second)
	f.c.Check(awaitBundle(f.entries, f.Sequence(), bundleLimit), qt.IsNil)
	f.c.Check(f.Fabric.Sent(standin.FabricAddress(s)) > 0, qt.IsTrue)
	return nil
}

func entryStops(f *fleet) []*standin.Host {
	f.entries[0].signal(syscall.SIGTERM)
	time.Sleep(fabricLag)
	f.Fabric.RemoveEntry(standin.FabricAddress(f.Entries[0]))
	f.c.Check(f.entries[0].awaitExit(5*time.Second), qt.IsNil)
	return nil
}

func entryCutOff(f *fleet) []*standin.Host {
	f.Fabric.SetEntryUnreachable(standin.FabricAddress(f.Entries[0]), true)
	time.Sleep(1500 * time.Millisecond)
	f.Fabric.SetEntryUnreachable(standin.FabricAddress(f.Entries[0]), false)
	time.Sleep(time.Second)
	return nil
}

func agentRestarted(f *fleet) []*standin.Host {
	f.agents[0].kill()
	time.Sleep(700 * time.Millisecond)
	f.agents[0].start(f.c)
	time.Sleep(2 * time.Second)
	f.c.Check(awaitBundle(f.agents, f.Sequence(), bundleLimit), qt.IsNil)
	return nil
}

func agentPaused(f *fleet) []*standin.Host {
	f.agents[0].signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	f.agents[0].signal(syscall.SIGCONT)
	time.Sleep(1500 * time.Millisecond)
	return nil
}

func agentStops(f *fleet) []*standin.Host {
	f.agents[0].signal(syscall.SIGTERM)
	f.Hosts[0].ExpectNoOpenings()
	time.Sleep(4 * time.Second)
	return nil
}

func agentExits(f *fleet) {
	f.c.Check(f.agents[0].awaitExit(3*time.Second), qt.IsNil)
}

func platformDown(f *fleet) []*standin.Host {
	f.Platform.SetMode(standin.PlatformDown)
	time.Sleep(2 * time.Second)
	return nil
}

func platformDownEntryRestarted(f *fleet) []*standin.Host {
	f.Platform.SetMode(standin.PlatformDown)
	f.entries[2].kill()
	time.Sleep(200 * time.Millisecond)
	f.entries[2].start(f.c)
	time.Sleep(1500 * time.Millisecond)
	f.c.Check(awaitBundle(f.entries, f.Sequence(), bundleLimit), qt.IsNil)
	return nil
}

func platformGarbage(f *fleet) []*standin.Host {
	f.Platform.SetMode(standin.PlatformGarbage)
	time.Sleep(1500 * time.Millisecond)
	f.c.Check(awaitBundle(f.all(), f.Sequence(), bundleLimit), qt.IsNil)
	return nil
}

func targetDrains(f *fleet) []*standin.Host {
	f.Hosts[0].Drain()
	time.Sleep(4 * time.Second)
	return nil
}

func targetDrainsPlatformDown(f *fleet) []*standin.Host {
	f.Platform.SetMode(standin.PlatformDown)
	return targetDrains(f)
}

func bundleDrains(f *fleet) []*standin.Host {
	sequence, err := f.PublishBundle(setState(1, schema.TargetState_TARGET_STATE_DRAINING))
	f.c.Assert(err, qt.IsNil)
	f.Hosts[0].ExpectNoOpenings()
	f.c.Check(awaitBundle(f.all(), sequence, bundleLimit), qt.IsNil)
	time.Sleep(4 * time.Second)
	return nil
}

func vmListDrains(f *fleet) []*standin.Host {
	f.SetLeaving(f.Agents[0].GetName(), true)
	f.Hosts[0].ExpectNoOpenings()
	time.Sleep(4 * time.Second)
	return nil
}

func hostKilled(f *fleet) []*standin.Host {
	f.Hosts[0].Kill()
	time.Sleep(2500 * time.Millisecond)
	return f.Hosts[:1]
}

func hostAcceptsAndCloses(f *fleet) []*standin.Host {
	before := f.Hosts[0].Openings()
	f.Hosts[0].SetAcceptAndClose(true)
	time.Sleep(2500 * time.Millisecond)
	opened := f.Hosts[0].Openings() - before
	// The limit is the fair share of a working host: a seventh of 100 bookings a
	// second for 2.5 s.
	f.c.Check(opened < 36, qt.IsTrue, qt.Commentf("%d flows opened at the host", opened))
	return f.Hosts[:1]
}

func lossyFabric(f *fleet) []*standin.Host {
	f.Fabric.SetFaults(standin.Faults{Loss: 0.02, Duplicate: 0.1, Reorder: 0.1})
	time.Sleep(2500 * time.Millisecond)
	f.Fabric.SetFaults(standin.Faults{})
	return nil
}

func entryAndAgentKilled(f *fleet) []*standin.Host {
	f.entries[0].kill()
	f.Fabric.KillEntry(standin.FabricAddress(f.Entries[0]), fabricLag)
	f.agents[1].kill()
	time.Sleep(time.Second)
	f.agents[1].start(f.c)
	time.Sleep(2 * time.Second)
	return nil
}
