package node

import (
	"fmt"
	"strconv"
	"strings"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
	"honeylock/internal/wire"
)

// release is what this program can do beyond 0.4, as controllers tell each other. From
// 1 on it reads blocks of machines of every size, and knows jobs that await others; from 2
// on it tells reports' numbers and jobs in doubt.
const release = 2

// Keys of the records whose size the state service bounds. Those of 0.4 have a number
// alone: machines/00000003, done/job-000412/1. Later ones say how large a block is, or
// which task is a chunk's first within its value: machines/s19/00000003,
// done/job-000412/0.3. A leader of 0.4 that lists them takes the machines in and the
// chunks for empty ones (docs/upgrade.md).

func blockKey(id dispatcher.BlockID) string {
	if id.Size == 0 {
		return fmt.Sprintf("%s%08d", machinePrefix, id.Index)
	}
	return fmt.Sprintf("%ss%d/%08d", machinePrefix, id.Size, id.Index)
}

func parseBlockKey(key string) (id dispatcher.BlockID, err error) {
	number := strings.TrimPrefix(key, machinePrefix)
	if size, rest, sized := strings.Cut(number, "/"); sized {
		if id.Size, err = strconv.ParseUint(strings.TrimPrefix(size, "s"), 10, 32); err != nil || id.Size == 0 {
			return id, fmt.Errorf("machine records %s: its layout is not known", key)
		}
		number = rest
	}
	if id.Index, err = strconv.ParseUint(number, 10, 64); err != nil {
		return id, fmt.Errorf("machine records %s: %w", key, err)
	}
	return id, nil
}

func chunkKey(id model.JobID, c dispatcher.ChunkID) string {
	layoutPrefix := ""
	if !c.OldLayout {
		layoutPrefix = "0."
	}
	return fmt.Sprintf("%s%s/%s%d", donePrefix, wire.JobName(id), layoutPrefix, c.Index)
}

func parseChunkKey(key string) (id model.JobID, c dispatcher.ChunkID, err error) {
	name, suffix, _ := strings.Cut(strings.TrimPrefix(key, donePrefix), "/")
	if id, err = wire.ParseJob(name); err != nil {
		return id, c, err
	}
	number, newLayout := strings.CutPrefix(suffix, "0.")
	n, err := strconv.ParseInt(number, 10, 32)
	return id, dispatcher.ChunkID{OldLayout: !newLayout, Index: int32(n)}, err
}

// applyOldestRelease takes the oldest release among all controllers, now that all have joined
// this term: once none is of 0.4, records are written that fit the limits to come.
func (l *leadership) applyOldestRelease(oldest uint32) {
	cluster := &l.node.cfg.Cluster
	if oldest >= 1 && l.dispatcher.Layout() == 0 && cluster.ValueKB() < cluster.State.ValueKB {
		size := blockSize(cluster.ValueKB())
		l.node.log.Info("all controllers are of this release: machines' records get smaller", "machines", size)
		l.changeLayout(size)
	}
}

// shrinkBlocks takes a block that the state service refused for its size: limits that were
// announced hold, or names are long. Written again as it is it would be refused for
// ever, and its machines would get no task.
func (l *leadership) shrinkBlocks(id dispatcher.BlockID) {
	if id.Size != l.dispatcher.Layout() || id.Size == 1 {
		return // the layout has changed since
	}
	cluster := &l.node.cfg.Cluster
	size := id.Size
	if size == 0 {
		size = legacyBlockSize(cluster.State.ValueKB)
	}
	size = min(blockSize(cluster.ValueKB()), max(1, size/2))
	l.node.log.Info("a block of machines' records is too large for the state service: smaller ones", "machines", size)
	l.changeLayout(size)
}

// changeLayout has everything that may be too large for the limits to come written smaller.
func (l *leadership) changeLayout(size uint64) {
	l.dispatcher.SetLayout(size)
	l.drains.engine.EnableCompression()
}
