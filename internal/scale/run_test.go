package scale

import (
	"bytes"
	"sync"
	"testing"
)

// TestProgressLinesNotInterleaved checks that lines from several goroutines reach the progress writer whole, although
// the writer is not safe for concurrent use.
func TestProgressLinesNotInterleaved(t *testing.T) {
	const writers, lines = 4, 100
	var out bytes.Buffer
	r := &run{environment: Environment{Progress: &out}}
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range lines {
				r.printProgress("%d workers", lines)
			}
		})
	}
	wg.Wait()
	if want := bytes.Repeat([]byte("100 workers\n"), writers*lines); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("%d bytes of progress, want %d", out.Len(), len(want))
	}
}
