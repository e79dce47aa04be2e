package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(w *world, trouble bool) error{
	"leftover": leftover,
	"replicas": replicas,
	"unknown":  unknown,
	"twice":    twice,
	"handover": handover,
}

// A controller ends with the thread that started it, so that none is left if this process is killed.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play runs a case and returns the exit code.
func play(run func(*world, bool) error, record string, trouble bool) int {
	w, err := newWorld(marketplace(), record, directState)
	var once sync.Once
	end := func() {
		if w != nil {
			once.Do(w.close)
		}
	}
	defer end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(24*time.Second + observation(95*time.Second)):
		}
		fmt.Println("the case could not run: interrupted, or out of time")
		end()
		os.Exit(2)
	}()
	if err == nil {
		w.note("with the disruption: %v", trouble)
		err = run(w, trouble)
		w.noteRuns()
	}
	switch {
	case err == nil:
		fmt.Println("the rule held")
		w.note("the rule held")
		return 0
	case errors.Is(err, errBroken):
		fmt.Println(err)
		w.note("%v", err)
		return 1
	}
	fmt.Println("the case could not run:", err)
	return 2
}

// observation returns how long a case watches: as given, or REVIEW_WATCH (such as 10m) for longer looks by hand.
func observation(usual time.Duration) time.Duration {
	if d, err := time.ParseDuration(os.Getenv("REVIEW_WATCH")); err == nil {
		return d
	}
	return usual
}
