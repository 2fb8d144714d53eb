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

// workshop runs bundle commands in a folder of its own.
type workshop struct {
	*qt.C
	folder string
}

func newWorkshop(t *testing.T) *workshop { return &workshop{qt.New(t), t.TempDir()} }

// run replaces "@" in arguments by the folder and returns the output, the
// error text and the exit code.
func (w *workshop) run(command string) (output string, code int) {
	var out bytes.Buffer
	root := &cli.Command{
		Name: "heathergw", Commands: []*cli.Command{bundleCommand()}, Writer: &out, ErrWriter: &out,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	args := strings.Fields(strings.ReplaceAll(command, "@", w.folder+"/"))
	err := root.Run(context.Background(), append([]string{"heathergw", "bundle"}, args...))
	if err == nil {
		return out.String(), 0
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return out.String() + err.Error(), coder.ExitCode()
	}
	return out.String() + err.Error(), exitUsage
}

func (w *workshop) must(command string) string {
	w.Helper()
	output, code := w.run(command)
	w.Assert(code, qt.Equals, 0, qt.Commentf("%s: %s", command, output))
	return output
}

// document writes the example bundle with replaced pieces of text.
func (w *workshop) document(name string, pairs ...string) {
	w.Helper()
	data, err := os.ReadFile("../../examples/blue-mahoe/bundle.jsonc")
	w.Assert(err, qt.IsNil)
	text := string(data)
	for i := 0; i < len(pairs); i += 2 {
		w.Assert(text, qt.Contains, pairs[i])
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	w.Assert(os.WriteFile(filepath.Join(w.folder, name), []byte(text), 0o600), qt.IsNil)
}

const (
	activeTarget = `"slots": 7, "max_connections": 2000, "state": "TARGET_STATE_ACTIVE"}`
	second       = `"sequence": 2`
)

// Guards against a break in the operator's work from the first key to a
// roll-back and a key rotation, as the help text shows it.
func TestBundleCommandsTogether(t *testing.T) {
	w := newWorkshop(t)
	key := strings.TrimSpace(w.must("keygen --out @a.pem"))
	info, err := os.Stat(filepath.Join(w.folder, "a.pem"))
	w.Assert(err, qt.IsNil)
	w.Assert(info.Mode().Perm(), qt.Equals, os.FileMode(0o600))
	w.document("1.jsonc")
	w.must("check @1.jsonc")
	w.must("sign --key @a.pem --out @1.bundle @1.jsonc")
	w.Assert(w.must("show --public-key "+key+" @1.bundle"), qt.Contains, "(verified)")

	w.document("2.jsonc", `"sequence": 1`, second, activeTarget, strings.Replace(activeTarget, "ACTIVE", "DRAINING", 1))
	diff := w.must("diff @1.bundle @2.jsonc")
	w.Assert(diff, qt.Contains, `target 101 "booking-a1" (kingston-a): starts to drain`)
	w.Assert(diff, qt.Contains, "slots for new flows: 49 -> 42")

	newKey := strings.TrimSpace(w.must("keygen --out @b.pem"))
	w.must("endorse --key @a.pem --new-key " + newKey + " --out @b.endorsement")
	w.must("sign --key @b.pem --predecessor @1.bundle --endorsement @b.endorsement --out @2.bundle @2.jsonc")
	w.must("show --public-key " + key + " @2.bundle")

	w.must("rollback --key @b.pem --to @1.bundle --predecessor @2.bundle --out @3.bundle")
	shown := w.must("show --public-key " + key + " @3.bundle")
	w.Assert(shown, qt.Contains, "sequence:    3")
	w.Assert(shown, qt.Contains, "roll-back to 1/")
	w.Assert(w.must("diff @1.bundle @3.bundle"), qt.Contains, `service 1 "booking": no change`)

	document := w.must("show --json @3.bundle")
	w.Assert(os.WriteFile(filepath.Join(w.folder, "3.jsonc"), []byte(document), 0o600), qt.IsNil)
	w.Assert(w.must("diff @3.bundle @3.jsonc"), qt.Contains, `service 2 "intake": no change`)
	w.must("check --predecessor @2.bundle @3.jsonc")
}

// Guards against a bad document or file that is signed, against a wrong exit
// code, and against an output file that is replaced.
func TestBundleCommandsRefuse(t *testing.T) {
	w := newWorkshop(t)
	key := strings.TrimSpace(w.must("keygen --out @a.pem"))
	w.must("keygen --out @b.pem")
	w.document("1.jsonc")
	w.must("sign --key @a.pem --out @1.bundle @1.jsonc")
	w.must("sign --key @b.pem --out @other.bundle @1.jsonc")
	w.document("2.jsonc", `"sequence": 1`, second)
	w.must("sign --key @a.pem --predecessor @1.bundle --out @2.bundle @2.jsonc")
	w.document("added.jsonc", `"sequence": 1`, second, `"targets": [`, `"targets": [
        {"id": 109, "data_centre": "kingston-a", "agent_address": "10.20.1.99:7000", `+activeTarget+`,`)
	w.must("sign --key @a.pem --predecessor @1.bundle --out @added.bundle @added.jsonc")
	w.document("bad.jsonc", `"slots": 7`, `"slots": 0`, `"port": 443`, `"prot": 443`)
	w.document("syntax.jsonc", `"services": [`, `"services": [[`)
	w.Assert(os.WriteFile(filepath.Join(w.folder, "garbage"), []byte("\x0a\x00garbage"), 0o600), qt.IsNil)
	w.Assert(os.WriteFile(filepath.Join(w.folder, "large"), make([]byte, 1<<20+1), 0o600), qt.IsNil)

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
		output, code := w.run(tc.command)
		w.Check(code, qt.Equals, tc.code, qt.Commentf("%s", tc.command))
		w.Check(output, qt.Contains, strings.ReplaceAll(tc.want, "@", w.folder+"/"), qt.Commentf("%s", tc.command))
	}
	_, err := os.Stat(filepath.Join(w.folder, "x.bundle"))
	w.Assert(os.IsNotExist(err), qt.IsTrue)
	w.must("rollback --drain-added --key @a.pem --to @1.bundle --predecessor @added.bundle --out @x.bundle")
	w.Assert(w.must("diff @added.bundle @x.bundle"), qt.Contains, `target 109 "" (kingston-a): starts to drain`)
}

// Guards against commands without help, which operators rely on.
func TestBundleHelp(t *testing.T) {
	w := newWorkshop(t)
	for _, command := range []string{"keygen", "check", "diff", "sign", "endorse", "rollback", "show"} {
		help := w.must(command + " --help")
		w.Check(help, qt.Contains, "heathergw bundle "+command)
		w.Check(w.must("--help"), qt.Contains, command)
	}
}
