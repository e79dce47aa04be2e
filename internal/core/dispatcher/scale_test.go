package dispatcher

import (
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// The cost of dispatching a new job must not grow with the number of machines and open jobs that it
// does not concern.
func TestDispatchCostDoesNotGrowWithClusterSize(t *testing.T) {
	cost := func(machines int) float64 {
		h := newHarness(t, 1e6)
		s := h.d.AddShard(0, "a")
		for id := range model.MachineID(machines) {
			h.addMachine(0, id, s)
		}
		full := make([]model.MachineStatus, machines)
		for i := range full {
			full[i] = model.MachineStatus{Machine: model.Machine{ID: model.MachineID(i)}, Ready: true}
		}
		full[0].Avail = model.Capacity(8, 0, 64)
		h.d.UpdateStatus(0, s, full, nil, 0)
		h.d.TakeOrders()
		now, id := time.Second, model.JobID(1)
		return testing.AllocsPerRun(20, func() {
			now += 2 * time.Second
			id++
			h.addJob(id, 2, false)
			h.reportStatus(now, s, 0) // the machine is empty again
			h.d.Dispatch(now)
			if len(h.takeOrders(model.AssignTask)) != 2 {
				t.Fatal("not dispatched")
			}
			h.d.JobRemoved(id)
		})
	}
	if small, large := cost(20), cost(2000); large > small+20 {
		t.Errorf("dispatching a job allocates %v times with 2000 machines, %v with 20", large, small)
	}
}

// Tasks dispatched ahead to find victims follow the numbers of machines. Guards against sending
// half of them to a controller that has just restarted and owns only five machines.
func TestTasksDispatchedAheadFollowMachineCounts(t *testing.T) {
	h := newHarness(t, 1e6)
	h.d.params.DispatchAhead = 12
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	for id := range model.MachineID(12) {
		to := a
		if id == 0 {
			to = b
		}
		h.addMachine(0, id, to)
		h.d.UpdateStatus(0, to, []model.MachineStatus{{Machine: model.Machine{ID: id}, Ready: true}}, nil, 0)
	}
	h.d.TakeOrders()
	h.addJob(1, 100, false)
	h.d.Dispatch(time.Second)
	to := map[model.ShardID]int{}
	for _, o := range h.takeOrders(model.AssignTask) {
		to[o.To]++
	}
	if to[a] != 11 || to[b] != 1 {
		t.Errorf("dispatched ahead %v to shards with 11 machines and 1", to)
	}
}

// Dispatches the largest job allowed: each task is dispatched once, the done set survives a change
// of leader in chunks, and the job ends with its last task.
func TestJobOfAHundredThousandTasks(t *testing.T) {
	const tasks, chunk = 100_000, 65_536
	h := newHarness(t, 1e6)
	h.d.params.ChunkSize = chunk
	s := h.d.AddShard(0, "a")
	h.addMachine(0, 1, s)
	spec := h.addJob(1, tasks, false)
	spec.PerTask = model.Request(0.001, 0, 0)
	assigned := make([]bool, tasks)
	var stored []Write
	now, done := time.Second, 0
	for done < tasks/2 {
		now += 2 * time.Second
		h.reportStatus(now, s, 1)
		h.d.Dispatch(now)
		for _, o := range h.takeOrders(model.AssignTask) {
			index := o.Assignment.Task.Index
			if assigned[index] {
				t.Fatalf("task %d dispatched twice", index)
			}
			assigned[index] = true
			done++
			h.d.HandleEvent(now, s, model.Event{Kind: model.TaskFinished, Machine: 1, Task: o.Assignment.Task,
				Attempt: uint64(index), Held: true})
		}
		for _, w := range h.d.Writes(now, 10) {
			if w.Kind != PutChunk {
				t.Fatalf("write %+v with at most half of the tasks done", w)
			}
			stored = append(stored, w)
			h.d.WriteDone(now, w, 60, true, false)
		}
	}
	// The next leader knows the done set and dispatches only the other tasks.
	next := newHarness(t, 1e6)
	next.d.params.ChunkSize = chunk
	s = next.d.AddShard(0, "b")
	next.addMachine(0, 1, s)
	next.addJob(1, tasks, true).PerTask = spec.PerTask
	for _, w := range stored {
		next.d.AddDoneChunk(1, w.Chunk, 1, w.FirstTask, w.Bits)
	}
	for range tasks / model.AttemptsPerMachine {
		now += 2 * time.Second
		next.reportStatus(now, s, 1)
		next.d.Dispatch(now)
		for _, o := range next.takeOrders(model.AssignTask) {
			if assigned[o.Assignment.Task.Index] {
				t.Fatalf("task %d, stored as done, is dispatched again", o.Assignment.Task.Index)
			}
			done++
			next.d.HandleEvent(now, s, model.Event{Kind: model.TaskFinished, Machine: 1, Task: o.Assignment.Task, Attempt: 1,
				Held: true})
		}
	}
	if done != tasks {
		t.Fatalf("%d tasks were dispatched", done)
	}
	for _, w := range next.d.Writes(now, 1) {
		if w.Kind != FinishJob || !slices.Equal(w.StoredChunks, []ChunkID{{}}) {
			t.Errorf("write %+v, want the job finished with the stored chunk", w)
		}
	}
}

// Finishing a job deletes only chunks that may be stored: a chunk whose write got no answer may
// exist, one that was never written does not.
func TestFinishDeletesOnlyChunksThatMayBeStored(t *testing.T) {
	h := newHarness(t, 1e6)
	s := h.d.AddShard(0, "a")
	h.addMachine(0, 1, s)
	finish := func(id model.JobID) []ChunkID {
		t.Helper()
		for _, w := range h.d.UrgentWrites(10) {
			if w.Kind == FinishJob && w.Job == id {
				return w.StoredChunks
			}
		}
		t.Fatalf("job %d: not finished", id)
		return nil
	}
	run := func(id model.JobID, index int32) {
		h.d.HandleEvent(time.Minute, s, model.Event{Kind: model.TaskFinished, Machine: 1,
			Task:    model.Task{Job: id, Index: index},
			Attempt: uint64(index)})
	}
	h.addJob(1, 2, false)
	run(1, 0)
	run(1, 1)
	if chunks := finish(1); len(chunks) != 0 {
		t.Errorf("chunks %v deleted, though none was ever written", chunks)
	}
	h.addJob(2, 2, false)
	run(2, 0)
	for _, w := range h.d.ProgressWrites(2*time.Minute, 10) {
		h.d.WriteDone(2*time.Minute, w, 0, false, false)
	}
	run(2, 1)
	if chunks := finish(2); !slices.Equal(chunks, []ChunkID{{OldLayout: true}}) {
		t.Errorf("chunks %v deleted, want the one whose write got no answer", chunks)
	}
}
