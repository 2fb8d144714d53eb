package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// currentConfiguration has no findings. The table replaces parts of it.
const currentConfiguration = `{"Version": 7,
"Routes": [
{"Name": "a", "Host": "198.18.0.1", "Prefix": "/443/",
 "Service": "s", "RouteType": "safe",
 "TimeoutMs": 4000,
 "TargetLatencyMs": 300, "Priority": 1, "Attempts": 2},
{"Name": "b", "Host": "198.18.0.2", "Prefix": "/443/",
 "Backends": [{"Service": "s", "Weight": 9}, {"Service": "t", "Weight": 1}],
 "Priority": 2}],
"Services": [
{"Name": "s", "HealthPath": "/health", "MaxConns": 2000, "ColdStartS": 5, "ColdPerS": 20},
{"Name": "t"}],
"Limits": {"IdleTimeoutMs": 15000, "Other": {"Note": 1}}}`

// Guards against a finding that is missed, hidden by another one, reported for a sound
// configuration or at the wrong place, against wrong differences, and against exit codes
// that do not let scripts distinguish sound, faulty and unreadable files.
func TestConfigCheck(t *testing.T) {
	r := newCommandRunner(t)
	write := func(name, text string) {
		r.Helper()
		r.Assert(os.WriteFile(filepath.Join(r.dir, name), []byte(text), 0o600), qt.IsNil)
	}
	write("7", currentConfiguration)
	write("refused", `{"Version": 6, "Routes": [{}]}`)
	bundles := newCommandRunner(t)
	bundles.writeDocument("1.jsonc")
	bundles.writeDocument("bad.jsonc", `"slots": 7`, `"slots": 0`)
	bundles.writeDocument("syntax.jsonc", `"services": [`, `"services": [[`)

	for _, tc := range []struct {
		name string
		// edits are pairs of old and new texts.
		edits []string
		args  string
		code  int
		// want is the output, or after "..." a part of it.
		want string
	}{
		{"clean", nil, "--strict @8", 0, ""},
		{"clean as JSON", nil, "--format json @8", 0, "{\n  \"findings\": []\n}\n"},
		{"no version and services, two bad routes", []string{`"Version": 7,`, "", "198.18.0.1", "::1", `"/443/"`, `"/0/"`, `"Weight": 9`, `"Weight": -1`}, "@8", 1, `@8:1: Version: is missing
@8:3: Routes[0].Host: "::1" is not an IPv4 address
@8:3: Routes[0].Prefix: "/0/" is not a port between slashes
@8:8: Routes[1].Backends[0]: Service is empty or Weight is out of range`},
		{"wrong types beside other findings", []string{`"Version": 7`, `"Version": -7`, "4000", `"4s"`, `"Service": "s",`, "", `"Priority": 2}`, `"Priority": "2", "TimeoutMs": -1}`}, "@8",
			1, `@8:9: Routes[1].TimeoutMs: warning: -1 is out of range and counts as unknown
@8:1: Version: want a whole number that is not negative, got -7
@8:5: Routes[0].TimeoutMs: want a number, got "4s"
@8:9: Routes[1].Priority: want a number, got "2"
@8:3: Routes[0].Service: is missing, and Backends is empty`},
		{"services unknown", []string{`"Services": [`, `"Services": 1, "x": [`}, "@8", 1, "@8:10: Services: want an array, got 1"},
		{"syntax", []string{`"Routes": [`, `"Routes": [,`}, "@8", 1, "...@8:2: syntax error: "},
		{"comment", []string{`"Routes": [`, `"Routes": [ // x`}, "@8", 1, "@8:2: syntax error: invalid character '/' looking for beginning of value"},
		{"no object", []string{currentConfiguration, "[1]"}, "@8", 1, "@8:1: want an object, got an array"},
		{"empty", []string{currentConfiguration, ""}, "@8", 1, "...@8:1: syntax error: "},
		{"same destination, other case of names", []string{`"Routes"`, `"routes"`, "198.18.0.2", "198.18.0.1"}, "@8", 0,
			"@8:3: Routes[0]: warning: the route never matches: Routes[1] has the same address and port, 198.18.0.1:443, and the later route is in force\n"},
		{"weights of 0", []string{`"Weight": 9`, `"Weight": 0`, `"Weight": 1`, `"Weight": 0`}, "@8", 0,
			"@8:8: Routes[1].Backends: warning: all weights are 0, so that all new flows go to the first service, \"s\"\n"},
		{"limits", []string{"4000", "200", `"IdleTimeoutMs": 15000`, `"IdleTimeoutMs": 100`}, "--strict @8", 1,
			`@8:5: Routes[0].TimeoutMs: warning: the time-out, 200ms, is below the target latency, 300ms
@8:13: Limits.IdleTimeoutMs: warning: the idle limit, 100ms, is below the time-out of Routes[0], 200ms
`},
		{"values out of range", []string{`"ColdStartS": 5`, `"ColdStartS": 1e9`, `"ColdPerS": 20`, `"ColdPerS": -1`, `15000`, `-1`, `"Priority": 2`, `"Priority": 2.5`, `"Attempts": 2`, `"Attempts": "2"`}, "@8", 0,
			`@8:13: Limits.IdleTimeoutMs: warning: -1 is out of range and counts as unknown
@8:11: Services[0].ColdStartS: warning: 1e+09 is out of range and counts as unknown
@8:11: Services[0].ColdPerS: warning: -1 is out of range and counts as unknown
@8:6: Routes[0].Attempts: warning: 2 is not a whole number of attempts
@8:9: Routes[1].Priority: warning: 2.5 is not a whole number from 0 to 255 and counts as 2
`},
		{"attempts without time", []string{`"TimeoutMs": 4000,`, ""}, "@8", 0, "@8:6: Routes[0].Attempts: warning: 2 attempts have no time-out\n"},
		{"one class", []string{`"Priority": 2`, `"Priority": 1`}, "@8", 0, "@8:6: Routes[0].Priority: warning: all routes have priority 1, so that there is no class below it\n"},
		{"services", []string{`{"Name": "t"}`, `{"Name": "u"}, {"Name": "s"}`}, "@8", 0,
			`@8:8: Routes[1].Backends: warning: service "t" is not listed, so that it has no settings
@8:11: Services[0]: warning: service "s" is listed again as Services[2], whose settings are in force
@8:12: Services[1]: warning: no route uses service "u"
`},
		{"differences", []string{`"Version": 7`, `"Version": 8`, "4000", "3000", `"Attempts": 2`, `"Attempts": 0`, "198.18.0.2", "198.18.0.3", `2000, "ColdStartS": 5`, "3000", "/health", `\n`}, "@8 --current @7", 0,
			`configuration is changed: version 7 -> 8
route 198.18.0.1:443 is changed: time-out 4s -> 3s, attempts 2 -> none
route 198.18.0.2:443 is removed: name b, services s (weight 9) and t (weight 1), priority 2, repeatable requests false
route 198.18.0.3:443 is added: name b, services s (weight 9) and t (weight 1), priority 2, repeatable requests false
service s is changed: health path /health -> "\n", connections 2000 -> 3000, slow start 5s -> none
`},
		{"differences and findings as JSON", []string{`"Name": "b"`, `"Name": "c"`}, "--format json --current @7 --strict @8", 1, `{
  "findings": [
    {
      "severity": "warning",
      "file": "@8",
      "line": 1,
      "field": "Version",
      "message": "version 7 is not above the current one, 7"
    }
  ],
  "changes": [
    {
      "subject": "route",
      "name": "198.18.0.2:443",
      "kind": "changed",
      "fields": [
        {
          "name": "name",
          "before": "b",
          "after": "c"
        }
      ]
    }
  ]
}
`},
		{"no differences", nil, "--current @7 --strict @8", 0, ""},
		{"current refused", []string{`"Name": "b"`, `"Name": "c"`}, "--current @refused @8", 1, `...@refused:1: Routes[0].Host: "" is not an IPv4 address`},
		{"new refused", []string{`"Version": 7,`, ""}, "--current @7 @8", 1, "@8:1: Version: is missing"},
		{"missing file", nil, "@none", 2, "...no such file"},
		{"missing current file", nil, "--current @none @8", 2, "...no such file"},
		{"no file name", nil, "", 2, "...heathergw config check takes 1 file names, got 0"},
		{"unknown format", nil, "--format yaml @8", 2, `...--format "yaml" is neither text nor json`},
		{"bundle", nil, bundles.dir + "/1.jsonc", 0, ""},
		{"bundle with findings", nil, bundles.dir + "/bad.jsonc", 1, ".../bad.jsonc:46: services[0].targets[0].slots: the slots are missing"},
		{"bundle with findings as JSON", nil, "--format json " + bundles.dir + "/bad.jsonc", 1, `..."line": 46`},
		{"bundle with syntax error", nil, bundles.dir + "/syntax.jsonc", 1, ".../syntax.jsonc:"},
		{"bundle after a document", nil, "--current @7 " + bundles.dir + "/1.jsonc", 1, "...bundle.malformed"},
	} {
		text := currentConfiguration
		for i := 0; i < len(tc.edits); i += 2 {
			r.Assert(text, qt.Contains, tc.edits[i], qt.Commentf("%s", tc.name))
			text = strings.Replace(text, tc.edits[i], tc.edits[i+1], 1)
		}
		write("8", text)
		output, code := r.runGroup(configCommand(), "check "+tc.args)
		r.Check(code, qt.Equals, tc.code, qt.Commentf("%s: %s", tc.name, output))
		part, isPart := strings.CutPrefix(strings.ReplaceAll(tc.want, "@", r.dir+"/"), "...")
		if isPart {
			r.Check(output, qt.Contains, part, qt.Commentf("%s", tc.name))
		} else {
			r.Check(output, qt.Equals, part, qt.Commentf("%s", tc.name))
		}
	}
}
