package router

// Reasons of missing shards and of rejected requests.
const (
	reasonTimeout        = "timeout"
	reasonUnreachable    = "unreachable"
	reasonReset          = "reset"
	reasonUnresponsive   = "unresponsive"
	reasonMismatched     = "mismatched"
	reasonShed           = "shed"
	reasonDraining       = "draining"
	reasonVersionNotHeld = "version_not_held"
	reasonSuspect        = "suspect"
	reasonBudget         = "budget"
	reasonBusy           = "busy"
	reasonQueueFull      = "queue_full"
	reasonError          = "error"
	reasonExpired        = "expired"
	reasonCancelled      = "cancelled"
	reasonUnknownGroup   = "unknown_group"
	reasonUnknownService = "unknown_service"
	reasonWrongKind      = "wrong_kind"
	reasonLate           = "late" // given up before the deadline, because the service prefers latency
	reasonMinCoverage    = "min_coverage"
	reasonRate           = "rate"
)
