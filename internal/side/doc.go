// Package side is the process beside a backend server: the internal listener
// through which routers start and read runs, the control methods, and the
// controllers that keep the engine, the gate and the fleet's view in step.
package side
