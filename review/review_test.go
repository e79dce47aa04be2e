// Package review holds the cases of an independent review. They are scripts, which run only on request.
package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases runs the cases' scripts if REVIEW_CASES is set. target/honeylock and the stand-ins
// (review/build.sh) must have been built. A case fails if its script exits with 1.
func TestReviewCases(t *testing.T) {
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("REVIEW_CASES is not set")
	}
	scripts, err := filepath.Glob("*/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no scripts found:", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Dir(script), func(t *testing.T) {
			out, err := exec.Command("bash", script).CombinedOutput()
			t.Logf("%s", out)
			var exit *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &exit) && exit.ExitCode() == 1:
				t.Error("the rule was broken")
			default:
				t.Skip("the case could not run:", err)
			}
		})
	}
}
