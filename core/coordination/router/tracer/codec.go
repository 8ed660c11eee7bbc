package tracer

import (
	"encoding/json"
	"reflect"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/recorder"

	"github.com/rotisserie/eris"
)

// Step is one step of a machine.
type Step struct {
	Number  uint64
	Time    time.Time
	Event   router.Event
	Actions []router.Action
}

// request is RequestArrived with a body that keeps its exact bytes, which are part of the request's signature.
type request struct {
	router.RequestArrived
	Body []byte
}

var events = map[string]func(json.RawMessage) (router.Event, error){
	"TableAdopted": read[router.Event, router.TableAdopted],
	"RequestArrived": func(data json.RawMessage) (router.Event, error) {
		r, err := decode[request](data)
		r.RequestArrived.Body = r.Body
		return r.RequestArrived, err
	},
	"CallerGone":          read[router.Event, router.CallerGone],
	"ReplyArrived":        read[router.Event, router.ReplyArrived],
	"AttemptFailed":       read[router.Event, router.AttemptFailed],
	"UpstreamSeen":        read[router.Event, router.UpstreamSeen],
	"UpstreamUnreachable": read[router.Event, router.UpstreamUnreachable],
	"ConnectionsChanged":  read[router.Event, router.ConnectionsChanged],
	"UpstreamLeaving":     read[router.Event, router.UpstreamLeaving],
	"SuspicionHeard":      read[router.Event, router.SuspicionHeard],
	"FleetSeen":           read[router.Event, router.FleetSeen],
	"TimerFired":          read[router.Event, router.TimerFired],
}

var actions = map[string]func(json.RawMessage) (router.Action, error){
	"Send":            read[router.Action, router.Send],
	"Cancel":          read[router.Action, router.Cancel],
	"AnswerSearch":    read[router.Action, router.AnswerSearch],
	"AnswerPoint":     read[router.Action, router.AnswerPoint],
	"Probe":           read[router.Action, router.Probe],
	"Pool":            read[router.Action, router.Pool],
	"SpreadSuspicion": read[router.Action, router.SpreadSuspicion],
	"SpreadDrain":     read[router.Action, router.SpreadDrain],
	"Wake":            read[router.Action, router.Wake],
}

// read decodes a value of type T as the sealed type I that it implements.
func read[I, T any](data json.RawMessage) (I, error) {
	v, err := decode[T](data)
	out, _ := any(v).(I)
	return out, err
}

func decode[T any](data json.RawMessage) (T, error) {
	var v T
	err := encoder.DecodeBytes(data, recorder.MaxLineBytes, &v)
	return v, err
}

// Encode returns the record of a step. It returns an error for an event or action that the trace does not know or that is
// not valid JSON.
func Encode(s Step) (recorder.Record, error) {
	r := recorder.Record{Number: s.Number, Time: s.Time}
	var content any = s.Event
	if e, ok := s.Event.(router.RequestArrived); ok {
		content = request{RequestArrived: e, Body: e.Body}
	}
	var err error
	if r.Kind, r.Event, err = encode(s.Event, content, events); err != nil {
		return recorder.Record{}, err
	}
	for _, a := range s.Actions {
		var out recorder.Action
		if out.Kind, out.Action, err = encode(a, a, actions); err != nil {
			return recorder.Record{}, err
		}
		r.Actions = append(r.Actions, out)
	}
	return r, nil
}

func encode[D any](value, content any, known map[string]D) (string, json.RawMessage, error) {
	kind := ""
	if value != nil {
		kind = reflect.TypeOf(value).Name()
	}
	if _, ok := known[kind]; !ok {
		return "", nil, eris.Errorf("the trace does not know the type %T", value)
	}
	data, err := json.Marshal(content)
	if err != nil {
		return "", nil, eris.Wrapf(err, "encode %s", kind)
	}
	return kind, data, nil
}

// Decode returns the step of a record. It returns an error for an unknown kind, unknown fields and values of a wrong type.
func Decode(r recorder.Record) (Step, error) {
	s := Step{Number: r.Number, Time: r.Time}
	f, ok := events[r.Kind]
	if !ok {
		return Step{}, eris.Errorf("record %d has the unknown event %q", r.Number, r.Kind)
	}
	var err error
	if s.Event, err = f(r.Event); err != nil {
		return Step{}, eris.Wrapf(err, "record %d: event %s", r.Number, r.Kind)
	}
	for _, a := range r.Actions {
		f, ok := actions[a.Kind]
		if !ok {
			return Step{}, eris.Errorf("record %d has the unknown action %q", r.Number, a.Kind)
		}
		action, err := f(a.Action)
		if err != nil {
			return Step{}, eris.Wrapf(err, "record %d: action %s", r.Number, a.Kind)
		}
		s.Actions = append(s.Actions, action)
	}
	return s, nil
}
