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
)

// Versions of stored plans. A leader leaves alone what it does not know. A packed
// record holds one of version 1, deflated.
const (
	recordVersion = 1
	packedVersion = 2
)

// packed is how a record is stored that would be too large for a value.
type packed struct {
	V int    `json:"v"`
	Z []byte `json:"z"`
}

// record is a stored plan. Machines are numbers, each given by its distance from
// the one before (zigzag, varint), and the states are a byte each, so that 1,600
// machines take 8 KiB.
type record struct {
	V        int         `json:"v"`
	Name     string      `json:"name"`
	UID      string      `json:"uid"`
	By       string      `json:"by"`
	AtMS     int64       `json:"at_ms"`
	Phase    Phase       `json:"phase"`
	Source   []byte      `json:"source"`
	Machines []byte      `json:"machines"`
	States   []byte      `json:"states"`
	Tries    map[int]int `json:"tries,omitempty"` // of steps that rent
	Passed   int         `json:"passed,omitempty"`
	Closed   string      `json:"closed,omitempty"`
}

// encode makes a plan's record, packed if it has more than so many bytes; 0: never.
func (p *Plan) encode(most int) ([]byte, error) {
	b, err := p.plain()
	if err != nil || most == 0 || len(b) <= most {
		return b, err
	}
	var z bytes.Buffer
	w, err := flate.NewWriter(&z, flate.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("pack plan %s: %w", p.Name, err)
	}
	_, err = w.Write(b)
	if err = errors.Join(err, w.Close()); err != nil {
		return nil, fmt.Errorf("pack plan %s: %w", p.Name, err)
	}
	if b, err = json.Marshal(packed{packedVersion, z.Bytes()}); err != nil {
		return nil, fmt.Errorf("encode plan %s: %w", p.Name, err)
	}
	return b, nil
}

// unpack returns the plain record of a stored one.
func unpack(value []byte) ([]byte, error) {
	var p packed
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, fmt.Errorf("its record is unreadable: %w", err)
	}
	if p.V != packedVersion {
		return value, nil
	}
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Z)), 1<<20))
	if err != nil {
		return nil, fmt.Errorf("its packed record is unreadable: %w", err)
	}
	return b, nil
}

// worst is about the most bytes that a plan's packed record may come to have while its
// steps are in states that have nothing to do with each other.
func worst(s *Spec, source []byte) int {
	p := Plan{Spec: *s, UID: "18446744073709551615-1", Source: source, By: "somebody-with-a-name", At: time.Unix(1<<31, 0),
		GateClosedReason: "tasks take 10.00 times as long on machines of its waves as elsewhere (10000 tasks)"}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, id := range s.Machines {
		p.Steps = append(p.Steps, Step{Machine: id, State: State(rng.IntN(int(Abandoned) + 1))})
	}
	b, err := p.encode(1)
	if err != nil {
		return 0 // plain values always encode
	}
	return len(b)
}

// EnableCompression has records packed from here on that would be too large for the values to come:
// every controller can read them.
func (e *Engine) EnableCompression() { e.packs = true }

func (e *Engine) most() int {
	if !e.packs {
		return 0
	}
	return e.p.MaxRecordBytes
}

func (p *Plan) plain() ([]byte, error) {
	r := record{V: recordVersion, Name: p.Name, UID: p.UID, By: p.By, AtMS: p.At.UnixMilli(), Phase: p.Phase,
		Source: p.Source, Passed: p.PassedWaves, Closed: p.GateClosedReason}
	last := int64(0)
	for i, s := range p.Steps {
		r.Machines = binary.AppendVarint(r.Machines, int64(s.Machine)-last)
		last = int64(s.Machine)
		r.States = append(r.States, byte(s.State))
		if s.RentAttempt > 0 {
			if r.Tries == nil {
				r.Tries = map[int]int{}
			}
			r.Tries[i] = s.RentAttempt
		}
	}
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode plan %s: %w", p.Name, err)
	}
	return b, nil
}

