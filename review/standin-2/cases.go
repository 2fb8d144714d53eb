//go:build review

package main

import (
	"fmt"
	"net/netip"
	"time"
)

// Services of the site.
const (
	gyujtes = "gyujtes"
	kupac   = "kupac"
)

// hostWork is the processing time of a request.
const hostWork = 20 * time.Millisecond

// site is a deployment with a route to each service and clients in each zone.
type site struct {
	*deployment
	board, photo route
	boardAddress netip.AddrPort
}

// newSite starts three entries, three hosts of gyujtes and two of kupac.
func newSite(d *deployment) (*site, error) {
	for range zones {
		d.addEntry()
		d.addSide(gyujtes)
	}
	d.addSide(kupac)
	d.addSide(kupac)
	s := &site{deployment: d, boardAddress: netip.AddrPortFrom(d.address(9, 1), 8443)}
	s.board = newRoute("r-board", s.boardAddress, gyujtes, "safe")
	s.photo = newRoute("r-photo", netip.AddrPortFrom(d.address(9, 2), 8443), kupac, "upload")
	if err := s.configureRoutes(3); err != nil {
		return nil, err
	}
	if err := d.startAll(hostWork); err != nil {
		return nil, err
	}
	for zone := range zones {
		if _, err := d.newClients(zone); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *site) configureRoutes(version uint64) error {
	return s.configure(version, []string{gyujtes, kupac}, s.board, s.photo)
}

// flowsDuring keeps long flows open on the board's route, makes a change once all machines
// are in touch, and reports whether flows were reset although their hosts had them.
func (s *site) flowsDuring(change func() error) (broken bool, err error) {
	stop := make(chan struct{})
	wait := s.longFlows(8, s.boardAddress, 300*time.Millisecond, stop)
	time.Sleep(stableWindow + 2*time.Second)
	err = change()
	time.Sleep(6 * time.Second)
	close(stop)
	outcomes := wait()
	unopened, answered := 0, 0
	for _, o := range outcomes {
		if o.opened.IsZero() {
			unopened++
		}
		answered += o.answered
	}
	resets := s.brokenFlows(outcomes)
	s.record.printf("%d flows, %d did not open, %d requests answered, %d flows reset while their host had them",
		len(outcomes), unopened, answered, resets)
	return resets > 0, err
}

// foreignEntry lets another writer add an entry in which the names of the fields are in
// lower case, for the address of a living host and another service. Without the trouble
// nobody writes anything.
func foreignEntry(d *deployment, trouble bool) (bool, error) {
	s, err := newSite(d)
	if err != nil {
		return false, err
	}
	return s.flowsDuring(func() error {
		if !trouble {
			return nil
		}
		key, value := "servers/inventory-0017", fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":4,"state":"ready","coldLeftMs":0,"sequence":1,"born":1}`,
			kupac, d.app(d.sides[0]), d.sides[0].zone)
		d.store.Put(key, []byte(value))
		d.record.printf("store: another writer wrote %s: %s", key, value)
		return nil
	})
}
