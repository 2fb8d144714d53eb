package placement

// Queue is a FIFO queue of openings that wait because every target is full. It
// is not safe for concurrent use; its owner must lock it.
type Queue[T any] struct {
	items    []queuedItem[T]
	capacity int
}

type queuedItem[T any] struct {
	item     T
	deadline int64
}

// NewQueue returns an empty queue that holds at most capacity openings.
func NewQueue[T any](capacity int) *Queue[T] { return &Queue[T]{capacity: capacity} }

// Len returns the number of waiting openings.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push appends an opening with a deadline in nanoseconds. It returns false if the
// queue is full, in which case the caller must refuse the opening.
func (q *Queue[T]) Push(item T, deadline int64) bool {
	if len(q.items) >= q.capacity {
		return false
	}
	q.items = append(q.items, queuedItem[T]{item, deadline})
	return true
}

// Peek returns the oldest opening and its deadline in nanoseconds; ok is false if
// the queue is empty.
func (q *Queue[T]) Peek() (item T, deadline int64, ok bool) {
	if len(q.items) == 0 {
		return item, 0, false
	}
	return q.items[0].item, q.items[0].deadline, true
}

// Pop removes the oldest opening, which Peek returns.
func (q *Queue[T]) Pop() {
	if len(q.items) > 0 {
		q.items[0] = queuedItem[T]{}
		q.items = q.items[1:]
	}
}

// Expire removes the openings whose deadline has passed and calls refuse for each
// of them in order of arrival.
func (q *Queue[T]) Expire(now int64, refuse func(T)) {
	kept := q.items[:0]
	for _, w := range q.items {
		if w.deadline <= now {
			refuse(w.item)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.items[len(kept):])
	q.items = kept
}
