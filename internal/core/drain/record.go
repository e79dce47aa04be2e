package drain

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/core/model"
	"honeylock/internal/exactjson"
)

// Versions of stored plans. A leader leaves records of other versions alone. A compressed record
// contains a deflated record of version 1.
const (
	recordVersion     = 1
	compressedVersion = 2
)

// compressedRecord is the stored form of a record that would be too large for a value.
type compressedRecord struct {
	V int    `json:"v"`
	Z []byte `json:"z"`
}

// record is a stored plan. Machine IDs are stored as differences (zigzag varints), and states as one
// byte each, so that 1,600 machines take 8 KiB.
type record struct {
	V                int         `json:"v"`
	Name             string      `json:"name"`
	UID              string      `json:"uid"`
	By               string      `json:"by"`
	AtMS             int64       `json:"at_ms"`
	Phase            Phase       `json:"phase"`
	Source           []byte      `json:"source"`
	Machines         []byte      `json:"machines"`
	States           []byte      `json:"states"`
	RentAttempts     map[int]int `json:"tries,omitempty"` // by step index, where not 0
	PassedWaves      int         `json:"passed,omitempty"`
	GateClosedReason string      `json:"closed,omitempty"`
}

// encode returns the plan's record, compressed if it is larger than maxPlainBytes; 0: it is never
// compressed.
func (p *Plan) encode(maxPlainBytes int) ([]byte, error) {
	b, err := p.encodePlain()
	if err != nil || maxPlainBytes == 0 || len(b) <= maxPlainBytes {
		return b, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("compress plan %s: %w", p.Name, err)
	}
	_, err = w.Write(b)
	if err = errors.Join(err, w.Close()); err != nil {
		return nil, fmt.Errorf("compress plan %s: %w", p.Name, err)
	}
	if b, err = json.Marshal(compressedRecord{compressedVersion, compressed.Bytes()}); err != nil {
		return nil, fmt.Errorf("encode plan %s: %w", p.Name, err)
	}
	return b, nil
}

// decompress returns the plain record of a stored value.
func decompress(value []byte) ([]byte, error) {
	var record compressedRecord
	if err := exactjson.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("its record is unreadable: %w", err)
	}
	if record.V != compressedVersion {
		return value, nil
	}
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(record.Z)), 1<<20))
	if err != nil {
		return nil, fmt.Errorf("its packed record is unreadable: %w", err)
	}
	return b, nil
}

// maxRecordSize estimates the size of the largest compressed record that a plan may need. It encodes the
// plan with random step states, which compress worst, and with long texts.
func maxRecordSize(spec *Spec, source []byte) int {
	p := Plan{Spec: *spec, UID: "18446744073709551615-1", Source: source, By: "somebody-with-a-name",
		At:               time.Unix(1<<31, 0),
		GateClosedReason: "tasks take 10.00 times as long on machines of its waves as elsewhere (10000 tasks)"}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, id := range spec.Machines {
		p.Steps = append(p.Steps, Step{Machine: id, State: State(rng.IntN(int(Abandoned) + 1))})
	}
	b, err := p.encode(1)
	if err != nil {
		return 0 // plain values always encode
	}
	return len(b)
}

// EnableCompression lets the engine compress records that are too large. It is called once every
// controller can read them.
func (e *Engine) EnableCompression() { e.compression = true }

// maxPlainBytes is the size above which records are compressed; 0: none is.
func (e *Engine) maxPlainBytes() int {
	if !e.compression {
		return 0
	}
	return e.params.MaxRecordBytes
}

// encodePlain returns the plan's record without compression.
func (p *Plan) encodePlain() ([]byte, error) {
	r := record{V: recordVersion, Name: p.Name, UID: p.UID, By: p.By, AtMS: p.At.UnixMilli(), Phase: p.Phase,
		Source: p.Source, PassedWaves: p.PassedWaves, GateClosedReason: p.GateClosedReason}
	last := int64(0)
	for i, s := range p.Steps {
		r.Machines = binary.AppendVarint(r.Machines, int64(s.Machine)-last)
		last = int64(s.Machine)
		r.States = append(r.States, byte(s.State))
		if s.RentAttempt > 0 {
			if r.RentAttempts == nil {
				r.RentAttempts = map[int]int{}
			}
			r.RentAttempts[i] = s.RentAttempt
		}
	}
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode plan %s: %w", p.Name, err)
	}
	return b, nil
}

// StoredPlan is a plan's record in the state service.
type StoredPlan struct {
	Name    string
	Value   []byte
	Version uint64
}

