package placement

// Queue holds openings that found every target full, in order of arrival. It
// is not safe for concurrent use: its owner's lock guards it.
type Queue[T any] struct {
	items    []waiting[T]
	capacity int
}

type waiting[T any] struct {
	item  T
	until int64
}

// NewQueue returns a queue of at most capacity openings.
func NewQueue[T any](capacity int) *Queue[T] { return &Queue[T]{capacity: capacity} }

// Len returns the number of waiting openings.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds an opening that waits until a time in nanoseconds. It reports false
// when the queue is full; the opening is then to be refused.
func (q *Queue[T]) Push(item T, until int64) bool {
	if len(q.items) >= q.capacity {
		return false
	}
	q.items = append(q.items, waiting[T]{item, until})
	return true
}

// Peek returns the opening that has waited longest and its deadline in
// nanoseconds, and false when none waits.
func (q *Queue[T]) Peek() (item T, until int64, ok bool) {
	if len(q.items) == 0 {
		return item, 0, false
	}
	return q.items[0].item, q.items[0].until, true
}

// Drop removes the opening that Peek returned.
func (q *Queue[T]) Drop() {
	if len(q.items) > 0 {
		q.items[0] = waiting[T]{}
		q.items = q.items[1:]
	}
}

// Expire removes the openings whose deadline has passed and calls refuse for
// each in order of arrival.
func (q *Queue[T]) Expire(now int64, refuse func(T)) {
	kept := q.items[:0]
	for _, w := range q.items {
		if w.until <= now {
			refuse(w.item)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.items[len(kept):])
	q.items = kept
}
