package shard

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// fakeWorker executes the commands that the harness's shard sends to one machine.
type fakeWorker struct {
	h        *harness
	token    uint64
	attempts map[attemptKey]model.AttemptStatus
}

// newFakeWorker returns the worker of a new machine with 64 CPUs, which has seen the shard's token.
func newFakeWorker(h *harness) *fakeWorker {
	h.ownMachine(1, 5, 64)
	h.report(1, 5)
	return &fakeWorker{h: h, token: 5, attempts: map[attemptKey]model.AttemptStatus{}}
}

// report sends a report and executes the answer.
func (w *fakeWorker) report() []model.Command {
	w.h.t.Helper()
	cmds := w.h.report(1, w.token, w.list()...)
	w.execute(cmds)
	w.token = w.h.shard.machines[1].token
	return cmds
}

// list returns the attempts in the order of their keys.
func (w *fakeWorker) list() []model.AttemptStatus {
	var out []model.AttemptStatus
	for _, k := range slices.SortedFunc(maps.Keys(w.attempts), attemptKey.compare) {
		out = append(out, w.attempts[k])
	}
	return out
}

// execute carries out the commands of one message.
func (w *fakeWorker) execute(cmds []model.Command) {
	w.h.t.Helper()
	if len(cmds) > maxCommands {
		w.h.t.Fatalf("%d commands in one message", len(cmds))
	}
	for _, c := range cmds {
		k := attemptKey{c.Task, c.Attempt}
		status, known := w.attempts[k]
		switch {
		case c.Verb == model.Launch && !known:
			w.attempts[k] = attemptStatus(c.Task.Job, c.Task.Index, c.Attempt, model.Running, 0)
		case c.Verb == model.Kill && known && status.Stage != model.Exited:
			w.exit(k, model.CauseStopped)
		case c.Verb == model.Clear && status.Stage == model.Exited:
			delete(w.attempts, k)
		}
	}
	if len(w.attempts) > model.AttemptsPerMachine {
		w.h.t.Fatalf("the next report lists %d attempts", len(w.attempts))
	}
}

// exit ends an attempt.
func (w *fakeWorker) exit(k attemptKey, cause model.Cause) {
	status := w.attempts[k]
	status.Stage, status.Cause = model.Exited, cause
	w.attempts[k] = status
}

// receiveDirect executes the shard's direct commands and answers them.
func (w *fakeWorker) receiveDirect() {
	w.h.t.Helper()
	w.h.shard.Flush(w.h.now, 8)
	for _, d := range w.h.shard.TakeDirectCommands() {
		w.execute(d.Commands)
		w.token = max(w.token, d.Token)
		w.h.seq++
		w.h.shard.DirectCommandDone(w.h.now, d, w.h.message(1, 1, w.h.seq, w.token, w.list()...), true)
	}
}

// handleEvents stores the ends of tasks with the given probability, and returns those that are not stored yet.
func (w *fakeWorker) handleEvents(unstored []model.Event, rng *rand.Rand, share float64) []model.Event {
	for _, e := range w.h.shard.TakeEvents() {
		if e.Kind == model.TaskFinished {
			unstored = append(unstored, e)
		}
	}
	return slices.DeleteFunc(unstored, func(e model.Event) bool {
		if rng.Float64() >= share {
			return false
		}
		w.h.shard.HandleOrder(w.h.now, model.Order{Kind: model.ClearAttempt, ID: 1, Task: e.Task, Attempt: e.Attempt})
		return true
	})
}

