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

// Step is one recorded call of Machine.Step.
type Step struct {
	Number  uint64
	Time    time.Time
	Event   router.Event
	Actions []router.Action
}

// request is RequestArrived with a body that keeps its exact bytes, because the signature of the request depends on them.
type request struct {
	router.RequestArrived
	Body []byte
}

var eventDecoders = map[string]func(json.RawMessage) (router.Event, error){
	"TableAdopted": decodeAs[router.Event, router.TableAdopted],
	"RequestArrived": func(data json.RawMessage) (router.Event, error) {
		r, err := decode[request](data)
		r.RequestArrived.Body = r.Body
		return r.RequestArrived, err
	},
	"CallerGone":          decodeAs[router.Event, router.CallerGone],
	"ReplyArrived":        decodeAs[router.Event, router.ReplyArrived],
	"AttemptFailed":       decodeAs[router.Event, router.AttemptFailed],
	"UpstreamSeen":        decodeAs[router.Event, router.UpstreamSeen],
	"UpstreamUnreachable": decodeAs[router.Event, router.UpstreamUnreachable],
	"ConnectionsChanged":  decodeAs[router.Event, router.ConnectionsChanged],
	"UpstreamLeaving":     decodeAs[router.Event, router.UpstreamLeaving],
	"SuspicionHeard":      decodeAs[router.Event, router.SuspicionHeard],
	"FleetSeen":           decodeAs[router.Event, router.FleetSeen],
	"TimerFired":          decodeAs[router.Event, router.TimerFired],
}

var actionDecoders = map[string]func(json.RawMessage) (router.Action, error){
	"Send":            decodeAs[router.Action, router.Send],
	"Cancel":          decodeAs[router.Action, router.Cancel],
	"AnswerSearch":    decodeAs[router.Action, router.AnswerSearch],
	"AnswerPoint":     decodeAs[router.Action, router.AnswerPoint],
	"Probe":           decodeAs[router.Action, router.Probe],
	"Pool":            decodeAs[router.Action, router.Pool],
	"SpreadSuspicion": decodeAs[router.Action, router.SpreadSuspicion],
	"SpreadDrain":     decodeAs[router.Action, router.SpreadDrain],
	"Wake":            decodeAs[router.Action, router.Wake],
}

// decodeAs decodes a value of type T and returns it as the interface type I, which T implements.
func decodeAs[I, T any](data json.RawMessage) (I, error) {
	v, err := decode[T](data)
	out, _ := any(v).(I)
	return out, err
}

func decode[T any](data json.RawMessage) (T, error) {
	var v T
	err := encoder.DecodeBytes(data, recorder.MaxLineBytes, &v)
	return v, err
}

// Encode returns the record of a step. It returns an error for an event or action that has no decoder or that cannot be encoded
// as JSON.
func Encode(s Step) (recorder.Record, error) {
	r := recorder.Record{Number: s.Number, Time: s.Time}
	var content any = s.Event
	if e, ok := s.Event.(router.RequestArrived); ok {
		content = request{RequestArrived: e, Body: e.Body}
	}
	var err error
	if r.Kind, r.Event, err = encode(s.Event, content, eventDecoders); err != nil {
		return recorder.Record{}, err
	}
	for _, a := range s.Actions {
		var out recorder.Action
		if out.Kind, out.Action, err = encode(a, a, actionDecoders); err != nil {
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
		return "", nil, eris.Errorf("type %T is not an event or action of the trace", value)
	}
	data, err := json.Marshal(content)
	if err != nil {
		return "", nil, eris.Wrapf(err, "encode %s", kind)
	}
	return kind, data, nil
}

// Decode returns the step of a record. It returns an error for an unknown kind, an unknown field or a value of a wrong type.
func Decode(r recorder.Record) (Step, error) {
	s := Step{Number: r.Number, Time: r.Time}
	f, ok := eventDecoders[r.Kind]
	if !ok {
		return Step{}, eris.Errorf("record %d: unknown event %q", r.Number, r.Kind)
	}
	var err error
	if s.Event, err = f(r.Event); err != nil {
		return Step{}, eris.Wrapf(err, "record %d: event %s", r.Number, r.Kind)
	}
	for _, a := range r.Actions {
		f, ok := actionDecoders[a.Kind]
		if !ok {
			return Step{}, eris.Errorf("record %d: unknown action %q", r.Number, a.Kind)
		}
		action, err := f(a.Action)
		if err != nil {
			return Step{}, eris.Wrapf(err, "record %d: action %s", r.Number, a.Kind)
		}
		s.Actions = append(s.Actions, action)
	}
	return s, nil
}
