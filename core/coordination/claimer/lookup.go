package claimer

// LookedUp asks what this VM knows of a key or ticket. The answer is Known; nothing is run and nothing changes.
type LookedUp struct {
	Call CallID
	ID   string
}

// Known answers LookedUp. Phase is empty when this VM knows nothing of the key or ticket.
type Known struct {
	Call    CallID
	Phase   string
	Outcome string
	Reason  string
}

func (LookedUp) isEvent() {}
func (Known) isAction()   {}

func (s *step) lookedUp(e LookedUp) {
	k := Known{Call: e.Call}
	id := e.ID
	if t, err := ParseTicket(id); err == nil {
		id = t.String()
	}
	if r := s.m.runs[id]; r != nil {
		k.Phase, k.Outcome, k.Reason = r.phase.String(), string(r.outcome), r.reason
	}
	s.do(k)
}
