package dealer

import (
	"slices"

	"honeylock/internal/core/model"
)

// block is a record in the state service that names neighbouring machines: all
// that may have been given tasks, and that a later leader must account for. A
// record for each machine would take the service minutes to write when a
// thousand machines are new; a block takes one write for all that came
// meanwhile.
type block struct {
	version uint64 // of the stored record, 0: none
	dirty   bool   // the record is to change
	writing bool
}

func (d *Dealer) block(id model.MachineID) *block {
	no := uint64(id) / d.p.BlockSize
	b := d.blocks[no]
	if b == nil {
		b = &block{}
		d.blocks[no] = b
	}
	return b
}

// inBlock returns the machines of a block, in order.
func (d *Dealer) inBlock(no uint64) []*machine {
	at := func(id uint64) int {
		i, _ := slices.BinarySearchFunc(d.byID, &machine{Machine: model.Machine{ID: model.MachineID(id)}}, compareMachines)
		return i
	}
	return slices.Clone(d.byID[at(no*d.p.BlockSize):at((no+1)*d.p.BlockSize)])
}

// blockWrites appends the blocks to be written now. A machine that is left out
// counts as not recorded from here on: the write may be applied however late,
// until a newer one has succeeded.
func (d *Dealer) blockWrites(out []Write, n int) []Write {
	var nos []uint64
	for no, b := range d.blocks {
		if b.dirty && !b.writing {
			nos = append(nos, no)
		}
	}
	slices.Sort(nos)
	for _, no := range nos {
		if len(out) >= n {
			break
		}
		b := d.blocks[no]
		w := Write{Kind: PutBlock, Block: no, Version: b.version}
		for _, m := range d.inBlock(no) {
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
	return out
}

// blockStored takes the outcome of a block's write. What became of a write
// without an answer is told by the next one, for it bears the same version.
func (d *Dealer) blockStored(w Write, revision uint64, ok, lost bool) {
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
			if !m.recorded {
				m.recorded = true
				d.Use(m.ID, true)
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
