package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Write is a change for the state service.
type Write struct {
	Kind         WriteKind
	Block        BlockID         // PutBlock, DropBlock
	Machines     []model.Machine // PutBlock: all that the block is to hold
	Version      uint64          // PutBlock, DropBlock: the block's; PutChunk: the chunk's; Finish: the job's
	Job          model.JobID
	Chunk        ChunkID
	JobVersion   uint64 // PutChunk: the version of the job's open record
	FirstTask    int32  // PutChunk: the first task that its bits tell of
	Bits         []byte
	StoredChunks []ChunkID // Finish: chunks that may be stored

	pendingClears []clearRequest
}

// WriteKind tells writes apart.
type WriteKind uint8

// Writes.
const (
	PutBlock WriteKind = iota
	PutChunk
	FinishJob
	DropBlock
)

// ChunkID names a chunk of a job's done set. A job of which all fits into one has
// chunk 0 of the layout of 0.4 and before, which is the same; others have chunks that
// say themselves which task is their first.
type ChunkID struct {
	OldLayout bool
	Index     int32
}

func compareChunks(a, b ChunkID) int { return cmp.Compare(a.Index, b.Index) }

// chunkID is the id of a job's c-th chunk.
func (d *Dispatcher) chunkID(j *job, c int32) ChunkID {
	return ChunkID{OldLayout: j.spec.Tasks <= d.params.ChunkSize, Index: c}
}

// Writes returns the changes to be stored now, at most n, the most urgent first.
func (d *Dispatcher) Writes(now time.Duration, n int) []Write {
	out := d.UrgentWrites(n)
	return append(out, d.ProgressWrites(now, n-len(out))...)
}

// UrgentWrites returns at most n ends of jobs, then records of machines, to be stored
// now. Each comes back through Stored.
func (d *Dispatcher) UrgentWrites(n int) []Write {
	var out []Write
	for _, j := range d.jobsBySubmission {
		if len(out) >= n {
			return out
		}
		if !j.ended && !j.writePending && !j.onHold && !j.spec.Daemon && j.doneCount == j.spec.Tasks {
			j.writePending = true
			out = append(out, Write{Kind: FinishJob, Job: j.spec.ID, Version: j.version,
				StoredChunks: slices.SortedFunc(maps.Keys(j.storedChunks), compareChunks)})
		}
	}
	return d.blockWrites(out, n)
}

// ProgressWrites returns at most n chunks of what is done, the longest not stored
// first. Each comes back through Stored.
func (d *Dispatcher) ProgressWrites(now time.Duration, n int) []Write {
	var out []Write
	jobs := d.sortedJobs()
	slices.SortStableFunc(jobs, func(a, b *job) int { return int(a.lastWriteAt - b.lastWriteAt) })
	for _, j := range jobs {
		if j.ended || j.writePending || now-j.lastWriteAt < d.params.ProgressInterval {
			continue
		}
		for index := range j.dirtyChunks {
			if len(out) >= n {
				return out
			}
			delete(j.dirtyChunks, index)
			id := d.chunkID(j, index)
			version := j.storedChunks[id]
			j.storedChunks[id] = version // from here on, whatever becomes of the write
			j.writePending, j.lastWriteAt = true, now
			w := Write{Kind: PutChunk, Job: j.spec.ID, Chunk: id, FirstTask: index * d.params.ChunkSize,
				Bits:    d.chunkBits(j, index),
				Version: version, JobVersion: j.version}
			j.pendingClears = slices.DeleteFunc(j.pendingClears, func(request clearRequest) bool {
				if request.task.Index/d.params.ChunkSize != index {
					return false
				}
				w.pendingClears = append(w.pendingClears, request)
				return true
			})
			out = append(out, w)
			break // one at a time
		}
	}
	return out
}

func (d *Dispatcher) chunkBits(j *job, c int32) []byte {
	first := c * d.params.ChunkSize
	end := min(first+d.params.ChunkSize, j.spec.Tasks)
	doneBits := make([]byte, (end-first+7)/8)
	for index := first; index < end; index++ {
		if j.isDone(index) {
			doneBits[(index-first)/8] |= 1 << ((index - first) % 8)
		}
	}
	return doneBits
}

// WriteDone takes a write's outcome. lost tells that a Finish found the job's
// record gone, for somebody else has ended it, or that a PutBlock or a PutChunk found its
// key at another version, which is the revision then.
//
// What became of a write without an answer is not known, and it may be carried out after
// newer ones: a chunk without its version then took back what was stored since, whose
// attempts had been cleared, and a later leader ran those tasks again.
func (d *Dispatcher) WriteDone(now time.Duration, w Write, revision uint64, ok, lost bool) {
	switch w.Kind {
	case PutBlock:
		d.blockStored(w, revision, ok, lost)
	case DropBlock:
		d.blockDropped(w, revision, ok, lost)
	case PutChunk:
		j := d.jobs[w.Job]
		if j == nil {
			return
		}
		j.writePending = false
		if ok || lost {
			j.storedChunks[w.Chunk] = revision
		}
		if ok {
			for _, c := range w.pendingClears {
				d.sendClear(c)
			}
		} else {
			j.dirtyChunks[w.Chunk.Index] = true
			j.pendingClears = append(j.pendingClears, w.pendingClears...)
		}
		d.removeIfUnused(j)
	case FinishJob:
		j := d.jobs[w.Job]
		if j == nil {
			return
		}
		j.writePending = false
		if (ok || lost) && !j.ended {
			d.endJob(j)
		}
		d.removeIfUnused(j)
	}
}
