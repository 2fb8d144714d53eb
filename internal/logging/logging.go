// Package logging opens the structured log of a process: JSON lines on
// standard output, limited in volume, written without blocking the caller.
package logging

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// maxBufferedBytes limits the bytes that wait to be written to standard output:
	// five seconds at the line limit with 300 bytes a line.
	maxBufferedBytes = 300 << 10
	// flushInterval is the pause between writes, so that one system call writes
	// many lines.
	flushInterval = 100 * time.Millisecond
	// reportInterval is the shortest time between two reports of dropped lines.
	reportInterval = time.Second
	// closeTimeout limits how long Close waits when nobody reads standard output.
	closeTimeout = 200 * time.Millisecond
)

const (
	// DecisionLinesPerSecond is the limit of decision lines of a process. A decision
	// line is a log line that is written only if Log.AllowDecision permits it.
	DecisionLinesPerSecond = 200
	// decisionBurst allows the lines of one second to be written at once.
	decisionBurst = DecisionLinesPerSecond
)

// Writer buffers lines, which a goroutine writes to an io.Writer. Lines that do
// not fit into the buffer are dropped and counted.
type Writer struct {
	out io.Writer

	mu      sync.Mutex // guards the fields below
	buffer  []byte
	dropped uint64
	closed  bool

	wake chan struct{}
	done chan struct{}
}

// NewWriter returns a Writer to out and starts its goroutine; Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	fits := !w.closed && len(w.buffer)+len(line) <= maxBufferedBytes
	if fits {
		w.buffer = append(w.buffer, line...)
	} else {
		w.dropped++
	}
	w.mu.Unlock()
	if fits {
		w.wakeUp()
	}
	return len(line), nil
}

// wakeUp wakes the goroutine without blocking.
func (w *Writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// Sync implements zapcore.WriteSyncer. It does nothing, because the goroutine
// writes the lines.
func (w *Writer) Sync() error { return nil }

// TakeDropped returns the number of lines dropped since the last call.
func (w *Writer) TakeDropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close writes the buffered lines and waits for that at most closeTimeout.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wakeUp()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		lines, closed := w.buffer, w.closed
		w.buffer = spare[:0]
		w.mu.Unlock()
		if len(lines) > 0 {
			_, _ = w.out.Write(lines) // an error of the log output cannot be logged
		}
		spare = lines
		if closed {
			return
		}
		time.Sleep(flushInterval)
	}
}

// Log is the log of one process.
type Log struct {
	*zap.Logger
	writer  *Writer
	limiter *rate.Limiter

	mu         sync.Mutex // guards the fields below
	suppressed uint64
	nextReport time.Time
}

// New returns a log that writes to out.
func New(out io.Writer) *Log {
	w := NewWriter(out)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, zap.InfoLevel)
	return &Log{Logger: zap.New(core), writer: w, limiter: rate.NewLimiter(DecisionLinesPerSecond, decisionBurst)}
}

// With returns a log that adds fields to every line. Both logs share one rate
// limit.
func (l *Log) With(fields ...zap.Field) *Log {
	return &Log{Logger: l.Logger.With(fields...), writer: l.writer, limiter: l.limiter}
}

// AllowDecision reports whether a decision line may be written within the rate limit.
// Lines over the limit are counted and reported with a later line that is within
// it.
func (l *Log) AllowDecision() bool {
	now := time.Now()
	if l.limiter.AllowN(now, 1) {
		l.reportSuppressed(now)
		return true
	}
	l.mu.Lock()
	l.suppressed++
	l.mu.Unlock()
	return false
}

// reportSuppressed logs how many lines were suppressed or dropped since its last
// report, at most once per reportInterval.
func (l *Log) reportSuppressed(now time.Time) {
	l.mu.Lock()
	suppressed := l.suppressed
	due := now.After(l.nextReport)
	if due {
		l.suppressed = 0
		l.nextReport = now.Add(reportInterval)
	}
	l.mu.Unlock()
	if !due {
		return
	}
	if dropped := l.writer.TakeDropped(); suppressed+dropped > 0 {
		l.Warn("log lines left out", zap.Uint64("over_limit", suppressed), zap.Uint64("reader_too_slow", dropped))
	}
}

// Close writes the buffered lines; see Writer.Close.
func (l *Log) Close() { l.writer.Close() }
