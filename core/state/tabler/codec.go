package tabler

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// FleetService is the name of the value that holds the fleet row.
const FleetService = "_fleet"

// KeyPrefix is the prefix of the table's keys in the key-value service.
const KeyPrefix = "table/"

// Key returns the key of a service's value.
func Key(service string) string { return KeyPrefix + service }

// ServiceOf returns the service of a key, and reports whether the key belongs to the table.
func ServiceOf(key string) (string, bool) {
	service, ok := strings.CutPrefix(key, KeyPrefix)
	return service, ok && (service == FleetService || validName(service))
}

// The stored form of a value. An absent cell takes its default, so that a later release can add cells. Durations and
// addresses are stored as text in the form that operators write, durations with their unit.
type (
	storedValue struct {
		Removed   bool             `json:"removed,omitempty"`
		Fleet     *storedFleet     `json:"fleet,omitempty"`
		Service   *storedService   `json:"service,omitempty"`
		Upstreams []storedUpstream `json:"upstreams,omitempty"`
		Edits     []storedEdit     `json:"edits,omitempty"`
	}
	storedFleet struct {
		Max int `json:"max"`
	}
	storedService struct {
		Kind     string   `json:"kind,omitempty"`
		Prefer   string   `json:"prefer,omitempty"`
		Deadline string   `json:"deadline,omitempty"`
		Budget   *float64 `json:"budget,omitempty"` // percent
		Rate     float64  `json:"rate,omitempty"`
		Running  int      `json:"running,omitempty"`
		Queue    *int     `json:"queue,omitempty"`
		Callers  string   `json:"callers,omitempty"`
		Latency  string   `json:"latency,omitempty"`
		Share    float64  `json:"share,omitempty"`
		Coverage float64  `json:"coverage,omitempty"`
	}
	storedUpstream struct {
		Name        string `json:"name"`
		Group       int    `json:"group"`
		Address     string `json:"address"`
		Domain      string `json:"domain"`
		Weight      *int   `json:"weight,omitempty"`
		Connections int    `json:"connections"`
		Slots       int    `json:"slots"`
		Cost        string `json:"cost,omitempty"`
	}
	storedEdit struct {
		ID      string    `json:"id"`
		Who     string    `json:"who,omitempty"`
		When    time.Time `json:"when"`
		Summary string    `json:"summary,omitempty"`
	}
)

// NewServiceRow returns a service row with the default values.
func NewServiceRow(service string) ServiceRow {
	return ServiceRow{Service: service, Deadline: DefaultDeadline, HedgeBudget: DefaultHedgeBudget, Queue: DefaultQueue}
}

// Decode decodes the stored form of a service's value and validates it as a whole. It returns an error for unknown fields,
// trailing data and input above MaxValueBytes, and FieldErrors for invalid cells.
func Decode(service string, revision uint64, data []byte) (*Value, error) {
	if len(data) > MaxValueBytes {
		return nil, eris.Errorf("%s: value has %d bytes, limit is %d", Key(service), len(data), MaxValueBytes)
	}
	var s storedValue
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return nil, eris.Wrapf(err, "%s: decode value", Key(service))
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, eris.Errorf("%s: value has trailing data after its JSON object", Key(service))
	}
	v, errs := s.toValue(service, revision)
	if err := errs.err(); err != nil {
		return nil, err
	}
	if err := v.Validate(); err != nil {
		return nil, err
	}
	return v, nil
}

func (s *storedValue) toValue(service string, revision uint64) (*Value, FieldErrors) {
	v := &Value{Revision: revision, Removed: s.Removed, Service: NewServiceRow(service)}
	var errs FieldErrors
	misplaced := func(field, allowed string) {
		errs = append(errs, FieldError{Service: service, Field: field, Allowed: allowed})
	}
	if (service == FleetService) != (s.Fleet != nil) {
		misplaced("fleet", "this field in, and only in, the value "+FleetService)
	}
	if (service != FleetService && !s.Removed) != (s.Service != nil) {
		misplaced("service", "this field in, and only in, the value of a service that is not removed")
	}
	if s.Fleet != nil {
		v.Fleet.Max = s.Fleet.Max
	}
	if s.Service != nil {
		errs = append(errs, s.Service.applyTo(&v.Service)...)
	}
	for i := range s.Upstreams {
		u, f := s.Upstreams[i].toRow(service)
		v.Upstreams, errs = append(v.Upstreams, u), append(errs, f...)
	}
	for _, e := range s.Edits {
		v.Edits = append(v.Edits, Edit(e))
	}
	return v, errs
}

