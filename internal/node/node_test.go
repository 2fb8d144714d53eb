package node

import (
	"context"
	"encoding/base64"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// Guards against replayed control datagrams that are processed again, and against
// reordered datagrams that are dropped.
func TestReplayFilter(t *testing.T) {
	c := qt.New(t)
	f := newReplayFilter()
	steps := []struct {
		startID, counter uint64
		want             bool
	}{
		{1, 10, true}, {1, 10, false}, {1, 8, true}, {1, 8, false}, {1, 12, true}, {1, 9, true},
		{1, 200, true}, {1, 12, false}, {1, 199, true}, {1, 137, true}, {1, 136, false},
		{2, 5, true}, {2, 5, false},
	}
	for i, s := range steps {
		c.Check(f.accept(s.startID, s.counter), qt.Equals, s.want, qt.Commentf("step %d", i))
	}
}

// Guards against a pause that is not detected or is reported more than once.
func TestPauseDetector(t *testing.T) {
	c := qt.New(t)
	var gaps []time.Duration
	d := NewPauseDetector(0, func(gap time.Duration) { gaps = append(gaps, gap) })
	c.Check(d.Check(int64(500*time.Millisecond), time.Second), qt.IsFalse)
	c.Check(d.Check(int64(3*time.Second), time.Second), qt.IsTrue)
	c.Check(d.Check(int64(3*time.Second), time.Second), qt.IsFalse)
	c.Check(d.Check(int64(3100*time.Millisecond), time.Second), qt.IsFalse)
	c.Check(gaps, qt.DeepEquals, []time.Duration{2500 * time.Millisecond})
	c.Check(d.Pauses(), qt.Equals, uint64(1))
}

func validSettings() *schema.Settings {
	return &schema.Settings{
		Name: "entry-1", Listen: "127.0.0.1:0", SeedPeers: []string{"127.0.0.1:1"},
		FleetKeys: []string{base64.StdEncoding.EncodeToString(make([]byte, wire.FleetKeySize))},
		Role:      &schema.Settings_Entry{Entry: &schema.EntrySettings{}},
	}
}

// Guards against a process that starts with invalid settings, or whose error
// does not name the setting.
func TestNewNamesTheSetting(t *testing.T) {
	c := qt.New(t)
	taken, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = taken.Close() }()
	cases := []struct {
		name   string
		change func(*schema.Settings)
		want   string
	}{
		{"no key", func(s *schema.Settings) { s.FleetKeys = nil }, "fleet_keys: .*"},
		{"short key", func(s *schema.Settings) { s.FleetKeys = []string{"AAAA"} }, "fleet_keys: .*"},
		{"key is not base64", func(s *schema.Settings) { s.FleetKeys = []string{"?"} }, `fleet_keys\[0\]: .*`},
		{"root key", func(s *schema.Settings) { s.BundlePublicKeys = []string{"AAAA"} }, `bundle_public_keys\[0\]: .*`},
		{"seed", func(s *schema.Settings) { s.SeedPeers = []string{"nowhere"} }, `seed_peers\[0\]: .*`},
		{"no source of bundles", func(s *schema.Settings) { s.SeedPeers = nil }, ".*neither platform.url nor seed_peers.*"},
		{"address", func(s *schema.Settings) { s.Listen = "nowhere" }, `listen: .*nowhere.*`},
		{"port in use", func(s *schema.Settings) { s.Listen = taken.Addr().String() }, "listen: .*address already in use"},
		{"status port in use", func(s *schema.Settings) { s.StatusListen = taken.Addr().String() }, "status_listen: .*address already in use"},
	}
	for _, test := range cases {
		c.Run(test.name, func(c *qt.C) {
			settings := validSettings()
			test.change(settings)
			_, err := New(settings, zap.NewNop())
			c.Check(err, qt.ErrorMatches, test.want)
		})
	}
	n, err := New(validSettings(), zap.NewNop())
	c.Assert(err, qt.IsNil)
	c.Check(n.Close(), qt.IsNil)
}
