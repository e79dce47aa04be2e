package scale

import (
	"bytes"
	"sync"
	"testing"
)

// Progress is told by several goroutines to a writer that need not be safe for them.
func TestProgressLinesAreWhole(t *testing.T) {
	const tellers, lines = 4, 100
	var out bytes.Buffer
	r := &run{env: Environment{Progress: &out}}
	var all sync.WaitGroup
	for range tellers {
		all.Go(func() {
			for range lines {
				r.say("%d workers", lines)
			}
		})
	}
	all.Wait()
	if wanted := bytes.Repeat([]byte("100 workers\n"), tellers*lines); !bytes.Equal(out.Bytes(), wanted) {
		t.Errorf("%d bytes of progress, %d wanted", out.Len(), len(wanted))
	}
}
