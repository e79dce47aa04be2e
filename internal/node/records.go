package node

import (
	"fmt"
	"strconv"
	"strings"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
	"honeylock/internal/wire"
)

// release numbers this program's capabilities beyond release 0.4; controllers exchange it. From 1 on a
// controller reads machine blocks of every size and supports jobs with dependencies. From 2 on it also
// exchanges the numbers of workers' reports and which jobs are in doubt.
const release = 2

// Keys of the records whose size is limited by the state service. Keys of 0.4 hold only a number:
// machines/00000003, done/job-000412/1. Later keys of blocks also hold the block's size,
// machines/s19/00000003; later keys of chunks, done/job-000412/0.3, mark values that name the chunk's
// first task. A leader of 0.4 that lists the later records reads the machines, and reads the chunks as
// empty ones (docs/upgrade.md).

// blockKey returns the key of a block of machine records.
func blockKey(id dispatcher.BlockID) string {
	if id.Size == 0 {
		return fmt.Sprintf("%s%08d", machinePrefix, id.Index)
	}
	return fmt.Sprintf("%ss%d/%08d", machinePrefix, id.Size, id.Index)
}

// parseBlockKey parses a key made by blockKey.
func parseBlockKey(key string) (id dispatcher.BlockID, err error) {
	number := strings.TrimPrefix(key, machinePrefix)
	if size, rest, sized := strings.Cut(number, "/"); sized {
		if id.Size, err = strconv.ParseUint(strings.TrimPrefix(size, "s"), 10, 32); err != nil || id.Size == 0 {
			return id, fmt.Errorf("machine records %s: unknown layout", key)
		}
		number = rest
	}
	if id.Index, err = strconv.ParseUint(number, 10, 64); err != nil {
		return id, fmt.Errorf("machine records %s: %w", key, err)
	}
	return id, nil
}

// chunkKey returns the key of a chunk of a job's progress.
func chunkKey(id model.JobID, c dispatcher.ChunkID) string {
	layoutPrefix := ""
	if !c.OldLayout {
		layoutPrefix = "0."
	}
	return fmt.Sprintf("%s%s/%s%d", donePrefix, wire.JobName(id), layoutPrefix, c.Index)
}

// parseChunkKey parses a key made by chunkKey.
func parseChunkKey(key string) (id model.JobID, c dispatcher.ChunkID, err error) {
	name, suffix, _ := strings.Cut(strings.TrimPrefix(key, donePrefix), "/")
	if id, err = wire.ParseJob(name); err != nil {
		return id, c, err
	}
	number, newLayout := strings.CutPrefix(suffix, "0.")
	n, err := strconv.ParseInt(number, 10, 32)
	return id, dispatcher.ChunkID{OldLayout: !newLayout, Index: int32(n)}, err
}

// applyOldestRelease is called with the oldest release among all controllers once all have joined this
// term. If none is of 0.4, records are written in a layout that fits the announced lower limits.
func (l *leadership) applyOldestRelease(oldest uint32) {
	cluster := &l.node.cfg.Cluster
	if oldest >= 1 && l.dispatcher.Layout() == 0 && cluster.ValueKB() < cluster.State.ValueKB {
		size := blockSize(cluster.ValueKB())
		l.node.log.Info("all controllers can read smaller blocks of machine records: using them", "machines", size)
		l.changeLayout(size)
	}
}

// shrinkBlocks reduces the block size after the state service refused a block as too large, because
// announced limits are in force or names are long. The same block would be refused forever, and its
// machines would get no tasks.
func (l *leadership) shrinkBlocks(id dispatcher.BlockID) {
	if id.Size != l.dispatcher.Layout() || id.Size == 1 {
		return // the layout has already changed
	}
	cluster := &l.node.cfg.Cluster
	size := id.Size
	if size == 0 {
		size = legacyBlockSize(cluster.State.ValueKB)
	}
	size = min(blockSize(cluster.ValueKB()), max(1, size/2))
	l.node.log.Info("a block of machine records is too large for the state service: using smaller blocks",
		"machines", size)
	l.changeLayout(size)
}

// changeLayout switches everything that may exceed the announced limits to smaller records.
func (l *leadership) changeLayout(size uint64) {
	l.dispatcher.SetLayout(size)
	l.drains.engine.EnableCompression()
}