// One huge array of tiny tasks made reports and answers larger than a message may be, so that the leases of
// all its machines ended, and with them everybody's tasks there. Whatever ends and is cleared when, a worker
// never has more attempts than a report may list.
func TestTinyTasksDoNotOverflowReports(t *testing.T) {
	for seed := range uint64(20) {
		h := newHarness(t)
		w := newFakeWorker(h)
		rng := rand.New(rand.NewPCG(seed, 0))
		spec := h.spec(1, model.Idle, 0.01)
		spec.Tasks, spec.PerTask = 5000, model.Request(0.01, 0, 0.01)
		for i := range spec.Tasks {
			h.assign(spec, i, 1)
		}
		urgent := h.spec(2, model.Urgent, 1)
		var unstored []model.Event
		most, launched := 0, map[model.Task]bool{}
		for step := range int32(120) {
			h.now += time.Second / 2
			if step%8 == 0 {
				h.assign(urgent, step, 100)
			}
			switch rng.IntN(3) {
			case 0:
				h.shard.Tick(h.now)
				w.receiveDirect()
			default:
				w.report()
			}
			for _, k := range slices.SortedFunc(maps.Keys(w.attempts), attemptKey.compare) {
				launched[k.task] = true
				if w.attempts[k].Stage == model.Running && rng.IntN(5) == 0 {
					w.exit(k, model.CauseDone)
				}
			}
			unstored = w.handleEvents(unstored, rng, 0.5)
			h.checkAccounting()
			most = max(most, len(w.attempts))
		}
		if most < model.AttemptsPerMachine*9/10 || len(launched) < 2*model.AttemptsPerMachine {
			t.Errorf("seed %d: at most %d attempts at a time, %d tasks in all", seed, most, len(launched))
		}
	}
}

// A job of a higher priority waited for ever beside free CPUs, because its machines had as many tiny tasks as
// they may. It takes the place of one, once that has been cleared.
func TestTaskEvictsOnMachineFullOfTinyTasks(t *testing.T) {
	h := newHarness(t)
	w := newFakeWorker(h)
	tiny := h.spec(1, model.Idle, 0.01)
	tiny.Tasks, tiny.PerTask = 2*model.AttemptsPerMachine, model.Request(0.01, 0, 0.01)
	for i := range tiny.Tasks {
		h.assign(tiny, i, 1)
	}
	w.report()
	w.report()
	if len(w.attempts) != model.AttemptsPerMachine {
		t.Fatalf("%d tiny tasks run", len(w.attempts))
	}
	urgent := h.spec(2, model.Urgent, 4)
	h.assign(urgent, 0, 100)
	cheap := h.spec(3, model.Idle, 4) // evicts nothing
	h.assign(cheap, 0, 1)
	for range 3 {
		h.now += time.Second
		h.shard.Tick(h.now)
		w.report()
	}
	running := 0
	for k := range w.attempts {
		if k.task.Job == 3 {
			t.Error("a cheap task has taken a place")
		}
		if k.task.Job == 2 {
			running++
		}
	}
	if running != 1 || len(w.attempts) != model.AttemptsPerMachine || h.shard.Stats.Evicted != 1 {
		t.Errorf("the urgent task runs %d times, %d attempts, %d evicted", running, len(w.attempts), h.shard.Stats.Evicted)
	}
}

// A release without the bound may leave more attempts than a message has room for commands. Those beyond are
// killed by the next messages.
func TestCommandsBeyondMessageAreSentLater(t *testing.T) {
	h := newHarness(t)
	w := newFakeWorker(h)
	const found = maxCommands + 300
	h.shard.SetOpenJobs(map[model.JobID]bool{})
	for i := range int32(found) {
		w.attempts[attemptKey{model.Task{Job: 1, Index: i}, 1}] = attemptStatus(1, i, 1, model.Running, 0)
	}
	killed := 0
	for range 3 {
		cmds := h.report(1, 5, w.list()...)
		if len(cmds) > maxCommands {
			t.Fatalf("%d commands in one message", len(cmds))
		}
		for _, c := range cmds {
			if k := (attemptKey{c.Task, c.Attempt}); c.Verb == model.Kill && w.attempts[k].Stage == model.Running {
				w.exit(k, model.CauseStopped)
				killed++
			}
		}
	}
	if killed != found {
		t.Errorf("%d of %d attempts killed", killed, found)
	}
}
