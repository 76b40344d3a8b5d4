package control

import (
	"syscall"
	"time"
)

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // the arguments are constant
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
