package catalog

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/heathergw/heathergw/internal/packet"
)

// Guards against packets that processes send to different candidates, because the
// leading ones are not in the order of all candidates.
func TestLeadingIsThePrefixOfAllCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, n := New(func(it Item) (Record, error) { return decodeLeading(it) }), rapid.IntRange(0, 40).Draw(t, "targets")
		items := []Item{item("config", 1, fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "services")))}
		for i := range n {
			items = append(items, item(fmt.Sprint("t", i), uint64(i+2), fmt.Sprintf("10.%d.0.%d svc%d", rapid.IntRange(1, 3).Draw(t, "data centre"), i+1, rapid.IntRange(0, 2).Draw(t, "service"))))
		}
		c.Replace(items, at(100), 0)
		v := c.View(0, 8100)
		key := packet.Key{
			Source:      netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), rapid.Uint16Range(1, 60000).Draw(t, "port")),
			Destination: netip.MustParseAddrPort("198.18.0.1:443"), Protocol: packet.ProtocolTCP,
		}
		route := v.Route(key.Destination)
		s := Selection{Opening: rapid.Bool().Draw(t, "opening"), DataCentre: rapid.SampledFrom([]string{"", "dc1", "dc2", "none"}).Draw(t, "preferred")}
		want := v.Candidates(route, &key, nil)
		if s.Opening {
			want = want[:route.OpeningCandidates(&key)]
		}
		if route.FollowsOneService(s.Opening) && rapid.Bool().Draw(t, "after") {
			s.DataCentre, s.After = "", MemberID(netip.MustParseAddr(fmt.Sprintf("10.1.0.%d", rapid.IntRange(1, 50).Draw(t, "self"))))
			from, known := v.Position(want, &key, s.After)
			if known {
				from++
			}
			want = want[from:]
		}
		preferred := func(m *Member) int {
			if m.DataCentre == s.DataCentre {
				return 0
			}
			return 1
		}
		slices.SortStableFunc(want, func(a, b *Member) int { return preferred(a) - preferred(b) })
		got, complete := v.Leading(route, &key, s, nil)
		if complete != (len(want) <= MaxLeading) || !slices.Equal(got, want[:min(len(want), MaxLeading)]) {
			t.Fatalf("%+v: got %d candidates (complete %t), want the first of %d", s, len(got), complete, len(want))
		}
	})
}

// decodeLeading decodes "N", a configuration whose route has N services, and
// "ADDRESS SERVICE".
func decodeLeading(it Item) (Record, error) {
	if it.Key == "config" {
		var n int
		_, err := fmt.Sscan(string(it.Value), &n)
		route := Route{Name: "r", Destination: netip.MustParseAddrPort("198.18.0.1:443")}
		for i := range n {
			route.Services = append(route.Services, WeightedService{fmt.Sprint("svc", i), i + 1})
		}
		return Record{Configuration: &Configuration{Version: 1, Routes: []Route{route}}}, err
	}
	var address, service string
	_, err := fmt.Sscan(string(it.Value), &address, &service)
	if err != nil {
		return Record{}, err
	}
	host := netip.AddrPortFrom(netip.MustParseAddr(address), 9000)
	return Record{Target: &Target{ID: it.Key, Service: service, DataCentre: fmt.Sprint("dc", host.Addr().As4()[1]), Host: host, Slots: 4}}, nil
}
