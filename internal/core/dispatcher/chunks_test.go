package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// A write without an answer may be applied after a newer one of the same leader. Each write carries
// the last known version of its chunk and the version of the job's open record, so that a late
// write neither overwrites newer done bits nor restores a chunk of a finished job.
func TestChunkWriteCarriesVersions(t *testing.T) {
	h := newHarness(t, 0)
	shard := h.d.AddShard(0, "a")
	h.addMachine(0, 1, shard)
	h.addJob(4, 3, false)
	finish := func(index int32) {
		h.d.HandleEvent(time.Minute, shard, model.Event{Kind: model.TaskFinished, Machine: 1,
			Task:    model.Task{Job: 4, Index: index},
			Attempt: 9})
	}
	write := func(now time.Duration, version uint64, bits byte) Write {
		t.Helper()
		ws := h.d.ProgressWrites(now, 9)
		if len(ws) != 1 || ws[0].Version != version || ws[0].JobVersion != 5 || ws[0].Bits[0] != bits {
			t.Fatalf("writes %+v, want %08b with version %d", ws, bits, version)
		}
		return ws[0]
	}
	finish(0)
	lost := write(time.Minute, 0, 1)
	h.d.WriteDone(time.Minute, lost, 0, false, false) // no answer
	finish(1)
	w := write(2*time.Minute, 0, 3)
	h.d.WriteDone(2*time.Minute, w, 60, true, false)
	finish(2)
	if ws := h.d.UrgentWrites(9); len(ws) != 1 || ws[0].Kind != FinishJob {
		t.Fatalf("writes %+v, want the job finished", ws)
	}

	// If the first write was applied, the next one fails and learns the version.
	h.addJob(5, 3, false)
	h.d.HandleEvent(time.Minute, shard, model.Event{Kind: model.TaskFinished, Machine: 1, Task: model.Task{Job: 5},
		Attempt: 8})
	ws := h.d.ProgressWrites(3*time.Minute, 9)
	h.d.WriteDone(3*time.Minute, ws[0], 70, false, true)
	if ws = h.d.ProgressWrites(4*time.Minute, 9); len(ws) != 1 || ws[0].Version != 70 {
		t.Fatalf("writes %+v, want one with version 70", ws)
	}
}
