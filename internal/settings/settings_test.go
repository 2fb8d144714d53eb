package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

const keyFields = `
  "bundle_public_keys": ["AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="],
  "fleet_keys": ["AAAAAAAAAAAAAAAAAAAAAA=="],`

const entryText = `{
  "name": "entry-1",
  "data_centre": "kin-a", // a comment
  "listen": "127.0.0.1:7000",` + keyFields + `
  "platform": {"url": "http://127.0.0.1:9", "bundle_key": "b", "vm_list_key": "v"},
  "entry": {
    "fabric_listen": "127.0.0.1:7001",
  },
}`

const agentText = `{
  "name": "agent-1",
  "data_centre": "kin-a",
  "listen": "127.0.0.1:7000",` + keyFields + `
  "seed_peers": ["127.0.0.1:8000"],
  "agent": {
    "target_id": 1,
    "host_listen": "127.0.0.1:7001",
    "host_address": "127.0.0.1:7002",
    "fabric_address": "127.0.0.1:7003",
  },
}`

// Guards against defaults that differ from the comments in settings.proto.
func TestLoadAppliesDefaults(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "entry.jsonc")
	c.Assert(os.WriteFile(path, []byte(entryText), 0o600), qt.IsNil)
	s, err := Load(path)
	c.Assert(err, qt.IsNil)
	c.Assert(s.GetInnerMtuBytes(), qt.Equals, uint32(1400))
	c.Assert(s.GetWorkers() >= 1 && s.GetWorkers() <= 8, qt.IsTrue)
	c.Assert(s.GetEntry().GetCacheFlows(), qt.Equals, uint32(262144))
	c.Assert(s.GetEntry().GetStopIdle().AsDuration(), qt.Equals, DefaultStopIdle)
	c.Assert(s.GetEntry().GetStopDeadline().AsDuration(), qt.Equals, DefaultStopDeadline)
	public, err := PublicKeys(s)
	c.Assert(err, qt.IsNil)
	c.Assert(public, qt.HasLen, 1)
	fleet, err := FleetKeys(s)
	c.Assert(err, qt.IsNil)
	c.Assert(fleet, qt.HasLen, 1)
}

// Guards against errors in settings that are accepted, hide each other, or are
// reported without file, line and field. Each case changes one part of valid
// settings.
func TestCheckReportsEveryError(t *testing.T) {
	cases := []struct{ name, text, old, new, want string }{
		{"name", entryText, `"name": "entry-1",`, "", "f:1: name: the name is missing"},
		{"long name", entryText, "entry-1", strings.Repeat("x", 200), "f:2: name: the name is longer than 128 bytes"},
		{"data centre", entryText, `"kin-a"`, `""`, "f:3: data_centre: the data centre is missing"},
		{"listen missing", entryText, `"listen": "127.0.0.1:7000",`, "", "f:1: listen: the address is missing, want ip:port"},
		{"listen name", entryText, "127.0.0.1:7000", "localhost:7000", `f:4: listen: "localhost:7000" is not ip:port`},
		{"listen port", entryText, "127.0.0.1:7000", "127.0.0.1:0", "f:4: listen: port 0 is not allowed"},
		{"listen any", entryText, "127.0.0.1:7000", "0.0.0.0:7000", "f:4: listen: 0.0.0.0 is not the address of one VM"},
		{"same socket", entryText, "127.0.0.1:7001", "127.0.0.1:7000", "f:9: entry.fabric_listen: 127.0.0.1:7000 is also the address of listen"},
		{"public key text", entryText, "AAA=\"]", "A!!=\"]", "f:5: bundle_public_keys[0]: the key is not base64"},
		{"public key size", entryText, "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", "AAAA", "f:5: bundle_public_keys[0]: the key has 3 bytes, want 32"},
		{"no fleet key", entryText, `["AAAAAAAAAAAAAAAAAAAAAA=="]`, "[]", "f:6: fleet_keys: at least one key is needed"},
		{"duplicate key", entryText, `["AAAAAAAAAAAAAAAAAAAAAA=="]`, `["AAAAAAAAAAAAAAAAAAAAAA==", "AAAAAAAAAAAAAAAAAAAAAA=="]`, "f:6: fleet_keys[1]: the key is also fleet_keys[0]"},
		{"platform url", entryText, "http://", "ftp://", `f:7: platform.url: "ftp://127.0.0.1:9" is not an http or https URL`},
		{"platform keys", entryText, `"bundle_key": "b", "vm_list_key": "v"`, "", "f:7: platform.bundle_key: the key of the bundle is missing\nf:7: platform.vm_list_key: the key of the VM list is missing"},
		{"duplicate platform key", entryText, `"v"`, `"b"`, "f:7: platform.vm_list_key: the key is the same as platform.bundle_key"},
		{"role", entryText, `"entry": {
    "fabric_listen": "127.0.0.1:7001",
  },`, "", `f:1: the role is missing: give "entry" or "agent"`},
		{"role type", entryText, `{
    "fabric_listen": "127.0.0.1:7001",
  }`, "7", "f:8: entry: want an object, got 7"},
		{"mtu low", entryText, `"entry"`, `"inner_mtu_bytes": 100, "entry"`, "f:8: inner_mtu_bytes: 100 is not from 576 to 8900"},
		{"mtu high", entryText, `"entry"`, `"inner_mtu_bytes": 65536, "entry"`, "f:8: inner_mtu_bytes: 65536 is not from 576 to 8900"},
		{"workers", entryText, `"entry"`, `"workers": 1000, "entry"`, "f:8: workers: 1000 is not from 1 to 256"},
		{"cache", entryText, `"fabric_listen"`, `"cache_flows": 1, "fabric_listen"`, "f:9: entry.cache_flows: 1 is not from 1024 to 4194304"},
		{"stop", entryText, `"fabric_listen"`, `"stop_idle": "0s", "stop_deadline": "7200s", "fabric_listen"`, "f:9: entry.stop_idle: 0s is out of range, want above 0 and at most 1h0m0s\nf:9: entry.stop_deadline: 2h0m0s is out of range, want above 0 and at most 1h0m0s"},
		{"stop order", entryText, `"fabric_listen"`, `"stop_idle": "9s", "stop_deadline": "8s", "fabric_listen"`, "f:9: entry.stop_idle: 9s is longer than stop_deadline, 8s"},
		{"target id", agentText, `"target_id": 1,`, "", "f:8: agent.target_id: the target id is missing or 0"},
		{"host address", agentText, "127.0.0.1:7002", "127.0.0.1", `f:11: agent.host_address: "127.0.0.1" is not ip:port`},
		{"fabric address", agentText, `"fabric_address": "127.0.0.1:7003",`, "", "f:8: agent.fabric_address: the address is missing, want ip:port"},
		{"health", agentText, `"target_id"`, `"health_url": "host:80", "target_id"`, `f:9: agent.health_url: "host:80" is not an http or https URL`},
		{"status", agentText, `"seed_peers"`, `"status_listen": "x", "seed_peers"`, `f:7: status_listen: "x" is not ip:port`},
		{"no bundle source", agentText, `"seed_peers": ["127.0.0.1:8000"],`, "", "f:1: platform.url: warning: without platform and seed_peers the process learns a bundle only when a peer contacts it"},
		{"seed peers", agentText, `["127.0.0.1:8000"]`, `["127.0.0.1:8000", "127.0.0.1:8000", "127.0.0.1:7000", "q"]`, "f:7: seed_peers[1]: warning: 127.0.0.1:8000 is also seed_peers[0]\nf:7: seed_peers[2]: warning: 127.0.0.1:7000 is the address of this process\nf:7: seed_peers[3]: \"q\" is not ip:port"},
		{"errors of two kinds", agentText, `"target_id": 1,`, `"target": 1,`, "f:9: agent.target: unknown field\nf:8: agent.target_id: the target id is missing or 0"},
		{"syntax only", agentText, `{`, `{{`, "f:1: syntax error: column 2: invalid character '{' at start of object name"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			text := strings.Replace(tc.text, tc.old, tc.new, 1)
			c.Assert(text, qt.Not(qt.Equals), tc.text)
			_, findings := Parse("f", []byte(text))
			c.Assert(findings.Error(), qt.Equals, tc.want)
		})
	}
}

