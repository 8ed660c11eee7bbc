package server

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"comfreyroute/core/protocol/encoder"
)

// Command is the body of POST /control. Fields that are not set have no effect.
type Command struct {
	Down        *string            `json:"down,omitempty"`         // outage: "" (none), "close" or "refuse"
	DownMS      int64              `json:"down_ms,omitempty"`      // duration of the outage; 0 means until another command ends it
	SlowMS      *int64             `json:"slow_ms,omitempty"`      // delay of each call
	LoseAnswers *int64             `json:"lose_answers,omitempty"` // number of upcoming writes that take effect but whose reply is dropped
	ListLagMS   *int64             `json:"list_lag_ms,omitempty"`  // delay until later changes of the VM list become visible
	Reads       *float64           `json:"reads,omitempty"`        // limit per second; 0 means no limit
	Writes      *float64           `json:"writes,omitempty"`       // as Reads
	Set         []encoder.ListedVM `json:"set,omitempty"`          // VMs to add or replace in the list
	Remove      []string           `json:"remove,omitempty"`       // names of VMs to remove from the list
}

// ControlHandler returns the handler of the additional control address. It serves POST /control and GET /v1/calls.
func (s *Server) ControlHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != controlPath && r.URL.Path != encoder.PathCalls {
			http.Error(w, "no such path", http.StatusNotFound)
			return
		}
		s.ServeHTTP(w, r)
	})
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var c Command
	if r.Method != http.MethodPost {
		http.Error(w, "method is not POST", http.StatusMethodNotAllowed)
		return
	}
	if err := encoder.Decode(r.Body, encoder.MaxPlatformBytes, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := c.validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The command takes effect before the reply is sent. A command that starts an outage gets no reply on the service address.
	s.ApplyCommand(c)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (c Command) validate() error {
	if c.Down != nil && *c.Down != "" && *c.Down != string(outageClose) && *c.Down != string(outageRefuse) {
		return eris.Errorf(`control: down %q, allowed: "", "close", "refuse"`, *c.Down)
	}
	for _, vm := range c.Set {
		if vm.Name == "" || (vm.State != encoder.VMLive && vm.State != encoder.VMLeaving) {
			return eris.Errorf(`control: set: name %q, state %q, allowed: a name, and "live" or "leaving"`, vm.Name, vm.State)
		}
	}
	return nil
}

// ApplyCommand executes a command, which must be valid.
func (s *Server) ApplyCommand(c Command) {
	if c.SlowMS != nil {
		s.faults.callDelay.Store(int64(time.Duration(*c.SlowMS) * time.Millisecond))
	}
	if c.LoseAnswers != nil {
		s.faults.repliesToDrop.Store(*c.LoseAnswers)
	}
	if c.Reads != nil {
		s.faults.readLimiter.Store(newLimiter(*c.Reads))
	}
	if c.Writes != nil {
		s.faults.writeLimiter.Store(newLimiter(*c.Writes))
	}
	if c.ListLagMS != nil {
		s.VMList.SetLag(time.Duration(*c.ListLagMS) * time.Millisecond)
	}
	for _, vm := range c.Set {
		s.VMList.SetVM(time.Now(), vm)
	}
	for _, name := range c.Remove {
		s.VMList.RemoveVM(time.Now(), name)
	}
	if c.Down != nil {
		s.endpoint.setOutage(outage(*c.Down), time.Duration(c.DownMS)*time.Millisecond)
	}
}

// newLimiter returns a limiter with a burst of a tenth of a second, but at least 1 call. It returns nil, which means no limit, if the
// rate is not positive.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}
