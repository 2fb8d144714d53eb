package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"
)

// commandRunner runs bundle commands in a temporary directory of its own.
type commandRunner struct {
	*qt.C
	dir string
}

func newCommandRunner(t *testing.T) *commandRunner { return &commandRunner{qt.New(t), t.TempDir()} }

// run runs a bundle command; see runGroup.
func (r *commandRunner) run(command string) (output string, code int) {
	return r.runGroup(bundleCommand(), command)
}

// runGroup runs a command of a group. It replaces "@" in the arguments with the
// directory. It returns the output, followed by the error text, and the exit code.
func (r *commandRunner) runGroup(group *cli.Command, command string) (output string, code int) {
	var out bytes.Buffer
	root := &cli.Command{
		Name: "heathergw", Commands: []*cli.Command{group}, Writer: &out, ErrWriter: &out,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	args := strings.Fields(strings.ReplaceAll(command, "@", r.dir+"/"))
	err := root.Run(context.Background(), append([]string{"heathergw", group.Name}, args...))
	if err == nil {
		return out.String(), 0
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return out.String() + err.Error(), coder.ExitCode()
	}
	return out.String() + err.Error(), exitUsage
}

func (r *commandRunner) mustRun(command string) string {
	r.Helper()
	output, code := r.run(command)
	r.Assert(code, qt.Equals, 0, qt.Commentf("%s: %s", command, output))
	return output
}

// writeDocument writes the example bundle after replacing the first occurrence
// of each old text in pairs of old and new texts.
func (r *commandRunner) writeDocument(name string, pairs ...string) {
	r.Helper()
	data, err := os.ReadFile("../../examples/blue-mahoe/bundle.jsonc")
	r.Assert(err, qt.IsNil)
	text := string(data)
	for i := 0; i < len(pairs); i += 2 {
		r.Assert(text, qt.Contains, pairs[i])
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	r.Assert(os.WriteFile(filepath.Join(r.dir, name), []byte(text), 0o600), qt.IsNil)
}

const (
	activeTarget = `"slots": 7, "max_connections": 2000, "state": "TARGET_STATE_ACTIVE"}`
	sequenceTwo  = `"sequence": 2`
)

// Guards against a failure of any step that the help text shows: creating a key,
// signing, rotating the key and rolling back.
func TestBundleWorkflow(t *testing.T) {
	r := newCommandRunner(t)
	key := strings.TrimSpace(r.mustRun("keygen --out @a.pem"))
	info, err := os.Stat(filepath.Join(r.dir, "a.pem"))
	r.Assert(err, qt.IsNil)
	r.Assert(info.Mode().Perm(), qt.Equals, os.FileMode(0o600))
	r.writeDocument("1.jsonc")
	r.mustRun("check @1.jsonc")
	r.mustRun("sign --key @a.pem --out @1.bundle @1.jsonc")
	r.Assert(r.mustRun("show --public-key "+key+" @1.bundle"), qt.Contains, "(verified)")

	r.writeDocument("2.jsonc", `"sequence": 1`, sequenceTwo, activeTarget, strings.Replace(activeTarget, "ACTIVE", "DRAINING", 1))
	diff := r.mustRun("diff @1.bundle @2.jsonc")
	r.Assert(diff, qt.Contains, `target 101 "booking-a1" (kingston-a): starts to drain`)
	r.Assert(diff, qt.Contains, "slots for new flows: 49 -> 42")

	newKey := strings.TrimSpace(r.mustRun("keygen --out @b.pem"))
	r.mustRun("endorse --key @a.pem --new-key " + newKey + " --out @b.endorsement")
	r.mustRun("sign --key @b.pem --predecessor @1.bundle --endorsement @b.endorsement --out @2.bundle @2.jsonc")
	r.mustRun("show --public-key " + key + " @2.bundle")

	r.mustRun("rollback --key @b.pem --to @1.bundle --predecessor @2.bundle --out @3.bundle")
	shown := r.mustRun("show --public-key " + key + " @3.bundle")
	r.Assert(shown, qt.Contains, "sequence:    3")
	r.Assert(shown, qt.Contains, "roll-back to 1/")
	r.Assert(r.mustRun("diff @1.bundle @3.bundle"), qt.Contains, `service 1 "booking": no change`)

	exported := r.mustRun("show --json @3.bundle")
	r.Assert(os.WriteFile(filepath.Join(r.dir, "3.jsonc"), []byte(exported), 0o600), qt.IsNil)
	r.Assert(r.mustRun("diff @3.bundle @3.jsonc"), qt.Contains, `service 2 "intake": no change`)
	r.mustRun("check --predecessor @2.bundle @3.jsonc")
}

// Guards against signing an invalid document or file, wrong exit codes, and
// overwriting an output file.
func TestBundleCommandErrors(t *testing.T) {
	r := newCommandRunner(t)
	key := strings.TrimSpace(r.mustRun("keygen --out @a.pem"))
	r.mustRun("keygen --out @b.pem")
	r.writeDocument("1.jsonc")
	r.mustRun("sign --key @a.pem --out @1.bundle @1.jsonc")
	r.mustRun("sign --key @b.pem --out @other.bundle @1.jsonc")
	r.writeDocument("2.jsonc", `"sequence": 1`, sequenceTwo)
	r.mustRun("sign --key @a.pem --predecessor @1.bundle --out @2.bundle @2.jsonc")
	r.writeDocument("added.jsonc", `"sequence": 1`, sequenceTwo, `"targets": [`, `"targets": [
        {"id": 109, "data_centre": "kingston-a", "agent_address": "10.20.1.99:7000", `+activeTarget+`,`)
	r.mustRun("sign --key @a.pem --predecessor @1.bundle --out @added.bundle @added.jsonc")
	r.writeDocument("bad.jsonc", `"slots": 7`, `"slots": 0`, `"port": 443`, `"prot": 443`)
	r.writeDocument("syntax.jsonc", `"services": [`, `"services": [[`)
	r.Assert(os.WriteFile(filepath.Join(r.dir, "garbage"), []byte("\x0a\x00garbage"), 0o600), qt.IsNil)
	r.Assert(os.WriteFile(filepath.Join(r.dir, "large"), make([]byte, 1<<20+1), 0o600), qt.IsNil)

	for _, tc := range []struct {
		command string
		code    int
		want    string
	}{
		{"check @bad.jsonc", 1, `bad.jsonc:32: services[0].addresses[0].prot: unknown field
@bad.jsonc:46: services[0].targets[0].slots: the slots are missing`},
		{"check @syntax.jsonc", 1, "syntax.jsonc:"},
		{"check @none.jsonc", 2, "no such file"},
		{"check", 2, "takes 1 file names, got 0"},
		{"check --predecessor @garbage @2.jsonc", 1, "garbage: bundle.malformed"},
		{"check --predecessor @large @2.jsonc", 1, "large: the file has more than 1048576 bytes"},
		{"check --predecessor @2.bundle @2.jsonc", 1, "2.jsonc:8: sequence: sequence 2 is not higher"},
		{"sign --key @a.pem --out @x.bundle @bad.jsonc", 1, "services[0].targets[0].slots"},
		{"sign --key @a.pem --out @x.bundle @2.jsonc", 1, "sequence 2 needs a predecessor"},
		{"sign --key @a.pem --out @1.bundle @1.jsonc", 2, "file exists"},
		{"sign --key @garbage --out @x.bundle @1.jsonc", 2, "holds no PEM block"},
		{"sign --out @x.bundle @1.jsonc", 2, `"key" not set`},
		{"sign --key @a.pem --endorsement @garbage --out @x.bundle @1.jsonc", 1, "garbage:"},
		{"show @garbage", 1, "garbage: bundle.malformed"},
		{"show --public-key " + key + " @other.bundle", 1, "neither a root key nor endorsed"},
		{"show --public-key AAAA @1.bundle", 2, `"AAAA" is not a base64 public key`},
		{"diff @garbage @1.bundle", 1, "garbage: "},
		{"diff --sample 0 @1.bundle @2.bundle", 2, "--sample 0"},
		{"diff @1.bundle", 2, "takes 2 file names"},
		{"rollback --key @a.pem --to @2.bundle --predecessor @1.bundle --out @x.bundle", 2, "is not older than the predecessor"},
		{"rollback --key @a.pem --to @1.bundle --predecessor @added.bundle --out @x.bundle", 1, "target 109 () of service"},
		{"keygen", 2, "give either --out FILE or --symmetric"},
		{"keygen --out @a.pem", 2, "file exists"},
		{"endorse --key @a.pem --new-key x --out @e", 2, "is not a base64 public key"},
	} {
		output, code := r.run(tc.command)
		r.Check(code, qt.Equals, tc.code, qt.Commentf("%s", tc.command))
		r.Check(output, qt.Contains, strings.ReplaceAll(tc.want, "@", r.dir+"/"), qt.Commentf("%s", tc.command))
	}
	_, err := os.Stat(filepath.Join(r.dir, "x.bundle"))
	r.Assert(os.IsNotExist(err), qt.IsTrue)
	r.mustRun("rollback --drain-added --key @a.pem --to @1.bundle --predecessor @added.bundle --out @x.bundle")
	r.Assert(r.mustRun("diff @added.bundle @x.bundle"), qt.Contains, `target 109 "" (kingston-a): starts to drain`)
}

// Guards against commands without help text, on which operators rely.
func TestBundleHelp(t *testing.T) {
	r := newCommandRunner(t)
	for _, command := range []string{"keygen", "check", "diff", "sign", "endorse", "rollback", "show"} {
		help := r.mustRun(command + " --help")
		r.Check(help, qt.Contains, "heathergw bundle "+command)
		r.Check(r.mustRun("--help"), qt.Contains, command)
	}
}