// Guards against a missing file that is treated as empty settings.
func TestLoadMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.jsonc"))
	qt.New(t).Assert(os.IsNotExist(err), qt.IsTrue)
}

// Guards against a crash, and against accepted settings that later code could
// not use.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(entryText))
	f.Add([]byte(agentText))
	f.Add([]byte(`{"agent": {"target_id": 1e3}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, findings := Parse("f", data)
		if findings.Err() != nil {
			return
		}
		before := proto.Clone(s)
		ApplyDefaults(s)
		_, publicErr := PublicKeys(s)
		_, fleetErr := FleetKeys(s)
		if publicErr != nil || fleetErr != nil || s.GetRole() == nil || !proto.Equal(before, s) {
			t.Fatalf("unusable settings were accepted: %v", s)
		}
	})
}

// Guards against settings for a store without signatures that are accepted
// without the operator's explicit relay.trust, and against findings without file
// and field.
func TestRelaySettings(t *testing.T) {
	c := qt.New(t)
	valid := `{
  "name": "entry-1", "data_centre": "a", "listen": "10.1.0.10:7720", "platform": {"url": "http://10.200.1.7:8169"},
  "entry": {},
  "relay": {"trust": "CONFIGURATION_TRUST_STORE", "packet_listen": "10.1.0.10:8172", "ready_listen": "10.1.0.10:8167",
    "exchange_port": 7720, "seed_hosts": ["10.1.0.10:8166"], "stop_grace": "6s"}
}`
	_, findings := Parse("a.jsonc", []byte(valid))
	c.Assert(findings.Err(), qt.IsNil)
	for _, change := range []struct{ from, to, want string }{
		{`"CONFIGURATION_TRUST_STORE"`, `"CONFIGURATION_TRUST_SIGNED"`, `relay.trust`},
		{`"exchange_port": 7720`, `"exchange_port": 7721`, `relay.exchange_port`},
		{`"10.1.0.10:8172"`, `"10.1.0.10"`, `relay.packet_listen`},
		{`"10.1.0.10:8172"`, `"10.1.0.10:7720"`, `relay.packet_listen`},
		{`["10.1.0.10:8166"]`, `["seed"]`, `relay.seed_hosts`},
		{`"6s"`, `"0s"`, `relay.stop_grace`},
		{`http://10.200.1.7:8169`, `10.200.1.7:8169`, `platform.url`},
		{`"entry": {}`, `"agent": {"host_listen": "10.1.0.10:8162", "host_address": "10.1.0.10:8165"}`, `relay.service`},
		{`"entry": {},`, ``, `the role is missing`},
		{`"name": "entry-1"`, `"unknown": 1`, `unknown`},
		{`}`, ``, `a.jsonc:`},
	} {
		_, findings := Parse("a.jsonc", []byte(strings.Replace(valid, change.from, change.to, 1)))
		c.Check(findings.Err(), qt.ErrorMatches, `(?s).*`+regexp.QuoteMeta(change.want)+`.*`, qt.Commentf("%s", change.to))
	}
}
