package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// blockedWriter blocks every write until release is closed, as standard output
// does when nobody reads it.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a process that stops forwarding because nobody reads its
// output: lines are dropped and counted instead.
func TestBlockedOutputDoesNotBlockCaller(t *testing.T) {
	c := qt.New(t)
	b := blockedWriter{make(chan struct{})}
	l := New(b)
	line := strings.Repeat("x", 1000)
	finished := make(chan struct{})
	go func() {
		for range 2 * maxBufferedBytes / 1000 {
			l.Info(line)
		}
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(10 * time.Second):
		c.Fatal("logging blocked its caller")
	}
	c.Check(l.writer.TakeDropped() > 0, qt.IsTrue)
	close(b.release)
	l.Close()
}

// Guards against decision lines without a rate limit, and against a limit that
// does not report how many lines it suppressed.
func TestDecisionLinesAreRateLimited(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	var out bytes.Buffer
	l := New(writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return out.Write(p)
	}))
	allowed := 0
	for range 10 * DecisionLinesPerSecond {
		if l.AllowDecision() {
			allowed++
			l.Info("decision")
		}
	}
	c.Check(allowed >= DecisionLinesPerSecond, qt.IsTrue)
	c.Check(allowed <= 2*DecisionLinesPerSecond, qt.IsTrue, qt.Commentf("%d lines at once", allowed))
	l.mu.Lock()
	l.nextReport = time.Time{}
	l.mu.Unlock()
	time.Sleep(2 * time.Second / DecisionLinesPerSecond)
	c.Check(l.AllowDecision(), qt.IsTrue)
	l.With(zap.String("name", "a")).Info("last")
	l.Close()
	mu.Lock()
	defer mu.Unlock()
	c.Check(out.String(), qt.Contains, `"over_limit":`)
	c.Check(out.String(), qt.Contains, `"last"`)
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
