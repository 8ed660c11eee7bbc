package router

// Reasons of missing shards and of rejections.
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
	reasonKind           = "wrong_kind"
	reasonLate           = "late" // given up before the deadline because the row prefers latency
	reasonMinCoverage    = "min_coverage"
	reasonRate           = "rate"
)
