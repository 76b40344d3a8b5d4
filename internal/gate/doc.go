// Package gate is the one place where a run starts at a backend server. It
// keeps everything in memory and does no I/O of its own.
//
// Invariants, for one incarnation of the gate:
//
//   - A key starts at most once, whether or not it may be repeated. Keys that
//     have run are remembered as long as the gate lives, also after their
//     answers were dropped. That takes about 22 bytes a key.
//   - After SealKey has answered KeyUnknown or KeySealed the key never starts.
//   - After Release of a life has returned nothing starts that the
//     life began or pays for.
//   - After Leave has returned no further key starts.
//   - No run is billed more than its bound.
//
// All four starting rules are decided in Begin under the lock of the key's
// shard. Release and Leave first make their fact visible and then pass through
// the lock of every shard, so a Begin that has not seen the fact is over.
//
// Begin checks in this order: incarnation, offsets, a known key (attach, or
// conflict), a sealed key, leaving, the standing of the gate, the router and
// the holder, room. A retry attaches to its run also when the gate is leaving or
// its router is sealed, since attaching starts nothing.
//
// Memory is bounded by Config.BufferBytes for all answers and the requests in
// progress together. What is dropped first: answers past their retention, then
// finished answers oldest first, then what all readers of the largest running
// answer have read, then the oldest events of that answer whether read or not
// (its slow readers are disconnected and told BeginGone when they come back).
// A new key is refused with BeginFull while requests and answers in progress
// alone take seven eighths of the buffer.
//
// Beyond the buffer the gate holds some hundred bytes for each run that is not
// settled, which while the log service is out is bounded by the grants, and
// about 22 bytes for each key that has run.
package gate
