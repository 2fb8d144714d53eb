package e2e

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/platform/platformtest"
	"github.com/heathergw/heathergw/schema"
)

// startRelayEntry starts an entry that reads the store. It also returns a
// function that gives the HTTP status of a readiness check, 0 when there is no
// answer.
func startRelayEntry(c *qt.C, s *platformtest.Store, address string) (*process, func() int) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = http.Serve(server, s) }() // ends with the listener
	c.Cleanup(func() { _ = server.Close() })
	at := func(port int) string { return fmt.Sprint(address, ":", port) }
	p := newProcess(c, c.TempDir(), &schema.Settings{
		Name: "entry", DataCentre: "a", Listen: at(exchangePort), StatusListen: at(8103),
		Platform: &schema.PlatformSettings{Url: "http://" + server.Addr().String()},
		Role:     &schema.Settings_Entry{Entry: &schema.EntrySettings{}},
		Relay: &schema.RelaySettings{
			Trust: schema.ConfigurationTrust_CONFIGURATION_TRUST_STORE, PacketListen: at(packetPort), ReadyListen: at(readyPort),
			ExchangePort: exchangePort, StopGrace: durationpb.New(3 * time.Second),
		},
	})
	client := &http.Client{Timeout: time.Second}
	return p, func() int {
		response, err := client.Get("http://" + at(readyPort) + "/ready")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
}

func awaitStatus(c *qt.C, ready func() int, want int, limit time.Duration) {
	for end := time.Now().Add(limit); ready() != want; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("readiness status is not %d within %s", want, limit)
		}
	}
}

// awaitLog waits until the process has written a line with the text.
func awaitLog(c *qt.C, p *process, text string) {
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		log, err := os.ReadFile(p.path(".log"))
		c.Assert(err, qt.IsNil)
		if strings.Contains(string(log), text) {
			return
		}
		if time.Now().After(end) {
			c.Fatalf("no log line contains %s", text)
		}
	}
}

// awaitEvacuated waits until the process shows exactly the given data centres as evacuated.
func awaitEvacuated(c *qt.C, p *process, want ...string) {
	var got []string
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, err := p.status()
		c.Assert(err, qt.IsNil)
		if got = status.Store.Evacuated; slices.Equal(got, want) {
			return
		}
	}
	c.Fatalf("evacuated: %v, want %v", got, want)
}

// Guards against an entry that reports readiness without a configuration or
// during a planned stop, that exits on SIGHUP or truncated settings, that
// does not take an evacuation into force or does not end it, or that does not exit within
// the grace time.
func TestRelayReadinessSignalsAndSettings(t *testing.T) {
	c := qt.New(t)
	s := platformtest.NewStore()
	p, ready := startRelayEntry(c, s, "127.3.1.1")
	awaitStatus(c, ready, http.StatusServiceUnavailable, 5*time.Second)
	s.PutConfiguration(2, map[netip.AddrPort]string{netip.MustParseAddrPort("198.18.0.1:443"): "booking"})
	awaitStatus(c, ready, http.StatusOK, 5*time.Second)
	status, err := p.status()
	c.Assert(err, qt.IsNil)
	c.Check(status.Sequence, qt.Equals, s.Revision())
	c.Check(len(status.Audit) > 0, qt.IsTrue)

	// An evacuation is in force in the running process, and ends.
	s.Put("op/evacuate/a", []byte("{}"))
	awaitEvacuated(c, p, "a")
	s.Delete("op/evacuate/a")
	awaitEvacuated(c, p)

	p.signal(syscall.SIGHUP)
	awaitLog(c, p, `"settings read again"`)
	settings, err := os.ReadFile(p.path(".jsonc"))
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(p.path(".jsonc"), settings[:len(settings)/2], 0o600), qt.IsNil)
	p.signal(syscall.SIGHUP)
	awaitLog(c, p, `"settings refused; the former ones stay in force"`)
	c.Check(ready(), qt.Equals, http.StatusOK)
	c.Assert(os.WriteFile(p.path(".jsonc"), settings, 0o600), qt.IsNil)

	p.signal(syscall.SIGTERM)
	awaitStatus(c, ready, http.StatusServiceUnavailable, time.Second)
	c.Check(p.awaitExit(3*time.Second), qt.IsNil)
	log, err := os.ReadFile(p.path(".log"))
	c.Assert(err, qt.IsNil)
	for _, line := range []string{
		`"started"`, `CONFIGURATION_TRUST_STORE`, `"reached the store"`, `"first view"`, `"planned stop begins"`, `"stopped"`,
	} {
		c.Check(string(log), qt.Contains, line)
	}
}
