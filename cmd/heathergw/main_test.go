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

const entryTemplate = `{
	// Nothing listens at the platform address; the process starts nevertheless.
	"name": "entry-1", "data_centre": "dc1", "region": "r1",
	"listen": "LISTEN",
	"platform": {"url": "http://127.0.0.1:1", "bundle_key": "bundle", "vm_list_key": "vms"},
	"bundle_public_keys": ["ROOT"],
	"fleet_keys": ["AAAAAAAAAAAAAAAAAAAAAA=="],
	"entry": {"fabric_listen": "FABRIC", "stop_idle": "0.1s", "stop_deadline": "1s"}
}`

const rootKey = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

// freeAddress returns a loopback address whose port was free when the function
// returned.
func freeAddress(c *qt.C) string {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func writeSettings(c *qt.C, replacements ...string) string {
	replacements = append(replacements, "LISTEN", freeAddress(c), "FABRIC", freeAddress(c), "ROOT", rootKey)
	text := strings.NewReplacer(replacements...).Replace(entryTemplate)
	path := filepath.Join(c.TempDir(), "entry.jsonc")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// Guards against exit codes that do not let scripts distinguish a usage error, a
// failed start and a planned stop.
func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	occupied, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = occupied.Close() }()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	validSettings := writeSettings(c)
	cases := []struct {
		name string
		args []string
		want int
	}{
		{"version", []string{"version"}, 0},
		{"unknown command", []string{"fly"}, exitUsage},
		{"unknown command of a group", []string{"config", "fly"}, exitUsage},
		{"unknown flag", []string{"entry", "--fly"}, exitUsage},
		{"no --config flag", []string{"entry"}, exitUsage},
		{"settings file missing", []string{"entry", "--config", "nowhere.jsonc"}, exitUsage},
		{"unknown field", []string{"entry", "--config", writeSettings(c, `"region"`, `"regoin"`)}, exitUsage},
		{"short fleet key", []string{"entry", "--config", writeSettings(c, "AAAAAAAAAAAAAAAAAAAAAA==", "AAAA")}, exitUsage},
		{"settings of another role", []string{"agent", "--config", validSettings}, exitUsage},
		{"port in use", []string{"entry", "--config", writeSettings(c, "LISTEN", occupied.Addr().String())}, exitStart},
		{"platform unreachable, planned stop", []string{"entry", "--config", validSettings}, 0},
		{"status of a process that is not running", []string{"status", "--addr", "127.0.0.1:1"}, exitFindings},
	}
	for _, test := range cases {
		c.Run(test.name, func(c *qt.C) {
			c.Check(execute(cancelled, append([]string{"heathergw"}, test.args...)), qt.Equals, test.want)
		})
	}
}