// StoredPlan is a record of the state service.
type StoredPlan struct {
	Name    string
	Value   []byte
	Version uint64
}

// Load takes a stored plan. resolve turns its source into its terms. A record
// that can't be understood, or that a newer release wrote, is kept as it is, and
// told.
func (e *Engine) Load(now time.Duration, s StoredPlan, resolve func(source []byte) (*Spec, error)) {
	p := &Plan{Spec: Spec{Name: s.Name}, version: s.Version}
	if err := p.decode(now, s.Value, resolve); err != nil {
		p = &Plan{Spec: Spec{Name: s.Name}, version: s.Version, foreign: err.Error()}
	}
	e.plans[s.Name] = p
}

func (p *Plan) decode(now time.Duration, value []byte, resolve func([]byte) (*Spec, error)) error {
	value, err := unpack(value)
	if err != nil {
		return err
	}
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
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
	p.PassedWaves, p.GateClosedReason = r.Passed, r.Closed
	last, left := int64(0), r.Machines
	for i, st := range r.States {
		d, n := binary.Varint(left)
		if n <= 0 || State(st) > Abandoned {
			return fmt.Errorf("its record is damaged at step %d", i)
		}
		left, last = left[n:], last+d
		p.Machines = append(p.Machines, model.MachineID(last))
		p.Steps = append(p.Steps, Step{Machine: model.MachineID(last), State: State(st), RentAttempt: r.Tries[i]})
	}
	p.rt = make([]runtime, len(p.Steps))
	for i := range p.rt {
		p.rt[i].since = now
	}
	return nil
}

// Export is a plan under way as it would be stored now, for a forecast.
func (e *Engine) Export(name string) (StoredPlan, *Spec, error) {
	p, err := e.plan(name)
	if err != nil {
		return StoredPlan{}, nil, err
	}
	if p.ended() {
		return StoredPlan{}, nil, refuse("plan %q is %s", name, p.Phase)
	}
	b, err := p.encode(0)
	spec := p.Spec
	return StoredPlan{Name: name, Value: b, Version: 1}, &spec, err
}

// Write is a change for the state service. It comes back through Wrote.
type Write struct {
	Name    string
	Version uint64 // of the record that it replaces, 0: none
	Value   []byte // nil: the record goes
	uid     string
	gen     uint64
}

// keptPlans that have ended; older ones go.
const keptPlans = 32

// Writes returns at most n records to be stored.
func (e *Engine) Writes(n int) []Write {
	var out []Write
	var ended []*Plan
	for _, p := range e.sorted() {
		if p.foreign != "" || p.sending != 0 {
			continue
		}
		if p.ended() && p.synced() {
			ended = append(ended, p)
		}
		if p.synced() || len(out) >= n {
			continue
		}
		b, err := p.encode(e.most())
		if err != nil {
			continue // a record of plain values always encodes
		}
		p.sending = p.gen
		out = append(out, Write{Name: p.Name, Version: p.version, Value: b, uid: p.UID, gen: p.gen})
	}
	if len(ended) > keptPlans && len(out) < n {
		old := slices.MinFunc(ended, func(a, b *Plan) int { return a.At.Compare(b.At) })
		old.sending = old.gen
		out = append(out, Write{Name: old.Name, Version: old.version, uid: old.UID, gen: old.gen})
	}
	return out
}

// WriteDone takes a write's outcome. conflict tells that the record is at version at:
// a write of this leader's without an answer got through after all.
func (e *Engine) WriteDone(w Write, rev uint64, ok, conflict bool, at uint64) {
	p := e.plans[w.Name]
	if p == nil || p.UID != w.uid || p.sending != w.gen {
		return
	}
	p.sending = 0
	switch {
	case ok && w.Value == nil:
		delete(e.plans, w.Name)
	case ok:
		p.version, p.stored = rev, w.gen
	case conflict:
		p.version = at
	}
}
