package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases by the number of their folder. Each returns whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"pipeline": pipelineCase,
}

// The exit codes are 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, disruption %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	code := 0
	switch {
	case broken:
		code = 1
		r.logf("RESULT: the rule was broken")
	case err != nil:
		code = 2
		r.logf("RESULT: the case could not run: %v", err)
		if !errors.Is(err, errSetup) {
			fmt.Fprintln(os.Stderr, err)
		}
	default:
		r.logf("RESULT: the rule held")
	}
	_ = file.Close()
	os.Exit(code)
}
