package main

import (
	"strings"
	"testing"
)

// An unknown LOG_LEVEL must not silently become info.
func TestUnknownLogLevelIsLogged(t *testing.T) {
	for level, warned := range map[string]bool{"": false, "info": false, "error": false, "debug": false,
		"verbose": true} {
		var out strings.Builder
		logger(&out, level).Debug("x")
		if got := strings.Contains(out.String(), "error, info, debug"); got != warned {
			t.Errorf("LOG_LEVEL %q: warned %v: %q", level, got, out.String())
		}
	}
}
