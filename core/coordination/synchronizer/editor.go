package synchronizer

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/core/state/tabler"
)

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict is the result of an edit.
type Verdict int

// The results of an edit. Only Unknown leaves open whether the edit took or will take effect.
const (
	Unknown     Verdict = iota // unknown
	Accepted                   // accepted
	Conflicting                // conflict
	Invalid                    // invalid
	Unavailable                // unavailable
)

// Times of an Editor.
const (
	DefaultEditLimit = 10 * time.Second
)

// Editor carries out one edit of one service's value: it reads the value, applies the changes, validates the result and
// writes it by compare-and-swap. The exported fields are set before the first Step, which starts it.
type Editor struct {
	Edit        tabler.Edit     // its id identifies the edit in the value and is unique
	Service     string          // a service or tabler.FleetService
	Changes     []tabler.Change // of this service
	Base        *tabler.Value   // the value that the operator saw; nil takes the first one that is read
	TimeLimit   time.Duration   // for the whole edit; 0 takes DefaultEditLimit
	CallTimeout time.Duration   // of a platform call; 0 takes DefaultTimeout
	Random      *rand.Rand

	mine     *tabler.Value // Base with the changes
	started  time.Time
	last     CallID
	pending  CallID // call in progress, or 0
	writing  bool   // the call in progress is a write
	deadline time.Time
	next     time.Time // earliest next read
	failures int
	doubt    *tabler.Value // value that the latest uncertain write expected, or nil
	value    *tabler.Value // value that the write in progress expects
	finished bool
}

// EditEvent is something that happened outside an Editor.
type EditEvent interface{ isEditEvent() }

// EditTicked lets the editor check its time limits. It arrives at least every TickInterval; the first one starts the edit.
type EditTicked struct{}

// ValueRead answers ReadValue. A key that does not exist has revision 0.
type ValueRead struct {
	Call CallID
	Item StoredValue
}

// ReadFailed tells that a ReadValue got no answer.
type ReadFailed struct{ Call CallID }

// WriteDone tells that a WriteValue took effect.
type WriteDone struct {
	Call     CallID
	Revision uint64
}

// WriteConflicted tells that a WriteValue met another revision and had no effect.
type WriteConflicted struct{ Call CallID }

// WriteUncertain tells that a WriteValue got no answer, so that it may have taken effect or do so later.
type WriteUncertain struct{ Call CallID }

func (EditTicked) isEditEvent()      {}
func (ValueRead) isEditEvent()       {}
func (ReadFailed) isEditEvent()      {}
func (WriteDone) isEditEvent()       {}
func (WriteConflicted) isEditEvent() {}
func (WriteUncertain) isEditEvent()  {}

// EditAction is something that the caller of an Editor does for it.
type EditAction interface{ isEditAction() }

// ReadValue reads the key of a service.
type ReadValue struct {
	Call    CallID
	Service string
}

// WriteValue writes the key of a service if it has the expected revision.
type WriteValue struct {
	Call    CallID
	Service string
	Data    []byte
	Expect  uint64
}

// EditFinished ends the edit. Revision is set when the editor knows the one that holds the edit. Conflicts holds both versions
// of each row that another operator edited. Err says what is wrong with an invalid edit or its surroundings.
type EditFinished struct {
	Verdict   Verdict
	Revision  uint64
	Conflicts []tabler.Conflict
	Err       error
}

func (ReadValue) isEditAction()    {}
func (WriteValue) isEditAction()   {}
func (EditFinished) isEditAction() {}

// Step handles one event.
func (d *Editor) Step(now time.Time, ev EditEvent) []EditAction {
	if d.finished {
		return nil
	}
	if d.started.IsZero() {
		d.started, d.next = now, now
	}
	switch e := ev.(type) {
	case EditTicked:
	case ValueRead:
		// A late answer to an earlier read counts too, so that a slow platform does not prevent every edit: what it tells
		// was true after that read, and a write that expects an old revision has no effect.
		if d.pending == 0 || !d.writing {
			d.pending, d.failures = 0, 0
			return d.consider(now, e.Item)
		}
	case ReadFailed:
		d.fail(now, e.Call, false)
	case WriteDone:
		// Any write of this edit proves it, also one that was given up before.
		return d.finish(EditFinished{Verdict: Accepted, Revision: e.Revision})
	case WriteConflicted:
		if e.Call == d.pending && d.writing {
			d.pending, d.next = 0, now
		}
	case WriteUncertain:
		d.fail(now, e.Call, true)
	}
	return d.proceed(now)
}

