package capacity

import "github.com/camphorlever/camphorlever/internal/measure"

// slopes are what the roles are worked out from.
type slopes struct {
	budgetBytes   line    // heap of a ledger fold by budgets
	memberBytes   line    // heap of the membership by lives
	viewNs        line    // time of a membership view by lives
	teamBytes     line    // heap of the settings by teams
	changeNs      line    // time of a settings change by teams
	settleNs      float64 // time to fold one settlement
	settleBytes   float64 // log bytes of one settlement
	registerBytes float64 // log bytes of one registration
}

// The target.
const (
	targetNodes         = 360.0
	targetWorkers       = 930.0
	targetBudgets       = 12000.0
	targetTeams         = 12000.0
	targetRequestsPerS  = 13000.0
	targetChangesPerDay = 3000.0
	targetVMsPerDay     = 277.0 // 7 that fail and 270 that are replaced
	targetDataCentres   = 7.0
	secondsPerDay       = 86400.0
	nsPerS              = 1e9
	percent             = 100.0
	// recordsPerLife is a registration, a seal or deregistration and, for a
	// life that fails, the acknowledgements of all others.
	recordsPerLife = 2.0
)

// homesPerShard is how many routers follow a shard when only home routers do:
// one in each data centre.
const homesPerShard = targetDataCentres

// roles prints what a node needs for control at the target, for today's
// mechanism (every router follows every ledger shard) and for home routers
// (one in each data centre follows a shard).
func roles(emit measure.Emit, s slopes) {
	members := targetNodes + targetWorkers
	emit("capacity.target.fleet_heap", s.memberBytes.at(members)/bytesPerMiB, "MiB")
	emit("capacity.target.settings_heap", s.teamBytes.at(targetTeams)/bytesPerMiB, "MiB")
	changesPerS := targetChangesPerDay / secondsPerDay
	emit("capacity.target.settings_cpu", s.changeNs.at(targetTeams)*changesPerS/nsPerS*percent, "percent_of_core")
	lifeRecords := (targetVMsPerDay*recordsPerLife + 7*members) / secondsPerDay
	emit("capacity.target.fleet_cpu", s.viewNs.at(members)*lifeRecords/nsPerS*percent, "percent_of_core")
	ledgerShare(emit, s, "all_shards", 1)
	ledgerShare(emit, s, "home_shards", homesPerShard/targetNodes)
}

// ledgerShare prints what following a share of the ledger costs a node.
func ledgerShare(emit measure.Emit, s slopes, name string, share float64) {
	settlements := targetRequestsPerS * share
	emit("capacity.target.ledger_cpu."+name, settlements*s.settleNs/nsPerS*percent, "percent_of_core")
	emit("capacity.target.ledger_bytes."+name, settlements*s.settleBytes/bytesPerKB, "KB_per_s")
	emit("capacity.target.ledger_heap."+name, s.budgetBytes.slope*targetBudgets*share/bytesPerMiB, "MiB")
}
