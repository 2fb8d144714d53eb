package e2e

import (
	"errors"
	"os/exec"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/standin"
	"github.com/heathergw/heathergw/schema"
)

// exitSecondSignal is the documented exit code of a planned stop that a second
// signal ended.
const exitSecondSignal = 3

// TestSecondSignalEndsAtOnce guards against a planned stop that a second
// SIGTERM does not end while flows are open.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	f := startFleet(t)
	f.load = f.StartLoad(standin.DefaultLoad())
	time.Sleep(500 * time.Millisecond)
	stopping := f.agents[0]
	stopping.signal(syscall.SIGTERM)
	f.c.Assert(stopping.awaitExit(500*time.Millisecond), qt.ErrorMatches, ".*still runs.*")
	stopping.signal(syscall.SIGTERM)
	var exit *exec.ExitError
	f.c.Assert(errors.As(stopping.awaitExit(2*time.Second), &exit), qt.IsTrue)
	f.c.Check(exit.ExitCode(), qt.Equals, exitSecondSignal)
}

// TestWrongKeysNeverGetABundle guards against a process that accepts a bundle
// which no key in its settings signed, or that gets a bundle from a fleet whose
// key it does not have.
func TestWrongKeysNeverGetABundle(t *testing.T) {
	f := startFleet(t)
	cases := []struct {
		name   string
		change func(*schema.Settings)
	}{
		{"root key", func(s *schema.Settings) {
			s.BundlePublicKeys = []string{"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}
		}},
		{"fleet key, no platform", func(s *schema.Settings) {
			s.FleetKeys = []string{"/////////////////////w=="}
			s.Platform = nil
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			added, err := f.AddEntry()
			c.Assert(err, qt.IsNil)
			s := proto.Clone(added).(*schema.Settings)
			test.change(s)
			p := newProcess(c, t.TempDir(), s)
			time.Sleep(2 * time.Second)
			status, err := p.status()
			c.Assert(err, qt.IsNil)
			c.Check(status.Sequence, qt.Equals, uint64(0))
		})
	}
}
