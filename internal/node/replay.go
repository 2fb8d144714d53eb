package node

import (
	"errors"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxReplaySenders limits the number of tracked start IDs. The fleet has
	// 2,740 processes and replaces 880 VMs a day.
	maxReplaySenders = 8192
	// replayWindow is the number of counters up to the highest one within
	// which reordered datagrams are still accepted, each once.
	replayWindow = 64
)

// ErrReplay reports a control datagram whose counter was already accepted or is
// below the replay window.
var ErrReplay = errors.New("node: control datagram is a replay")

// replayFilter accepts each counter of a sender's start ID at most once. It is
// safe for concurrent use.
type replayFilter struct {
	mu      sync.Mutex // guards senders; no other lock is acquired while it is held
	senders *simplelru.LRU[uint64, *counterWindow]
}

// counterWindow is a sliding window over the counters of one sender: bit i of
// seen is set if the counter highest-i was accepted.
type counterWindow struct {
	highest uint64
	seen    uint64
}

func newReplayFilter() *replayFilter {
	senders, err := simplelru.NewLRU[uint64, *counterWindow](maxReplaySenders, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &replayFilter{senders: senders}
}

func (f *replayFilter) accept(startID, counter uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.senders.Get(startID)
	if !ok {
		f.senders.Add(startID, &counterWindow{highest: counter, seen: 1})
		return true
	}
	return w.accept(counter)
}

func (w *counterWindow) accept(counter uint64) bool {
	if counter > w.highest {
		w.seen = w.seen<<(counter-w.highest) | 1
		w.highest = counter
		return true
	}
	age := w.highest - counter
	if age >= replayWindow || w.seen&(1<<age) != 0 {
		return false
	}
	w.seen |= 1 << age
	return true
}
