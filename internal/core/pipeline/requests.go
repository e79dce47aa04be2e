package pipeline

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// requestQueue holds the jobs for which the caller must send a request to the state service, with at
// most one request per job in flight. A job may leave the queue, and come back, while its request is in
// flight: the request belongs to the queue, not to the job's entry, and is over only with finished.
type requestQueue struct {
	nodes     map[model.JobID]*node
	inFlight  map[model.JobID]struct{}
	notBefore map[model.JobID]time.Duration // earliest time of the next request after a failed one
}

// newRequestQueue returns an empty queue.
func newRequestQueue() requestQueue {
	return requestQueue{nodes: map[model.JobID]*node{}, inFlight: map[model.JobID]struct{}{},
		notBefore: map[model.JobID]time.Duration{}}
}

// add puts a job into the queue.
func (q *requestQueue) add(n *node) { q.nodes[n.ID] = n }

// remove takes a job out of the queue. A request of it that is in flight stays so.
func (q *requestQueue) remove(id model.JobID) {
	delete(q.nodes, id)
	delete(q.notBefore, id)
}

// contains reports whether a job is in the queue.
func (q *requestQueue) contains(id model.JobID) bool { return q.nodes[id] != nil }

// next returns at most limit jobs whose requests are due, in order of ID, and marks these as in flight.
func (q *requestQueue) next(now time.Duration, limit int) []model.JobID {
	var due []model.JobID
	for id := range q.nodes {
		if _, waits := q.inFlight[id]; !waits && now >= q.notBefore[id] {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	due = due[:min(len(due), max(0, limit))]
	for _, id := range due {
		q.inFlight[id] = struct{}{}
	}
	return due
}

// finished records that a job's request is no longer in flight, whether or not the job is still in the
// queue.
func (q *requestQueue) finished(id model.JobID) { delete(q.inFlight, id) }

// retryAt postpones the next request of a job in the queue.
func (q *requestQueue) retryAt(id model.JobID, at time.Duration) {
	if q.contains(id) {
		q.notBefore[id] = at
	}
}
