package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Write is a change to be stored in the state service.
type Write struct {
	Kind         WriteKind
	Block        BlockID         // PutBlock, DropBlock
	Machines     []model.Machine // PutBlock: the full contents of the block
	Version      uint64          // PutBlock, DropBlock: the block's; PutChunk: the chunk's; FinishJob: the job's
	Job          model.JobID     // PutChunk, FinishJob
	Chunk        ChunkID         // PutChunk
	JobVersion   uint64          // PutChunk: the version of the job's open record
	FirstTask    int32           // PutChunk: the task that the first bit stands for
	Bits         []byte          // PutChunk: the done bits, see chunkBits
	StoredChunks []ChunkID       // FinishJob: the chunks that may be stored

	// pendingClears are sent once the chunk is stored.
	pendingClears []clearRequest
}

// WriteKind is the kind of a Write.
type WriteKind uint8

// Kinds of writes.
const (
	PutBlock  WriteKind = iota // store the machines of a block
	PutChunk                   // store a chunk of a job's done set
	FinishJob                  // end a job: replace its open record by a final one, and delete its chunks
	DropBlock                  // delete a block of another layout
)

// ChunkID identifies a chunk of a job's done set. A job that fits into one chunk uses chunk 0 of
// the layout of version 0.4 and earlier, whose contents are the same. Chunks of larger jobs store
// the index of their first task.
type ChunkID struct {
	OldLayout bool
	Index     int32
}

// compareChunks compares chunks by index.
func compareChunks(a, b ChunkID) int { return cmp.Compare(a.Index, b.Index) }

// chunkID returns the ID of a job's chunk with index c.
func (d *Dispatcher) chunkID(j *job, c int32) ChunkID {
	return ChunkID{OldLayout: j.spec.Tasks <= d.params.ChunkSize, Index: c}
}

// Writes returns at most n changes to be stored now, the most urgent first.
func (d *Dispatcher) Writes(now time.Duration, n int) []Write {
	out := d.UrgentWrites(n)
	return append(out, d.ProgressWrites(now, n-len(out))...)
}

// UrgentWrites returns at most n writes to be stored now: finished jobs first, then machine
// records. The outcome of each must be passed to WriteDone.
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

// ProgressWrites returns at most n chunks of done sets to be stored, those of the jobs whose last
// write is oldest first. The outcome of each must be passed to WriteDone.
func (d *Dispatcher) ProgressWrites(now time.Duration, n int) []Write {
	var out []Write
	jobs := d.sortedJobs()
	slices.SortStableFunc(jobs, func(a, b *job) int { return int(a.lastWriteAt - b.lastWriteAt) })
	for _, j := range jobs {
		if j.ended || j.writePending || now-j.lastWriteAt < d.params.ProgressInterval {
			continue
		}
		for _, index := range slices.Sorted(maps.Keys(j.dirtyChunks)) {
			if len(out) >= n {
				return out
			}
			delete(j.dirtyChunks, index)
			id := d.chunkID(j, index)
			version := j.storedChunks[id]
			j.storedChunks[id] = version // from here on the chunk may be stored, whatever the write's outcome
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
			break // one chunk of a job at a time
		}
	}
	return out
}

// chunkBits returns the done bits of a chunk's tasks, the lowest bit of each byte first.
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

// WriteDone handles the outcome of a write. If lost is true, a FinishJob found the job's record gone
// because someone else ended the job, or a PutBlock, PutChunk or DropBlock found its key at another
// version, which is passed as revision. If neither ok nor lost is true, the write failed or its
// outcome is unknown.
//
// A write without an answer may have been applied, or be applied after newer ones. Chunks are
// therefore written under their version. A late write without one would overwrite newer done bits,
// and the next leader would run tasks again whose attempts were already cleared.
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
