package forwarder

const (
	// maxReplyBytes bounds the body of a reply that is passed on to a caller.
	maxReplyBytes = 32 << 20
	// minPartBytes and partRecords bound the body of a part of a gathered answer: an upstream sends more records than the answer keeps,
	// but not without limit.
	minPartBytes = 256 << 10
	partRecords  = 64
	// memoryDivisor limits one body to a part of the memory for all of them.
	memoryDivisor = 4
	// trimRecords is how many times more records than the answer keeps a part may hold until the answer is merged.
	trimRecords = 4
)

// maxBodyBytes returns the size of the longest body that an upstream may send in reply to a request.
func (m *Machine) maxBodyBytes(r *request) int64 {
	limit := int64(maxReplyBytes)
	if r.gather != nil {
		limit = max(minPartBytes, int64(r.gather.TopK)*recordBytes*partRecords)
	}
	if m.Config.ReplyBytes > 0 {
		limit = min(limit, m.Config.ReplyBytes/memoryDivisor)
	}
	return limit
}

// trim returns the reply of a shard, without the records that cannot be in the answer if there are many of them.
func (g *Gather) trim(reply *Reply) *Reply {
	if len(reply.Body) <= g.TopK*recordBytes*trimRecords {
		return reply
	}
	trimmed := *reply
	trimmed.Body = mergeTop([][]byte{reply.Body}, g.TopK)
	return &trimmed
}
