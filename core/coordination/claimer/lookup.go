package claimer

// LookupRequested asks what this VM knows about a key or ticket. The answer is LookupResult; nothing is run or changed.
type LookupRequested struct {
	Call CallID
	ID   string
}

// LookupResult answers LookupRequested. Phase is empty when this VM knows nothing about the key or ticket.
type LookupResult struct {
	Call    CallID
	Phase   string
	Outcome string
	Reason  string
}

func (LookupRequested) isEvent() {}
func (LookupResult) isAction()   {}

func (s *step) lookupRequested(e LookupRequested) {
	k := LookupResult{Call: e.Call}
	id := e.ID
	if t, err := ParseTicket(id); err == nil {
		id = t.String()
	}
	if r := s.m.runs[id]; r != nil {
		k.Phase, k.Outcome, k.Reason = r.phase.String(), string(r.outcome), r.reason
	}
	s.emit(k)
}
