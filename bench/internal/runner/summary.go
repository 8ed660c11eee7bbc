package runner

import (
	"fmt"

	"comfreyroute/bench/internal/loader"
)

// blockSummary returns a line with the results of one block of a policy.
func blockSummary(policy string, block int, r *loader.Report) string {
	return fmt.Sprintf("block %d %s: sent %d, p50 %v, p99 %v, whole %.4f, refused %d, failed %d, wrong %d, extra load %.3f",
		block, policy, r.Sent, r.Quantile(50), r.Quantile(99), r.WholeShare(), r.Refused, r.Failed, r.Wrong, r.ExtraLoad())
}
