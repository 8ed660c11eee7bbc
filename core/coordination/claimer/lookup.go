package claimer

// LookupRequested asks what this VM knows of a key or ticket. The answer is Known; nothing is run and nothing changes.
type LookupRequested struct {
	Call CallID
	ID   string
}

// LookupResult answers LookedUp. Phase is empty when this VM knows nothing of the key or ticket.
type LookupResult struct {
	Call    CallID
	Phase   string
	Outcome string
	Reason  string
}

func (LookupRequested) isEvent() {}
func (LookupResult) isAction()   {}

func (s *step) lookedUp(e LookupRequested) {
	k := LookupResult{Call: e.Call}
	id := e.ID
	if t, err := ParseTicket(id); err == nil {
		id = t.String()
	}
	if r := s.m.runs[id]; r != nil {
		k.Phase, k.Outcome, k.Reason = r.phase.String(), string(r.outcome), r.reason
	}
	s.do(k)
}
