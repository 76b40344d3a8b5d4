package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxDuration is when a case that has not ended is given up.
const maxDuration = 110 * time.Second

// cases are the scripts of the review by name; the last three show what REPORT.md lists as
// seen without a case. Each returns whether the rule was broken, or an error if it could
// not run.
var cases = map[string]func(*world) (bool, error){
	"withheld":    soundPartWithheld,
	"long-prompt": longPromptCrashes,
	"dark":        darkCrashes,
	"stop":        stopLongAfterShort,
	"own-failure": ownFailure,
	"preempted":   preemptedStreams,
	"half-close":  halfClose,
	"late-entry":  lateEntry,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || (os.Args[3] != "0" && os.Args[3] != "1") {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER TROUBLE, where TROUBLE is 1, or 0 to leave out the disruption")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3] == "1"))
}

func play(run func(*world) (bool, error), folder string, trouble bool) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
		return exitNotRun
	}
	defer rec.file.Close()
	w, err := newWorld(rec, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "world:", err)
		return exitNotRun
	}
	defer w.close()
	time.AfterFunc(maxDuration, func() {
		w.add("the case takes too long")
		w.close()
		os.Exit(exitNotRun)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		w.add("the case was ended by %v", <-signals)
		w.close()
		os.Exit(exitNotRun)
	}()
	w.add("trouble: %t", trouble)
	broken, err := run(w)
	switch {
	case err != nil:
		w.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		w.add("result: the rule was broken")
		return exitBroken
	default:
		w.add("result: the rule held")
		return exitHeld
	}
}
