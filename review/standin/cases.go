//go:build review

package main

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/heathergw/heathergw/platform/platformtest"
)

const (
	zoneA, zoneB, zoneC = "kgn-a", "kgn-b", "kgn-c"
	// startLimit is the time in which the processes must be ready.
	startLimit = 15 * time.Second
	hostWork   = 20 * time.Millisecond
	// requestDeadline is the deadline of a request.
	requestDeadline = 4 * time.Second
)

// routeAt returns the n-th route address; port 443 behind it is not listened at.
func routeAt(f *fleet, n byte) netip.AddrPort { return netip.AddrPortFrom(f.address(200+n), 443) }

// startSmall starts three entries, and agents with hosts of two services: five of the
// first and two of the second.
func startSmall(f *fleet, first, second string) error {
	f.addEntry(1, zoneA)
	f.addEntry(2, zoneB)
	f.addEntry(3, zoneC)
	f.addAgent(11, zoneA, first)
	f.addAgent(12, zoneB, first)
	f.addAgent(13, zoneC, first)
	f.addAgent(14, zoneA, first)
	f.addAgent(15, zoneB, first)
	f.addAgent(16, zoneB, second)
	f.addAgent(17, zoneC, second)
	for _, m := range f.machines {
		if m.role != "agent" {
			continue
		}
		if err := f.startHost(m, hostWork); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if m.role == "agent" {
			f.register(m, "ready")
		}
	}
	return nil
}

// settle waits until all processes are ready and in touch, and checks that each entry
// serves the routes.
func settle(f *fleet, routes ...netip.AddrPort) error {
	if err := f.awaitReady(startLimit); err != nil {
		return err
	}
	time.Sleep(stableWindow + time.Second)
	for i, e := range f.entries() {
		c, err := f.newClients(byte(90+i), e)
		if err != nil {
			return err
		}
		for _, r := range routes {
			flow, err := c.Open(r)
			if err != nil {
				return fmt.Errorf("before the disruption, a flow to %s through %s: %w", r, e.name, err)
			}
			flow.Close()
		}
	}
	return nil
}

// variant returns an environment variable that changes a case, or the default.
func variant(name, byDefault string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return byDefault
}

// useFlow opens a flow and sends requests on it at an interval until the time end or
// until the flow is lost; it reports a reset that the flow's host did not send.
func useFlow(f *fleet, c *platformtest.Clients, destination netip.AddrPort, interval time.Duration, end time.Time) {
	for time.Now().Before(end) {
		flow, err := c.Open(destination)
		if err != nil {
			f.printf("client flow to %s did not open", destination)
			time.Sleep(interval)
			continue
		}
		f.printf("client %s opened a flow to %s", flow.Local(), destination)
		for time.Now().Before(end) {
			id := f.nextID()
			service, err := flow.Request(id, requestDeadline)
			if err == nil {
				f.printf("client %s request %d answered by %s", flow.Local(), id, service)
				time.Sleep(interval)
				continue
			}
			f.printf("client %s request %d: %v", flow.Local(), id, err)
			if errors.Is(err, platformtest.ErrReset) {
				for _, m := range f.machines {
					if m.host != nil && m.host.HasFlow(flow.Local(), destination) {
						f.violate("FLOW: client %s got a reset on its open flow to %s; host %s has the flow, lives and sent no reset",
							flow.Local(), destination, m.host.App)
					}
				}
			}
			flow.Forget()
			break
		}
	}
}

