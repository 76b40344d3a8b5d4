// Package gate starts runs at a backend server and retains their answers. All
// runs at the server are started through its gate. The gate keeps its state in
// memory and does no I/O of its own.
//
// Invariants, for one incarnation of the gate:
//
//   - A key starts at most once, whether or not its call may be repeated. Keys
//     that have run are remembered for the lifetime of the gate, also after
//     their answers were dropped. That takes about 22 bytes per key.
//   - After SealKey has returned KeyUnknown or KeySealed the key never starts.
//   - After WaitSettled has returned for an incarnation, no run starts that
//     this incarnation began or pays for.
//   - After Leave has returned no further key starts.
//   - No run is billed more than its bound.
//
// The first four are enforced in Begin, under the lock of the key's shard.
// WaitSettled and Leave first make the sealed incarnation or the leaving flag
// visible and then acquire the lock of every shard, so a Begin that has not
// observed the change has finished before they return.
//
// Begin checks in this order: the gate's incarnation; stream offsets; whether
// the key has run (attach, or conflict); whether the key is sealed; whether
// the gate is leaving; the states of the gate's, the router's and the holder's
// incarnation; the limits of concurrent runs and of memory. A retry attaches
// to its run also when the gate is leaving or the router is sealed, since
// attaching starts nothing.
//
// Config.BufferBytes limits the memory of all answers and of the requests in
// progress together. Memory is reclaimed in this order: answers past their
// retention; finished answers, oldest first; events of the largest running
// answer that all its readers have read; the oldest events of that answer
// whether read or not. In the last case its slow readers are disconnected and
// get BeginNotRetained when they reconnect. A new key is refused with BeginFull
// while the requests and answers in progress alone take seven eighths of the
// buffer.
//
// Beyond the buffer the gate holds some hundred bytes for each unsettled run
// and about 22 bytes for each key that has run. While the log service is
// unavailable the number of unsettled runs is limited by the grants.
package gate
