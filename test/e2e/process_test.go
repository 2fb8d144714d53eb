package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/schema"
)

// binary is the path of the heathergw binary, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "heathergw-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "heathergw")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/heathergw")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build heathergw:", err)
		return 1
	}
	return m.Run()
}

// process is one heathergw process. Its settings file and log are in folder.
type process struct {
	settings *schema.Settings
	folder   string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	err     error
}

// newProcess writes the settings file and starts the process.
func newProcess(c *qt.C, folder string, settings *schema.Settings) *process {
	p := &process{settings: settings, folder: folder}
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(settings)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(p.path(".jsonc"), data, 0o600), qt.IsNil)
	c.Cleanup(p.kill)
	p.start(c)
	return p
}

func (p *process) path(suffix string) string {
	return filepath.Join(p.folder, p.settings.GetName()+suffix)
}

func (p *process) start(c *qt.C) {
	role := "entry"
	if p.settings.GetAgent() != nil {
		role = "agent"
	}
	log, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Assert(err, qt.IsNil)
	command := exec.Command(binary, role, "--config", p.path(".jsonc"))
	command.Stdout, command.Stderr = log, log
	// The kernel kills the process when the test binary dies. Pdeathsig is tied
	// to the thread that started the process, so that thread stays locked until
	// the process exits.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	exited, started := make(chan struct{}), make(chan error)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := command.Start()
		started <- err
		if err != nil {
			return
		}
		err = command.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(exited)
	}()
	c.Assert(<-started, qt.IsNil)
	p.mu.Lock()
	p.command, p.exited = command, exited
	p.mu.Unlock()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s) // the process may have exited
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-exited
}

// awaitExit waits until the process exits and returns the error of its exit.
func (p *process) awaitExit(limit time.Duration) error {
	select {
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(limit):
		return fmt.Errorf("%s still runs after %v", p.settings.GetName(), limit)
	}
}

var statusClient = &http.Client{Timeout: time.Second}

func (p *process) status() (node.Status, error) {
	var s node.Status
	response, err := statusClient.Get("http://" + p.settings.GetStatusListen() + "/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(body, &s)
}

var errBundleNotInForce = errors.New("bundle is not in force")

// awaitBundle waits until every process is ready and has a bundle of at least
// this sequence in force.
func awaitBundle(processes []*process, sequence uint64, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range processes {
		for {
			s, err := p.status()
			if err == nil && s.Ready && s.Sequence >= sequence {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s has sequence %d (ready %v), want %d within %v: %w",
					p.settings.GetName(), s.Sequence, s.Ready, sequence, limit, errors.Join(err, errBundleNotInForce))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
