package scale

import (
	"bytes"
	"sync"
	"testing"
)

// Progress is told by several goroutines to a writer that need not be safe for them.
func TestProgressLinesNotInterleaved(t *testing.T) {
	const writers, lines = 4, 100
	var out bytes.Buffer
	r := &run{env: Environment{Progress: &out}}
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range lines {
				r.printProgress("%d workers", lines)
			}
		})
	}
	wg.Wait()
	if wanted := bytes.Repeat([]byte("100 workers\n"), writers*lines); !bytes.Equal(out.Bytes(), wanted) {
		t.Errorf("%d bytes of progress, %d wanted", out.Len(), len(wanted))
	}
}
