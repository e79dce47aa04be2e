package main

import (
	"strings"
	"testing"
)

// An unknown LOG_LEVEL was taken for info without a word.
func TestUnknownLogLevelIsTold(t *testing.T) {
	for level, told := range map[string]bool{"": false, "info": false, "error": false, "debug": false,
		"verbose": true} {
		var out strings.Builder
		logger(&out, level).Debug("x")
		if got := strings.Contains(out.String(), "error, info, debug"); got != told {
			t.Errorf("LOG_LEVEL %q: told %v: %q", level, got, out.String())
		}
	}
}