// fail ends a call without an answer.
func (d *Editor) fail(now time.Time, id CallID, write bool) {
	if id != d.pending || write != d.writing {
		return
	}
	if d.writing {
		d.doubt = d.value
	}
	d.pending = 0
	d.failures++
	d.next = now.Add(spacing(d.failures, d.Random))
}

// proceed checks the time limits and starts a read when one is due.
func (d *Editor) proceed(now time.Time) []EditAction {
	if d.pending != 0 && now.After(d.deadline) {
		d.fail(now, d.pending, d.writing)
	}
	if d.expired(now) {
		if d.pending != 0 && d.writing || d.doubt != nil {
			return d.finish(EditFinished{Verdict: Unknown, Err: eris.New("the platform did not confirm the write in time")})
		}
		return d.finish(EditFinished{Verdict: Unavailable, Err: eris.New("the platform did not answer in time; nothing was written")})
	}
	if d.pending != 0 || now.Before(d.next) {
		return nil
	}
	id := d.call(now, false)
	return []EditAction{ReadValue{id, d.Service}}
}

func (d *Editor) expired(now time.Time) bool {
	return now.Sub(d.started) >= cmp.Or(d.TimeLimit, DefaultEditLimit)
}

func (d *Editor) call(now time.Time, write bool) CallID {
	d.last++
	d.pending, d.writing, d.deadline = d.last, write, now.Add(cmp.Or(d.CallTimeout, DefaultTimeout))
	return d.last
}

// consider decides what a value that was just read means for the edit.
func (d *Editor) consider(now time.Time, item StoredValue) []EditAction {
	theirs := tabler.NewValue(d.Service)
	if item.Revision > 0 && !item.Deleted {
		v, err := tabler.Decode(d.Service, item.Revision, item.Data)
		if err != nil {
			return d.finish(EditFinished{Verdict: d.without(nil), Err: eris.Wrap(err, "the stored value is not valid")})
		}
		theirs = v
	}
	if !item.Deleted {
		theirs.Revision = item.Revision
	}
	if theirs.HasEdit(d.Edit.ID) {
		return d.finish(EditFinished{Verdict: Accepted, Revision: theirs.Revision})
	}
	if d.doubt != nil && theirs.Revision < d.doubt.Revision {
		return d.proceed(now) // read before the uncertain write
	}
	if d.doubt != nil && !remembers(d.doubt, theirs) {
		return d.finish(EditFinished{Verdict: Unknown, Err: eris.New("the value's list of edits no longer reaches back to the write")})
	}
	if d.doubt != nil && theirs.Revision != d.doubt.Revision {
		// The uncertain write expected a revision that is gone, and the list of edits does not have it: it had no effect.
		d.doubt = nil
	}
	if err := d.prepare(theirs); err != nil {
		return d.finish(EditFinished{Verdict: d.without(theirs), Err: err})
	}
	merged, conflicts := tabler.Merge(d.Base, d.mine, theirs)
	if len(conflicts) > 0 {
		return d.finish(EditFinished{Verdict: Conflicting, Conflicts: conflicts})
	}
	data, err := tabler.Encode(merged.WithEdit(d.Edit))
	if err != nil {
		return d.finish(EditFinished{Verdict: d.without(theirs), Err: err})
	}
	if d.expired(now) {
		// The operator no longer waits, for example after a pause of this VM.
		return d.proceed(now)
	}
	d.value = theirs
	id := d.call(now, true)
	return []EditAction{WriteValue{id, d.Service, data, theirs.Revision}}
}

// prepare applies the changes to the base once.
func (d *Editor) prepare(first *tabler.Value) error {
	if d.mine != nil {
		return nil
	}
	if d.Base == nil {
		d.Base = first
	}
	if d.Edit.ID == "" {
		return errors.New("an edit needs an id")
	}
	mine, err := d.Base.ApplyChanges(d.Changes)
	d.mine = mine
	return err
}

// without returns the verdict of an edit that cannot be written: an uncertain write may still take effect.
func (d *Editor) without(theirs *tabler.Value) Verdict {
	if d.doubt != nil && (theirs == nil || theirs.Revision == d.doubt.Revision) {
		return Unknown
	}
	return Invalid
}

// remembers reports whether the list of edits of now reaches back to the value that a write expected, so that the write
// would be in the list if it had taken effect.
func remembers(expected, now *tabler.Value) bool {
	if len(expected.Edits) == 0 {
		return len(now.Edits) < tabler.MaxEdits
	}
	last := expected.Edits[len(expected.Edits)-1].ID
	return slices.ContainsFunc(now.Edits, func(e tabler.Edit) bool { return e.ID == last })
}

func (d *Editor) finish(f EditFinished) []EditAction {
	d.finished = true
	return []EditAction{f}
}
