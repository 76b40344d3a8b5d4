// Package side implements the side process, which runs on the VM of a backend
// server. It contains the internal listener on which routers start runs and
// read their answers, the RPC control methods, and the controllers: one applies
// the settings to the engine, one polls the engine's load, one writes
// settlements to the ledger, and one announces that the server is leaving.
package side
