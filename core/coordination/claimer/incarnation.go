package claimer

import "strconv"

const incarnationBase = 36

func formatIncarnation(n uint64) string { return strconv.FormatUint(n, incarnationBase) }

func parseIncarnation(s string) (uint64, error) {
	return strconv.ParseUint(s, incarnationBase, 64)
}
