package dissemination

import "time"

func (f *fleet) countRead() {
	f.platform.reads[f.now/time.Second]++
	f.platform.totalRead++
}

func (f *fleet) readPlatform(n *node) {
	f.countRead()
	if n.entry {
		f.countRead()
	}
	core := n.core
	f.after(platformDelay, func() {
		if n.core == core {
			f.platformAnswer(n)
		}
	})
}

// platformAnswer passes the platform's present state, or its failure, to a
// node and reports which.
func (f *fleet) platformAnswer(n *node) bool {
	healthy := !f.platform.down
	f.do(n, func(out *Actions) {
		if healthy {
			if n.entry && n.core.OfferPlatformVMs(f.platform.vmIndex, f.platform.vmIndex, f.now) {
				n.core.SetDirectory(f.directory, f.now, out)
			}
			if f.platform.version.Compare(n.core.Held()) > 0 {
				n.core.Received(f.platform.version, "platform", f.now, out)
				f.applied(n)
				if n.core.directory == nil && n.core.vms.version != 0 {
					n.core.SetDirectory(f.directory, f.now, out)
				}
			}
		}
		n.core.PlatformAnswered(healthy, f.now, out)
	})
	return healthy
}

func (f *fleet) startWatch(n *node) {
	n.watching = true
	n.watch++
	n.watchFailures = 0
	f.query(n, n.watch)
}

// query models one blocking query of both keys, with the client's backoff.
func (f *fleet) query(n *node, generation int) {
	if n.watch != generation || n.dead {
		return
	}
	f.countRead()
	f.countRead()
	f.awaitAnswer(n, generation)
}

// awaitAnswer passes the answer on after the delay, or once a paused process
// runs again.
func (f *fleet) awaitAnswer(n *node, generation int) {
	f.after(platformDelay, func() {
		if n.watch != generation {
			return
		}
		if n.paused {
			f.awaitAnswer(n, generation)
			return
		}
		if f.platformAnswer(n) {
			n.watchFailures = 0
			f.platform.waiting[n] = true
			f.after(30*time.Second, func() { f.endWait(n, generation) })
			return
		}
		n.watchFailures++
		delay := min(20*time.Second, 400*time.Millisecond<<min(n.watchFailures-1, 10))
		delay = delay/2 + time.Duration(f.random.Int64N(int64(delay)))
		f.after(delay, func() { f.query(n, generation) })
	})
}

func (f *fleet) endWait(n *node, generation int) {
	if n.watch == generation && f.platform.waiting[n] {
		delete(f.platform.waiting, n)
		f.query(n, generation)
	}
}

// wakeWatches ends all waiting queries, after a change or a failure.
func (f *fleet) wakeWatches() {
	for _, n := range f.nodes {
		if f.platform.waiting[n] {
			f.endWait(n, n.watch)
		}
	}
}

func (f *fleet) publish(version Version) {
	f.platform.version = version
	f.wakeWatches()
}

func (f *fleet) setPlatformDown(down bool) {
	f.platform.down = down
	f.wakeWatches()
}

// worstMinute returns the highest mean number of platform reads a second over
// one minute.
func (f *fleet) worstMinute(since time.Duration) (worst float64) {
	for first := since / time.Second; first <= f.now/time.Second; first++ {
		sum := 0
		for second := first; second < first+60; second++ {
			sum += f.platform.reads[second]
		}
		worst = max(worst, float64(sum)/60)
	}
	return worst
}

// traffic returns the mean and the highest bytes a second of a process in
// [since, now), sent and received.
func (f *fleet) traffic(since time.Duration) (mean, worst float64) {
	first, end := since/time.Second, f.now/time.Second
	for _, n := range f.nodes {
		for second := first; second < end; second++ {
			mean += float64(n.bytes[second])
			worst = max(worst, float64(n.bytes[second]))
		}
	}
	return mean / float64(len(f.nodes)) / float64(end-first), worst
}

// worstSecond returns the highest number of platform reads in one second.
func (f *fleet) worstSecond(since time.Duration) (worst int) {
	for second, reads := range f.platform.reads {
		if second >= since/time.Second {
			worst = max(worst, reads)
		}
	}
	return worst
}
