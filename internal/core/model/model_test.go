package model

import "testing"

// Controllers must check types, zones, spot machines and GPUs: a worker starts whatever it is
// ordered to.
func TestSpecAllowsAndTaskCount(t *testing.T) {
	m := Machine{Type: 1, Zone: 2, Spot: true, Cap: Capacity(96, 8, 768)}
	for name, c := range map[string]struct {
		change func(*Spec)
		allows bool
	}{
		"anything goes":        {func(*Spec) {}, true},
		"its type":             {func(s *Spec) { s.Types = []Name{4, 1} }, true},
		"other types":          {func(s *Spec) { s.Types = []Name{4, 5} }, false},
		"its zone":             {func(s *Spec) { s.Zone = 2 }, true},
		"another zone":         {func(s *Spec) { s.Zone = 3 }, false},
		"ordinary only":        {func(s *Spec) { s.Spot = false }, false},
		"type and other zone":  {func(s *Spec) { s.Types, s.Zone = []Name{1}, 0 }, false},
		"type, zone, ordinary": {func(s *Spec) { s.Types, s.Zone, s.Spot = []Name{1}, 2, false }, false},
	} {
		s := &Spec{Zone: None, Spot: true}
		c.change(s)
		if got := s.Allows(&m); got != c.allows {
			t.Errorf("%s: %v", name, got)
		}
	}
	for _, c := range []struct {
		cpu, gpu, mem float64
		n             int64
	}{{8, 1, 64, 8}, {8, 0, 64, 12}, {1, 3, 1, 2}, {1, 9, 1, 0}, {0.2, 0, 0.2, 480}, {0.1, 0, 0.1, AttemptsPerMachine},
		{0, 0, 0, AttemptsPerMachine}, {32.0001, 0, 1, 2}, {97, 0, 1, 0}} {
		if n := Request(c.cpu, c.gpu, c.mem).Count(m.Cap); n != c.n {
			t.Errorf("%d tasks of %v CPUs, %v GPUs, %v GB fit, want %d", n, c.cpu, c.gpu, c.mem, c.n)
		}
	}
}