// foreignEntry: another writer registers a service that no configuration names, with a
// port of a machine that also runs a host.
func foreignEntry(f *fleet, trouble bool) error {
	booking, manifest := routeAt(f, 1), routeAt(f, 2)
	f.putConfiguration(3, map[netip.AddrPort]string{booking: "booking-svc", manifest: "manifest-svc"}, 20)
	if err := startSmall(f, "booking-svc", "manifest-svc"); err != nil {
		return err
	}
	if err := settle(f, booking, manifest); err != nil {
		return err
	}
	end := time.Now().Add(14 * time.Second)
	var wait sync.WaitGroup
	for i, e := range f.entries() {
		c, err := f.newClients(byte(100+i), e)
		if err != nil {
			return err
		}
		for range 6 {
			wait.Go(func() { useFlow(f, c, booking, 300*time.Millisecond, end) })
			wait.Go(func() { useFlow(f, c, manifest, 300*time.Millisecond, end) })
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		beside := f.machines[3]
		f.putEntry("probe-exporter-1", "probe-exporter", netip.AddrPortFrom(beside.address, f.app+1), beside.zone, "ready")
	}
	wait.Wait()
	return nil
}

// nameCollision: a host and its agent crash, and a host of another service starts at the
// address. The short hashes of the two services' names are equal.
func nameCollision(f *fleet, trouble bool) error {
	// SECOND=manifest-svc gives the second service a name with another hash.
	first, second := "booking-svc", variant("SECOND", "tracking-svc")
	booking, tracking := routeAt(f, 1), routeAt(f, 2)
	f.putConfiguration(3, map[netip.AddrPort]string{booking: first, tracking: second}, 20)
	if err := startSmall(f, first, second); err != nil {
		return err
	}
	if err := settle(f, booking, tracking); err != nil {
		return err
	}
	end := time.Now().Add(12 * time.Second)
	var wait sync.WaitGroup
	for i, e := range f.entries() {
		c, err := f.newClients(byte(100+i), e)
		if err != nil {
			return err
		}
		for n := range 10 {
			destination := booking
			if n >= 7 {
				destination = tracking
			}
			wait.Go(func() { oneRequestPerFlow(f, c, destination, 200*time.Millisecond, end) })
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := reuseAddress(f, f.machines[3], second); err != nil {
			return err
		}
	}
	wait.Wait()
	return nil
}

// reuseAddress crashes a host with its agent and starts one of another service at its
// address. The store removes the former entry after three heartbeat intervals of
// silence; the new host registers within one interval of its start.
func reuseAddress(f *fleet, former *machine, service string) error {
	f.printf("crash  host and agent of %s", former.name)
	former.signal(syscall.SIGKILL)
	<-former.exited
	former.host.Close()
	former.host = nil
	crash := time.Now()
	time.AfterFunc(3*heartbeat, func() {
		revision := f.store.remove("servers/" + hostID(former))
		f.printf("store  servers/%s removed at revision %d", hostID(former), revision)
	})
	time.Sleep(time.Until(crash.Add(addressReuse + 50*time.Millisecond)))
	next := f.addAgent(former.address.As4()[3], former.zone, service)
	if err := f.startHost(next, hostWork); err != nil {
		return err
	}
	if err := f.start(next); err != nil {
		return err
	}
	time.Sleep(heartbeat - 100*time.Millisecond)
	f.register(next, "ready")
	return nil
}

// oneRequestPerFlow opens a flow for each request, at an interval.
func oneRequestPerFlow(f *fleet, c *platformtest.Clients, destination netip.AddrPort, interval time.Duration, end time.Time) {
	for time.Now().Before(end) {
		flow, err := c.Open(destination)
		if err != nil {
			f.printf("client flow to %s did not open", destination)
			time.Sleep(interval)
			continue
		}
		id := f.nextID()
		service, err := flow.Request(id, requestDeadline)
		f.printf("client %s request %d to %s: %s %v", flow.Local(), id, destination, service, err)
		flow.Close()
		time.Sleep(interval)
	}
}

// Planned work of the case largeConfig: 25 configurations in 1.5 s, then 5 single changes.
const (
	stormChanges  = 25
	stormGap      = 60 * time.Millisecond
	singleChanges = 5
	singleGap     = 200 * time.Millisecond
	freezeTime    = 4 * time.Second
)

// largeConfig: an entry freezes and wakes again while the operator writes large
// configurations in quick succession. Once the entry is in touch again, openings that
// are sent later than ConfigApplyMs after the acknowledgment of the last configuration
// must be handled as it says.
func largeConfig(f *fleet, trouble bool) error {
	// 240 idle routes and one growth by 1400 make a configuration of about 300 KB.
	idleRoutes, err := strconv.Atoi(variant("ROUTES", "1640"))
	if err != nil {
		return err
	}
	booking, manifest, dropped, added := routeAt(f, 1), routeAt(f, 2), routeAt(f, 3), routeAt(f, 4)
	routes := map[netip.AddrPort]string{booking: "booking-svc", manifest: "manifest-svc", dropped: "booking-svc"}
	f.putConfiguration(3, routes, idleRoutes)
	if err := startSmall(f, "booking-svc", "manifest-svc"); err != nil {
		return err
	}
	if err := settle(f, booking, manifest, dropped); err != nil {
		return err
	}
	frozen := f.entries()[0]
	wake := time.Now().Add(freezeTime)
	if trouble {
		f.printf("freeze %s", frozen.name)
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(500 * time.Millisecond)
	version := uint64(5)
	for i := range stormChanges + singleChanges - 1 {
		next := time.Now().Add(stormGap)
		if i >= stormChanges {
			next = time.Now().Add(singleGap)
		}
		f.putConfiguration(version, routes, idleRoutes-i%2)
		version += 2
		time.Sleep(time.Until(next))
	}
	delete(routes, dropped)
	routes[added] = "booking-svc"
	acknowledged := f.putConfiguration(version, routes, idleRoutes)
	time.Sleep(time.Until(wake))
	if trouble {
		frozen.signal(syscall.SIGCONT)
		f.printf("wake   %s", frozen.name)
	}
	// The longest StableWindowMs and ConfigApplyMs of the grown sites are 5 s.
	time.Sleep(time.Until(wake.Add(5500 * time.Millisecond)))
	var wait sync.WaitGroup
	for i, e := range f.entries() {
		c, err := f.newClients(byte(100+i), e)
		if err != nil {
			return err
		}
		wait.Go(func() {
			for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				probe(f, c, e, booking, true, acknowledged)
				probe(f, c, e, added, true, acknowledged)
				probe(f, c, e, dropped, false, acknowledged)
			}
		})
	}
	wait.Wait()
	return nil
}

// probe opens a flow through an entry and compares the outcome with the newest
// configuration, which was acknowledged at a time.
func probe(f *fleet, c *platformtest.Clients, e *machine, destination netip.AddrPort, exists bool, acknowledged time.Time) {
	age := time.Since(acknowledged).Round(time.Millisecond)
	flow, err := c.Open(destination)
	f.printf("client opening to %s through %s, %v after the acknowledgment: %v", destination, e.name, age, err)
	if err == nil {
		flow.Close()
	}
	switch {
	case exists && err != nil:
		f.violate("CONFIG: opening to route %s through %s, sent %v after the acknowledgment of the configuration with the route, was not served", destination, e.name, age)
	case !exists && err == nil:
		f.violate("CONFIG: opening to route %s through %s, sent %v after the acknowledgment of the configuration without the route, was served", destination, e.name, age)
	}
}

// misroute is MisrouteMs.
const misroute = 2 * time.Second

// openFlow is a flow that a client uses.
type openFlow struct {
	id   flowID
	host *machine
}

// silentHost: a release adds a host and takes away another. Then the new host falls
// silent, and its entry expires. Flows of the other hosts must go on.
func silentHost(f *fleet, trouble bool) error {
	booking, manifest := routeAt(f, 1), routeAt(f, 2)
	f.tapped = true
	f.putConfiguration(3, map[netip.AddrPort]string{booking: "booking-svc", manifest: "manifest-svc"}, 20)
	if err := startSmall(f, "booking-svc", "manifest-svc"); err != nil {
		return err
	}
	if err := settle(f, booking, manifest); err != nil {
		return err
	}
	start := time.Now()
	end := start.Add(20 * time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var flows []openFlow
	for i, e := range f.entries() {
		c, err := f.newClients(byte(100+i), e)
		if err != nil {
			return err
		}
		for range 20 {
			wait.Go(func() {
				longFlow(f, c, booking, end, func(o openFlow) {
					mu.Lock()
					flows = append(flows, o)
					mu.Unlock()
				})
			})
		}
	}
	time.Sleep(2 * time.Second)
	next := f.addAgent(20, zoneA, "booking-svc")
	if err := f.startHost(next, hostWork); err != nil {
		return err
	}
	if err := f.start(next); err != nil {
		return err
	}
	time.Sleep(time.Second)
	f.register(next, "ready")
	former := f.machines[3]
	time.Sleep(time.Second)
	f.register(former, "draining")
	time.Sleep(drain + time.Second)
	f.printf("leave  host of %s", former.name)
	former.host.Close()
	f.store.remove("servers/" + hostID(former))
	former.signal(syscall.SIGTERM)
	time.Sleep(stableWindow + time.Second)
	silentAt := time.Now()
	if trouble {
		f.printf("silent host of %s", next.name)
		next.tap.setSilent()
		time.AfterFunc(3*heartbeat, func() {
			revision := f.store.remove("servers/" + hostID(next))
			f.printf("store  servers/%s removed at revision %d", hostID(next), revision)
		})
	}
	wait.Wait()
	for _, o := range flows {
		if o.host != former && o.host != next {
			checkMisrouted(f, o, silentAt, end)
		}
	}
	return nil
}

// longFlow uses a flow until the time end and opens another when it is lost. It reports
// each flow with its host.
func longFlow(f *fleet, c *platformtest.Clients, destination netip.AddrPort, end time.Time, report func(openFlow)) {
	for time.Now().Before(end) {
		flow, err := c.Open(destination)
		if err != nil {
			f.printf("client flow to %s did not open", destination)
			continue
		}
		reported := false
		for time.Now().Before(end) {
			id := f.nextID()
			f.printf("client %s sends request %d", flow.Local(), id)
			service, err := flow.Request(id, requestDeadline)
			f.printf("client %s request %d: %s %v", flow.Local(), id, service, err)
			if err != nil {
				flow.Forget()
				break
			}
			for _, m := range f.machines {
				if !reported && m.host != nil && m.host.HasFlow(flow.Local(), destination) {
					report(openFlow{flowID{flow.Local(), destination}, m})
					reported = true
				}
			}
			time.Sleep(250 * time.Millisecond)
		}
	}
}

// checkMisrouted checks whether for MisrouteMs three or more packets of a flow reached
// other hosts and none its own, while the client used the flow.
func checkMisrouted(f *fleet, o openFlow, from, to time.Time) {
	for _, other := range f.machines {
		if other == o.host || other.tap == nil {
			continue
		}
		for _, at := range other.tap.times(o.id, from, to) {
			until := at.Add(misroute)
			reached := 0
			for _, m := range f.machines {
				if m != o.host && m.tap != nil {
					reached += m.tap.between(o.id, at, until)
				}
			}
			if reached >= 3 && o.host.tap.between(o.id, at, until) == 0 {
				f.violate("FLOW: from %s for %v, %d packets of the flow of client %s reached other hosts, first %s, and none its own, %s",
					at.Sub(f.recorder.start), misroute, reached, o.id.client, other.name, o.host.name)
				return
			}
		}
	}
}
