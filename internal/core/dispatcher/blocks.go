package dispatcher

import (
	"cmp"
	"slices"

	"honeylock/internal/core/model"
)

// BlockID identifies a block of Size machines with neighbouring IDs by its index. Size 0 is the
// layout of version 0.4 and earlier, whose block size is Params.BlockSize.
type BlockID struct{ Size, Index uint64 }

// block is a record in the state service that lists machines with neighbouring IDs: all that may
// have been given tasks, so that a later leader must account for them. With one record per machine
// the state service would need minutes to store a thousand new machines. One write of a block
// covers all machines that were added to it since the last write.
//
// Blocks of one layout are written. Blocks of other layouts stay unchanged until every machine in
// them that may be in use is recorded in the current layout, and are then dropped. At any moment
// the records together list every machine that a later leader must account for.
type block struct {
	version uint64 // of the stored record; 0: none
	dirty   bool   // the record must be written again
	// writePending is true while a write of the block has no known outcome.
	writePending bool
}

// blockOf returns the ID of the block that a machine is written to.
func (d *Dispatcher) blockOf(id model.MachineID) BlockID {
	return BlockID{d.layout, uint64(id) / d.blockSize(d.layout)}
}

// blockSize returns the number of machines per block of a layout.
func (d *Dispatcher) blockSize(layout uint64) uint64 {
	if layout == 0 {
		return d.params.BlockSize
	}
	return layout
}

// blockAt returns a block, and adds it if it is not known.
func (d *Dispatcher) blockAt(id BlockID) *block {
	b := d.blocks[id]
	if b == nil {
		b = &block{}
		d.blocks[id] = b
	}
	return b
}

// block returns the block that a machine is written to.
func (d *Dispatcher) block(id model.MachineID) *block { return d.blockAt(d.blockOf(id)) }

// Layout returns the size of the blocks that are written; 0: the layout of version 0.4 and earlier.
func (d *Dispatcher) Layout() uint64 { return d.layout }

// SetLayout changes the size of the blocks that are written from now on. Machines recorded in
// another layout will be written again.
func (d *Dispatcher) SetLayout(size uint64) {
	d.layout = size
	for _, m := range d.machinesByID {
		if !m.recorded || m.recordedLayout != size {
			d.block(m.ID).dirty = true
		}
	}
}

// machinesInBlock returns the machines of a block by ID.
func (d *Dispatcher) machinesInBlock(id BlockID) []*machine {
	size := d.blockSize(id.Size)
	indexOf := func(id uint64) int {
		i, _ := slices.BinarySearchFunc(d.machinesByID, &machine{Machine: model.Machine{ID: model.MachineID(id)}},
			compareMachines)
		return i
	}
	return slices.Clone(d.machinesByID[indexOf(id.Index*size):indexOf((id.Index+1)*size)])
}

// blockWrites appends the blocks to be written, up to n writes in all: first those with machines
// that cannot be used before they are recorded, then other changed blocks, then the drops of blocks
// of other layouts. A machine that is left out of its block counts as not recorded from here on,
// because the write may be applied at any time until a newer one has succeeded.
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
				return !m.recorded && !m.gone && !m.expiryConfirmed
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

// obsoleteBlockWrites appends drops of blocks of other layouts that hold no machine's only record.
func (d *Dispatcher) obsoleteBlockWrites(out []Write, n int, obsolete []BlockID) []Write {
	slices.SortFunc(obsolete, func(a, b BlockID) int {
		return cmp.Or(cmp.Compare(a.Size, b.Size), cmp.Compare(a.Index, b.Index))
	})
	for _, id := range obsolete {
		if len(out) >= n {
			break
		}
		if slices.ContainsFunc(d.machinesInBlock(id), func(m *machine) bool {
			return m.recorded && m.recordedLayout == id.Size
		}) {
			continue
		}
		d.blocks[id].writePending = true
		out = append(out, Write{Kind: DropBlock, Block: id, Version: d.blocks[id].version})
	}
	return out
}

// blockStored handles the outcome of a block's write. If lost is true, the block has another
// version, which is passed as revision. After a write without an answer the next one shows what
// happened, because it carries the same version.
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
			b.dirty = true // the machine was removed while the write was pending
		case written[m.ID]:
			m.recordedLayout = w.Block.Size
			if w.Block.Size != d.layout {
				d.block(m.ID).dirty = true // the layout changed while the write was pending
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

// blockDropped handles the outcome of dropping a block. If lost is true, the block has another
// version, which is passed as revision; 0: the block does not exist.
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
