package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

// Report combines the observations of clients and hosts.
type Report struct {
	FlowsOpened      int `json:"flows_opened"`
	FlowsBroken      int `json:"flows_broken"`
	RequestsSent     int `json:"requests_sent"`
	RequestsAnswered int `json:"requests_answered"`
	RequestsRunTwice int `json:"requests_run_twice"`
	// Misrouted counts requests run by a host of another service and responses
	// from one.
	Misrouted      int `json:"misrouted"`
	RefusedButRun  int `json:"refused_but_run"`
	FlowsRefused   int `json:"flows_refused"`
	FlowsUnopened  int `json:"flows_unopened"`
	WrongAnswers   int `json:"wrong_answers"`
	StrayPackets   int `json:"stray_packets"`
	LateOpenings   int `json:"late_openings"`
	FlowsCompleted int `json:"flows_completed"`
	// ImbalanceMaxOverMean is the highest load of a ready host divided by the
	// mean load of the ready hosts, both summed over the samples, for the
	// service with the largest quotient. It is 0 when no host was loaded.
	ImbalanceMaxOverMean float64 `json:"imbalance_max_over_mean"`
}

// Violations returns the number of guarantee violations; a refused opening is
// not one.
func (r Report) Violations() int {
	return r.FlowsBroken + r.RequestsRunTwice + r.Misrouted + r.RefusedButRun +
		r.WrongAnswers + r.StrayPackets + r.LateOpenings
}

type attempt struct {
	id  uint64
	key packet.Key
}

type serviceLoad struct{ highest, mean float64 }

// Ledger records what clients and hosts saw. Its methods may be called
// concurrently.
type Ledger struct {
	mu       sync.Mutex
	report   Report
	sent     map[uint64]bool
	answered map[uint64]bool
	runs     map[uint64]int
	ran      map[attempt]bool
	refused  map[attempt]bool
	load     map[uint32]serviceLoad
	broken   []FlowIdentity
	events   []string
	lastID   uint64
}

// maxEvents limits the events kept to explain a failing test.
const maxEvents = 200

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		sent: map[uint64]bool{}, answered: map[uint64]bool{}, runs: map[uint64]int{},
		ran: map[attempt]bool{}, refused: map[attempt]bool{}, load: map[uint32]serviceLoad{},
	}
}

// Report returns the results so far.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.report
	r.RequestsSent, r.RequestsAnswered = len(l.sent), len(l.answered)
	for _, count := range l.runs {
		if count > 1 {
			r.RequestsRunTwice++
		}
	}
	for a := range l.refused {
		if l.ran[a] {
			r.RefusedButRun++
		}
	}
	for _, s := range l.load {
		if s.mean > 0 {
			r.ImbalanceMaxOverMean = max(r.ImbalanceMaxOverMean, s.highest/s.mean)
		}
	}
	return r
}

// Events returns one line for each observed fault, at most 200.
func (l *Ledger) Events() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.events...)
}

// count increments the counter that field selects, and adds an event unless
// format is empty.
func (l *Ledger) count(field func(*Report) *int, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*field(&l.report)++
	l.addEvent(format, args...)
}

func (l *Ledger) addEvent(format string, args ...any) {
	if format != "" && len(l.events) < maxEvents {
		l.events = append(l.events, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// FlowIdentity tells a connection from others with the same addresses and ports.
type FlowIdentity struct {
	Key packet.Key
	// HostISN is the initial sequence number of the host that the client took.
	HostISN uint32
}

// BrokenFlows returns the broken flows.
func (l *Ledger) BrokenFlows() []FlowIdentity {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]FlowIdentity(nil), l.broken...)
}

func (l *Ledger) flowBroken(f FlowIdentity, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.FlowsBroken++
	l.broken = append(l.broken, f)
	l.addEvent("%s: %s", f.Key, reason)
}

func (l *Ledger) newRequestID() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return l.lastID
}

func (l *Ledger) requestSent(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = true
}

func (l *Ledger) requestAnswered(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered[id] = true
}

func (l *Ledger) requestRefused(id uint64, key packet.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[attempt{id, key}] = true
}

func (l *Ledger) requestRun(host string, service uint32, r Request, key packet.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.ID]++
	l.ran[attempt{r.ID, key}] = true
	if l.runs[r.ID] > 1 {
		l.addEvent("request %d ran again at %s", r.ID, host)
	}
	if r.Service != service {
		l.report.Misrouted++
		l.addEvent("request %d for service %d ran at %s of service %d", r.ID, r.Service, host, service)
	}
}

// Sample adds the current load of the hosts, relative to their slots, to the
// imbalance. It ignores hosts that are not ready.
func (l *Ledger) Sample(hosts []*Host) {
	type sum struct {
		highest, total float64
		hosts          int
	}
	sums := map[uint32]sum{}
	for _, h := range hosts {
		load, ready := h.Load()
		if !ready {
			continue
		}
		s := sums[h.options.Service]
		s.highest = max(s.highest, load)
		s.total += load
		s.hosts++
		sums[h.options.Service] = s
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, s := range sums {
		load := l.load[service]
		load.highest += s.highest
		load.mean += s.total / float64(s.hosts)
		l.load[service] = load
	}
}
