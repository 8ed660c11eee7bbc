package server

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"comfreyroute/core/protocol/encoder"
)

// Command is the body of POST /control. Fields that are not set change nothing.
type Command struct {
	Down        *string            `json:"down,omitempty"`         // "" (up), "close" or "refuse"
	DownMS      int64              `json:"down_ms,omitempty"`      // ends the outage after this time; 0 keeps it until a command ends it
	SlowMS      *int64             `json:"slow_ms,omitempty"`      // delay added to each call
	LoseAnswers *int64             `json:"lose_answers,omitempty"` // the next writes take effect, but their answer is lost
	ListLagMS   *int64             `json:"list_lag_ms,omitempty"`  // delay of later changes of the VM list
	Reads       *float64           `json:"reads,omitempty"`        // limit per second; 0 lifts it
	Writes      *float64           `json:"writes,omitempty"`
	Set         []encoder.ListedVM `json:"set,omitempty"`    // VMs to add or replace in the list
	Remove      []string           `json:"remove,omitempty"` // names of VMs to remove from the list
}

// Control returns the handler of the separate control address. It offers POST /control and GET /v1/calls.
func (s *Server) Control() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != controlPath && r.URL.Path != encoder.PathCalls {
			http.Error(w, "no such path", http.StatusNotFound)
			return
		}
		s.ServeHTTP(w, r)
	})
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var c Command
	if r.Method != http.MethodPost {
		http.Error(w, "method is not POST", http.StatusMethodNotAllowed)
		return
	}
	if err := encoder.Decode(r.Body, encoder.MaxPlatformBytes, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := c.valid(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The command is in effect before its answer. A command that starts an outage has no answer on the service address.
	s.Apply(c)
	answer(w, http.StatusOK, struct{}{})
}

func (c Command) valid() error {
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

// Apply carries out a command.
func (s *Server) Apply(c Command) {
	if c.SlowMS != nil {
		s.faults.slow.Store(int64(time.Duration(*c.SlowMS) * time.Millisecond))
	}
	if c.LoseAnswers != nil {
		s.faults.loseAnswers.Store(*c.LoseAnswers)
	}
	if c.Reads != nil {
		s.faults.reads.Store(limiter(*c.Reads))
	}
	if c.Writes != nil {
		s.faults.writes.Store(limiter(*c.Writes))
	}
	if c.ListLagMS != nil {
		s.List.SetLag(time.Duration(*c.ListLagMS) * time.Millisecond)
	}
	for _, vm := range c.Set {
		s.List.Set(time.Now(), vm)
	}
	for _, name := range c.Remove {
		s.List.Remove(time.Now(), name)
	}
	if c.Down != nil {
		s.gate.set(outage(*c.Down), time.Duration(c.DownMS)*time.Millisecond)
	}
}

// limiter allows a burst of a tenth of a second, at least 1 call. A rate of 0 means no limit.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}
