package main

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const entrySettings = `{
	// The platform address answers nothing; the process starts all the same.
	"name": "entry-1", "data_centre": "dc1", "region": "r1",
	"listen": "LISTEN",
	"platform": {"url": "http://127.0.0.1:1", "bundle_key": "bundle", "vm_list_key": "vms"},
	"bundle_public_keys": ["ROOT"],
	"fleet_keys": ["AAAAAAAAAAAAAAAAAAAAAA=="],
	"entry": {"fabric_listen": "FABRIC", "stop_idle": "0.1s", "stop_deadline": "1s"}
}`

const rootKey = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress(c *qt.C) string {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func writeSettings(c *qt.C, replacements ...string) string {
	replacements = append(replacements, "LISTEN", freeAddress(c), "FABRIC", freeAddress(c), "ROOT", rootKey)
	text := strings.NewReplacer(replacements...).Replace(entrySettings)
	path := filepath.Join(c.TempDir(), "entry.jsonc")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// Guards against scripts that cannot tell a usage error from a failed start or
// a planned stop.
func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	taken, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = taken.Close() }()
	stopped, stop := context.WithCancel(context.Background())
	stop()
	good := writeSettings(c)
	cases := []struct {
		name string
		args []string
		want int
	}{
		{"version", []string{"version"}, 0},
		{"unknown command", []string{"fly"}, exitUsage},
		{"unknown flag", []string{"entry", "--fly"}, exitUsage},
		{"no settings named", []string{"entry"}, exitUsage},
		{"settings missing", []string{"entry", "--config", "nowhere.jsonc"}, exitUsage},
		{"unknown field", []string{"entry", "--config", writeSettings(c, `"region"`, `"regoin"`)}, exitUsage},
		{"short fleet key", []string{"entry", "--config", writeSettings(c, "AAAAAAAAAAAAAAAAAAAAAA==", "AAAA")}, exitUsage},
		{"settings of another role", []string{"agent", "--config", good}, exitUsage},
		{"port in use", []string{"entry", "--config", writeSettings(c, "LISTEN", taken.Addr().String())}, exitStart},
		{"platform unreachable, planned stop", []string{"entry", "--config", good}, 0},
		{"no process to ask", []string{"status", "--addr", "127.0.0.1:1"}, exitFindings},
	}
	for _, test := range cases {
		c.Run(test.name, func(c *qt.C) {
			c.Check(execute(stopped, append([]string{"heathergw"}, test.args...)), qt.Equals, test.want)
		})
	}
}
