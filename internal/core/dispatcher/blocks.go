package dispatcher

import (
	"cmp"
	"slices"

	"honeylock/internal/core/model"
)

// BlockID names a block: so many neighbouring machines, the no-th such group. Size 0
// is the layout of 0.4 and before, whose size is Params.BlockSize.
type BlockID struct{ Size, Index uint64 }

// block is a record in the state service that names neighbouring machines: all
// that may have been given tasks, and that a later leader must account for. A
// record for each machine would take the service minutes to write when a
// thousand machines are new; a block takes one write for all that came
// meanwhile.
//
// Blocks of one layout are written. Those of others are kept as they are until every
// machine that may be in use stands in a record of that layout, and then dropped: at
// any moment the records together name every machine that a later leader must look for.
type block struct {
	version      uint64 // of the stored record, 0: none
	dirty        bool   // the record is to change
	writePending bool
}

// blockOf is the block that a machine is written to.
func (d *Dispatcher) blockOf(id model.MachineID) BlockID {
	return BlockID{d.layout, uint64(id) / d.blockSize(d.layout)}
}

func (d *Dispatcher) blockSize(layout uint64) uint64 {
	if layout == 0 {
		return d.params.BlockSize
	}
	return layout
}

func (d *Dispatcher) blockAt(id BlockID) *block {
	b := d.blocks[id]
	if b == nil {
		b = &block{}
		d.blocks[id] = b
	}
	return b
}

func (d *Dispatcher) block(id model.MachineID) *block { return d.blockAt(d.blockOf(id)) }

// Layout is the size of the blocks that are written, 0: that of 0.4 and before.
func (d *Dispatcher) Layout() uint64 { return d.layout }

// SetLayout has machines written to blocks of another size from here on.
func (d *Dispatcher) SetLayout(size uint64) {
	d.layout = size
	for _, m := range d.machinesByID {
		if !m.recorded || m.recordedLayout != size {
			d.block(m.ID).dirty = true
		}
	}
}

// machinesInBlock returns the machines of a block, in order.
func (d *Dispatcher) machinesInBlock(id BlockID) []*machine {
	size := d.blockSize(id.Size)
	indexOf := func(id uint64) int {
		i, _ := slices.BinarySearchFunc(d.machinesByID, &machine{Machine: model.Machine{ID: model.MachineID(id)}},
			compareMachines)
		return i
	}
	return slices.Clone(d.machinesByID[indexOf(id.Index*size):indexOf((id.Index+1)*size)])
}

// blockWrites appends the blocks to be written now, those that machines wait for
// first, then those of another layout that nothing needs any more. A machine that is
// left out counts as not recorded from here on: the write may be applied however late,
// until a newer one has succeeded.
func (d *Dispatcher) blockWrites(out []Write, n int) []Write {
	var ids, obsolete []BlockID
	urgency := map[BlockID]int{}
	for id, b := range d.blocks {
		switch {
		case b.writePending:
		case id.Size != d.layout:
			obsolete = append(obsolete, id)
		case b.dirty:
			ids = append(ids, id)
			if slices.ContainsFunc(d.machinesInBlock(id), func(m *machine) bool {
				return !m.recorded && !m.gone &&
					!m.expiryConfirmed
			}) {
				urgency[id] = -1
			}
		}
	}
	slices.SortFunc(ids, func(a, b BlockID) int {
		return cmp.Or(cmp.Compare(urgency[a], urgency[b]), cmp.Compare(a.Index, b.Index))
	})
	for _, id := range ids {
		if len(out) >= n {
			return out
		}
		b := d.blocks[id]
		w := Write{Kind: PutBlock, Block: id, Version: b.version}
		for _, m := range d.machinesInBlock(id) {
			if m.gone || m.expiryConfirmed {
				m.recorded = false
				continue
			}
			m.maybeStored = true
			w.Machines = append(w.Machines, m.Machine)
		}
		b.dirty, b.writePending = false, true
		out = append(out, w)
	}
	return d.obsoleteBlockWrites(out, n, obsolete)
}

// obsoleteBlockWrites appends the blocks of other layouts that no machine's record rests on.
func (d *Dispatcher) obsoleteBlockWrites(out []Write, n int, obsolete []BlockID) []Write {
	slices.SortFunc(obsolete, func(a, b BlockID) int {
		return cmp.Or(cmp.Compare(a.Size, b.Size),
			cmp.Compare(a.Index, b.Index))
	})
	for _, id := range obsolete {
		if len(out) >= n {
			break
		}
		if slices.ContainsFunc(d.machinesInBlock(id), func(m *machine) bool {
			return m.recorded &&
				m.recordedLayout == id.Size
		}) {
			continue
		}
		d.blocks[id].writePending = true
		out = append(out, Write{Kind: DropBlock, Block: id, Version: d.blocks[id].version})
	}
	return out
}

// blockStored takes the outcome of a block's write. What became of a write
// without an answer is told by the next one, for it bears the same version.
func (d *Dispatcher) blockStored(w Write, revision uint64, ok, lost bool) {
	b := d.blocks[w.Block]
	b.writePending = false
	if !ok {
		b.dirty = true
		if lost {
			b.version = revision
		}
		return
	}
	b.version = revision
	written := map[model.MachineID]bool{}
	for i := range w.Machines {
		written[w.Machines[i].ID] = true
	}
	for _, m := range d.machinesInBlock(w.Block) {
		switch {
		case written[m.ID] && (m.gone || m.expiryConfirmed):
			b.dirty = true // it left while the write was under way
		case written[m.ID]:
			m.recordedLayout = w.Block.Size
			if w.Block.Size != d.layout {
				d.block(m.ID).dirty = true // the layout changed while the write was under way
			}
			if !m.recorded {
				m.recorded = true
				d.SetUsable(m.ID, true)
			}
		case m.gone:
			d.removeMachine(m)
		case m.expiryConfirmed:
			m.maybeStored = false
		default:
			m.maybeStored = false
			b.dirty = true
		}
	}
}

// blockDropped takes the outcome of dropping a block: ok, or lost to the version that
// it is at, 0 if it is not there.
func (d *Dispatcher) blockDropped(w Write, revision uint64, ok, lost bool) {
	b := d.blocks[w.Block]
	b.writePending = false
	switch {
	case ok || lost && revision == 0:
		delete(d.blocks, w.Block)
	case lost:
		b.version = revision
	}
}
