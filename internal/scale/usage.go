package scale

import (
	"fmt"
	"slices"
	"time"

	"github.com/prometheus/procfs"
)

// sample is what a process has used so far, as the kernel tells.
type sample struct {
	at      time.Time
	cpu     float64 // seconds
	rss     int     // bytes
	sockets int     // open files, which are sockets but for a few
	read    uint64  // bytes, of sockets for the most part
	written uint64
}

// sampleOf reads a process's figures.
func sampleOf(fs procfs.FS, pid int) (sample, error) {
	p, err := fs.Proc(pid)
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	st, err := p.Stat()
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	io, err := p.IO()
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	files, err := p.FileDescriptorsLen()
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	return sample{at: time.Now(), cpu: st.CPUTime(), rss: st.ResidentMemory(), sockets: files, read: io.RChar,
		written: io.WChar}, nil
}

// Usage of a process in a window.
type Usage struct {
	Role          Role
	Region        int
	Name          string
	Leader        bool    // of its region, at the window's end
	Cores         float64 // processor time a second, mean
	PeakCores     float64 // in any second
	ResidentMB    float64 // at the most
	Sockets       int     // at the most
	ReadKBPerS    float64
	WrittenKBPerS float64
	Restarts      int
}

// meter follows a process through its restarts.
type meter struct {
	samples []sample // since its last start
	usage   Usage
	begun   sample
	cpu     float64 // of earlier lives in this window
	read    uint64
	written uint64
	since   time.Time
}

// open begins a window.
func (m *meter) open(now time.Time) {
	var last sample
	if n := len(m.samples); n > 0 {
		last = m.samples[n-1]
	}
	*m = meter{samples: slices.Clone(m.samples[max(0, len(m.samples)-1):]), begun: last, since: now}
}

// restarted begins another life.
func (m *meter) restarted() {
	if n := len(m.samples); n > 0 {
		m.add(m.samples[n-1])
	}
	m.samples, m.begun = nil, sample{}
	m.usage.Restarts++
}

func (m *meter) add(last sample) {
	m.cpu += last.cpu - m.begun.cpu
	m.read += last.read - m.begun.read
	m.written += last.written - m.begun.written
}

func (m *meter) take(s sample) {
	if n := len(m.samples); n > 0 {
		last := m.samples[n-1]
		if d := s.at.Sub(last.at).Seconds(); d > 0 {
			m.usage.PeakCores = max(m.usage.PeakCores, (s.cpu-last.cpu)/d)
		}
	}
	m.samples = append(m.samples[:0], s)
	m.usage.ResidentMB = max(m.usage.ResidentMB, float64(s.rss)/(1<<20))
	m.usage.Sockets = max(m.usage.Sockets, s.sockets)
}

// close ends a window.
func (m *meter) close(now time.Time) Usage {
	if n := len(m.samples); n > 0 {
		m.add(m.samples[n-1])
	}
	u := m.usage
	if d := now.Sub(m.since).Seconds(); d > 0 {
		u.Cores = m.cpu / d
		u.ReadKBPerS = float64(m.read) / d / 1024
		u.WrittenKBPerS = float64(m.written) / d / 1024
	}
	return u
}