func (s *storedService) applyTo(r *ServiceRow) FieldErrors {
	r.RequestLimit, r.InFlightLimit = s.Rate, s.Running
	r.Objective.LatencyShare, r.Objective.CoverageShare = s.Share, s.Coverage
	if s.Budget != nil {
		r.HedgeBudget = *s.Budget / 100
	}
	if s.Queue != nil {
		r.Queue = *s.Queue
	}
	return setCells(r.Service, "", r, serviceColumns, map[string]string{
		"kind": s.Kind, "prefer": s.Prefer, "deadline": s.Deadline, "callers": s.Callers, "latency": s.Latency,
	})
}

func (s *storedUpstream) toRow(service string) (UpstreamRow, FieldErrors) {
	r := UpstreamRow{
		Service: service, Upstream: s.Name, Group: s.Group, FailureDomain: s.Domain, Weight: DefaultWeight,
		Connections: s.Connections, Slots: s.Slots,
	}
	if s.Weight != nil {
		r.Weight = *s.Weight
	}
	return r, setCells(service, s.Name, &r, upstreamColumns, map[string]string{"address": s.Address, "cost": s.Cost})
}

// setCells sets the cells that have a text. A cell with an empty text keeps its default.
func setCells[R any](service, upstream string, r *R, columns []column[R], texts map[string]string) FieldErrors {
	var errs FieldErrors
	for i := range columns {
		c := &columns[i]
		if text := texts[c.name]; text != "" && !c.set(r, text) {
			errs = append(errs, FieldError{Service: service, Upstream: upstream, Field: c.name, Value: text, Allowed: c.allowed})
		}
	}
	return errs
}

// Encode returns the stored form of a value. It returns FieldErrors when the value is not valid, and an error when its stored
// form exceeds MaxValueBytes.
func Encode(v *Value) ([]byte, error) {
	if err := v.Validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(v.toStored())
	if err != nil {
		return nil, eris.Wrapf(err, "%s: encode value", Key(v.Service.Service))
	}
	if len(data) > MaxValueBytes {
		return nil, eris.Errorf("%s: value has %d bytes, limit is %d", Key(v.Service.Service), len(data), MaxValueBytes)
	}
	return data, nil
}

func (v *Value) toStored() *storedValue {
	s := &storedValue{Removed: v.Removed}
	for _, e := range v.Edits {
		s.Edits = append(s.Edits, storedEdit(e))
	}
	if v.Service.Service == FleetService {
		s.Fleet = &storedFleet{Max: v.Fleet.Max}
		return s
	}
	if v.Removed {
		return s
	}
	r := &v.Service
	budget, _ := json.Number(formatPercent(r.HedgeBudget)).Float64()
	s.Service = &storedService{
		Kind: r.Kind.String(), Prefer: r.Prefer.String(), Deadline: r.Deadline.String(), Budget: &budget,
		Rate: r.RequestLimit, Running: r.InFlightLimit, Queue: &r.Queue, Callers: formatCallers(r.Callers),
		Latency: r.Objective.Latency.String(), Share: r.Objective.LatencyShare, Coverage: r.Objective.CoverageShare,
	}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		s.Upstreams = append(s.Upstreams, storedUpstream{
			Name: u.Upstream, Group: u.Group, Address: u.Address.String(), Domain: u.FailureDomain, Weight: &u.Weight,
			Connections: u.Connections, Slots: u.Slots, Cost: u.ConnectCost.String(),
		})
	}
	return s
}