// Load takes a stored plan. resolve parses its source. A record that can't be read, or that a newer
// release wrote, stays as it is, and the plan's status says why.
func (e *Engine) Load(now time.Duration, s StoredPlan, resolve func(source []byte) (*Spec, error)) {
	p := &Plan{Spec: Spec{Name: s.Name}, storeVersion: s.Version}
	if err := p.decode(now, s.Value, resolve); err != nil {
		p = &Plan{Spec: Spec{Name: s.Name}, storeVersion: s.Version, unsupportedReason: err.Error()}
	}
	e.plans[s.Name] = p
}

// decode fills the plan from a stored record.
func (p *Plan) decode(now time.Duration, value []byte, resolve func([]byte) (*Spec, error)) error {
	value, err := decompress(value)
	if err != nil {
		return err
	}
	var r record
	if err := exactjson.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("its record is unreadable: %w", err)
	}
	if r.V != recordVersion {
		return fmt.Errorf("a newer release wrote it (version %d)", r.V)
	}
	spec, err := resolve(r.Source)
	if err != nil {
		return fmt.Errorf("its source is unreadable: %w", err)
	}
	name := p.Name
	p.Spec = *spec
	p.Name, p.UID, p.By, p.At, p.Phase, p.Source = name, r.UID, r.By, time.UnixMilli(r.AtMS), r.Phase, r.Source
	p.PassedWaves, p.GateClosedReason = r.PassedWaves, r.GateClosedReason
	last, rest := int64(0), r.Machines
	for i, state := range r.States {
		delta, n := binary.Varint(rest)
		if n <= 0 || State(state) > Abandoned {
			return fmt.Errorf("its record is damaged at step %d", i)
		}
		rest, last = rest[n:], last+delta
		p.Machines = append(p.Machines, model.MachineID(last))
		p.Steps = append(p.Steps, Step{Machine: model.MachineID(last), State: State(state), RentAttempt: r.RentAttempts[i]})
	}
	p.runtime = make([]stepRuntime, len(p.Steps))
	for i := range p.runtime {
		p.runtime[i].stateSince = now
	}
	return nil
}

// Export returns a plan that has not ended as it would be stored now, for a forecast.
func (e *Engine) Export(name string) (StoredPlan, *Spec, error) {
	p, err := e.editablePlan(name)
	if err != nil {
		return StoredPlan{}, nil, err
	}
	if p.ended() {
		return StoredPlan{}, nil, refuse("plan %q is %s", name, p.Phase)
	}
	value, err := p.encode(0)
	spec := p.Spec
	return StoredPlan{Name: name, Value: value, Version: 1}, &spec, err
}

// Write is a change to a record in the state service. Its outcome goes to WriteDone.
type Write struct {
	Name       string
	Version    uint64 // of the record that it replaces, 0: none
	Value      []byte // nil: delete the record
	uid        string
	generation uint64
}

// maxEndedPlans is how many ended plans are kept. The oldest ones are deleted.
const maxEndedPlans = 32

// Writes returns at most n records to be written: those of changed plans, and the deletion of the
// oldest ended plan if there are too many.
func (e *Engine) Writes(n int) []Write {
	var out []Write
	var ended []*Plan
	for _, p := range e.sortedPlans() {
		if p.unsupportedReason != "" || p.writingGeneration != 0 {
			continue
		}
		if p.ended() && p.synced() {
			ended = append(ended, p)
		}
		if p.synced() || len(out) >= n {
			continue
		}
		value, err := p.encode(e.maxPlainBytes())
		if err != nil {
			continue // plain values always encode
		}
		p.writingGeneration = p.generation
		out = append(out, Write{Name: p.Name, Version: p.storeVersion, Value: value, uid: p.UID, generation: p.generation})
	}
	if len(ended) > maxEndedPlans && len(out) < n {
		oldest := slices.MinFunc(ended, func(a, b *Plan) int { return a.At.Compare(b.At) })
		oldest.writingGeneration = oldest.generation
		out = append(out, Write{Name: oldest.Name, Version: oldest.storeVersion, uid: oldest.UID,
			generation: oldest.generation})
	}
	return out
}

// WriteDone takes the outcome of a write. conflict means that the record has version currentVersion,
// because an earlier write of this leader took effect though its answer was lost.
func (e *Engine) WriteDone(w Write, newVersion uint64, ok, conflict bool, currentVersion uint64) {
	p := e.plans[w.Name]
	if p == nil || p.UID != w.uid || p.writingGeneration != w.generation {
		return
	}
	p.writingGeneration = 0
	switch {
	case ok && w.Value == nil:
		delete(e.plans, w.Name)
	case ok:
		p.storeVersion, p.storedGeneration = newVersion, w.generation
	case conflict:
		p.storeVersion = currentVersion
	}
}
