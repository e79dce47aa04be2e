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
	version uint64 // of the stored record, 0: none
	dirty   bool   // the record is to change
	writing bool
}

// blockOf is the block that a machine is written to.
func (d *Dispatcher) blockOf(id model.MachineID) BlockID {
	return BlockID{d.layout, uint64(id) / d.blockSize(d.layout)}
}

func (d *Dispatcher) blockSize(layout uint64) uint64 {
	if layout == 0 {
		return d.p.BlockSize
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
	for _, m := range d.byID {
		if !m.recorded || m.recordedIn != size {
			d.block(m.ID).dirty = true
		}
	}
}

// inBlock returns the machines of a block, in order.
func (d *Dispatcher) inBlock(id BlockID) []*machine {
	size := d.blockSize(id.Size)
	at := func(id uint64) int {
		i, _ := slices.BinarySearchFunc(d.byID, &machine{Machine: model.Machine{ID: model.MachineID(id)}}, compareMachines)
		return i
	}
	return slices.Clone(d.byID[at(id.Index*size):at((id.Index+1)*size)])
}

// blockWrites appends the blocks to be written now, those that machines wait for
// first, then those of another layout that nothing needs any more. A machine that is
// left out counts as not recorded from here on: the write may be applied however late,
// until a newer one has succeeded.
func (d *Dispatcher) blockWrites(out []Write, n int) []Write {
	var ids, past []BlockID
	waits := map[BlockID]int{}
	for id, b := range d.blocks {
		switch {
		case b.writing:
		case id.Size != d.layout:
			past = append(past, id)
		case b.dirty:
			ids = append(ids, id)
			if slices.ContainsFunc(d.inBlock(id), func(m *machine) bool { return !m.recorded && !m.gone && !m.lapsed }) {
				waits[id] = -1
			}
		}
	}
	slices.SortFunc(ids, func(a, b BlockID) int {
		return cmp.Or(cmp.Compare(waits[a], waits[b]), cmp.Compare(a.Index, b.Index))
	})
	for _, id := range ids {
		if len(out) >= n {
			return out
		}
		b := d.blocks[id]
		w := Write{Kind: PutBlock, Block: id, Version: b.version}
		for _, m := range d.inBlock(id) {
			if m.gone || m.lapsed {
				m.recorded = false
				continue
			}
			m.stored = true
			w.Machines = append(w.Machines, m.Machine)
		}
		b.dirty, b.writing = false, true
		out = append(out, w)
	}
	return d.blockDrops(out, n, past)
}

// blockDrops appends the blocks of other layouts that no machine's record rests on.
func (d *Dispatcher) blockDrops(out []Write, n int, past []BlockID) []Write {
	slices.SortFunc(past, func(a, b BlockID) int { return cmp.Or(cmp.Compare(a.Size, b.Size), cmp.Compare(a.Index, b.Index)) })
	for _, id := range past {
		if len(out) >= n {
			break
		}
		if slices.ContainsFunc(d.inBlock(id), func(m *machine) bool { return m.recorded && m.recordedIn == id.Size }) {
			continue
		}
		d.blocks[id].writing = true
		out = append(out, Write{Kind: DropBlock, Block: id, Version: d.blocks[id].version})
	}
	return out
}

// blockStored takes the outcome of a block's write. What became of a write
// without an answer is told by the next one, for it bears the same version.
func (d *Dispatcher) blockStored(w Write, revision uint64, ok, lost bool) {
	b := d.blocks[w.Block]
	b.writing = false
	if !ok {
		b.dirty = true
		if lost {
			b.version = revision
		}
		return
	}
	b.version = revision
	in := map[model.MachineID]bool{}
	for i := range w.Machines {
		in[w.Machines[i].ID] = true
	}
	for _, m := range d.inBlock(w.Block) {
		switch {
		case in[m.ID] && (m.gone || m.lapsed):
			b.dirty = true // it left while the write was under way
		case in[m.ID]:
			m.recordedIn = w.Block.Size
			if w.Block.Size != d.layout {
				d.block(m.ID).dirty = true // the layout changed while the write was under way
			}
			if !m.recorded {
				m.recorded = true
				d.SetUsable(m.ID, true)
			}
		case m.gone:
			d.dropMachine(m)
		case m.lapsed:
			m.stored = false
		default:
			m.stored = false
			b.dirty = true
		}
	}
}

// blockDropped takes the outcome of dropping a block: ok, or lost to the version that
// it is at, 0 if it is not there.
func (d *Dispatcher) blockDropped(w Write, revision uint64, ok, lost bool) {
	b := d.blocks[w.Block]
	b.writing = false
	switch {
	case ok || lost && revision == 0:
		delete(d.blocks, w.Block)
	case lost:
		b.version = revision
	}
}
