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

// Defaults of an Editor.
const (
	DefaultEditTimeLimit = 10 * time.Second
)

// Editor performs one edit of one service's value: it reads the value, applies the changes, validates the result and writes it by
// compare-and-swap. The exported fields are set before the first Step, which starts the edit.
type Editor struct {
	Edit        tabler.Edit     // its unique ID identifies the edit in the value
	Service     string          // a service or tabler.FleetService
	Changes     []tabler.Change // of this service
	Base        *tabler.Value   // the value that the operator saw; nil takes the first value read
	TimeLimit   time.Duration   // for the whole edit; 0 takes DefaultEditTimeLimit
	CallTimeout time.Duration   // of a platform call; 0 takes DefaultCallTimeout
	Random      *rand.Rand

	mine          *tabler.Value // Base with the changes
	startedAt     time.Time
	lastCall      CallID
	pendingCall   CallID // call in progress, or 0
	isWriting     bool   // the call in progress is a write
	callDeadline  time.Time
	nextRead      time.Time // earliest next read
	failures      int
	uncertainBase *tabler.Value // value that the latest uncertain write expected, or nil
	writeBase     *tabler.Value // value that the write in progress expects
	isFinished    bool
}

// EditEvent is an input of Editor.Step.
type EditEvent interface{ isEditEvent() }

// EditTicked makes the editor check its time limits. It arrives at least every TickInterval; the first one starts the edit.
type EditTicked struct{}

// ValueRead answers ReadValue. The revision of a key that does not exist is 0.
type ValueRead struct {
	Call CallID
	Item StoredValue
}

// ReadFailed reports that a ReadValue got no answer.
type ReadFailed struct{ Call CallID }

// WriteDone reports that a WriteValue took effect.
type WriteDone struct {
	Call     CallID
	Revision uint64
}

// WriteConflicted reports that a WriteValue had no effect because the key had another revision.
type WriteConflicted struct{ Call CallID }

// WriteUncertain reports that a WriteValue got no answer, so it may have taken effect or may still do so.
type WriteUncertain struct{ Call CallID }

func (EditTicked) isEditEvent()      {}
func (ValueRead) isEditEvent()       {}
func (ReadFailed) isEditEvent()      {}
func (WriteDone) isEditEvent()       {}
func (WriteConflicted) isEditEvent() {}
func (WriteUncertain) isEditEvent()  {}

// EditAction is an operation that the caller of Editor.Step performs.
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

// EditFinished ends the edit. Revision is the revision that holds the edit, if known. Conflicts holds both versions of each row that
// another operator edited. Err says why the edit is invalid or its result is not known.
type EditFinished struct {
	Verdict   Verdict
	Revision  uint64
	Conflicts []tabler.Conflict
	Err       error
}

func (ReadValue) isEditAction()    {}
func (WriteValue) isEditAction()   {}
func (EditFinished) isEditAction() {}

// Step handles one event and returns the actions to perform, in order.
func (d *Editor) Step(now time.Time, ev EditEvent) []EditAction {
	if d.isFinished {
		return nil
	}
	if d.startedAt.IsZero() {
		d.startedAt, d.nextRead = now, now
	}
	switch e := ev.(type) {
	case EditTicked:
	case ValueRead:
		// A late answer to an earlier read is used too, so that edits succeed on a slow platform. This is safe because the key
		// had this value after that read was sent, and a write that expects an old revision has no effect.
		if d.pendingCall == 0 || !d.isWriting {
			d.pendingCall, d.failures = 0, 0
			return d.handleValue(now, e.Item)
		}
	case ReadFailed:
		d.callFailed(now, e.Call, false)
	case WriteDone:
		// Any write of this edit proves that it took effect, even one that had timed out.
		return d.finishEdit(EditFinished{Verdict: Accepted, Revision: e.Revision})
	case WriteConflicted:
		if e.Call == d.pendingCall && d.isWriting {
			d.pendingCall, d.nextRead = 0, now
		}
	case WriteUncertain:
		d.callFailed(now, e.Call, true)
	}
	return d.startReadIfDue(now)
}

// callFailed ends a call without an answer. A write is uncertain from then on.
func (d *Editor) callFailed(now time.Time, id CallID, isWrite bool) {
	if id != d.pendingCall || isWrite != d.isWriting {
		return
	}
	if d.isWriting {
		d.uncertainBase = d.writeBase
	}
	d.pendingCall = 0
	d.failures++
	d.nextRead = now.Add(retryDelay(d.failures, d.Random))
}

// startReadIfDue checks the time limits of the call and of the edit, and starts a read if one is due.
func (d *Editor) startReadIfDue(now time.Time) []EditAction {
	if d.pendingCall != 0 && now.After(d.callDeadline) {
		d.callFailed(now, d.pendingCall, d.isWriting)
	}
	if d.isExpired(now) {
		if d.pendingCall != 0 && d.isWriting || d.uncertainBase != nil {
			return d.finishEdit(EditFinished{Verdict: Unknown, Err: eris.New("the platform did not confirm the write in time")})
		}
		return d.finishEdit(EditFinished{Verdict: Unavailable, Err: eris.New("the platform did not answer in time; nothing was written")})
	}
	if d.pendingCall != 0 || now.Before(d.nextRead) {
		return nil
	}
	id := d.startCall(now, false)
	return []EditAction{ReadValue{id, d.Service}}
}

func (d *Editor) isExpired(now time.Time) bool {
	return now.Sub(d.startedAt) >= cmp.Or(d.TimeLimit, DefaultEditTimeLimit)
}

func (d *Editor) startCall(now time.Time, isWrite bool) CallID {
	d.lastCall++
	d.pendingCall, d.isWriting, d.callDeadline = d.lastCall, isWrite, now.Add(cmp.Or(d.CallTimeout, DefaultCallTimeout))
	return d.lastCall
}

// handleValue decides how to go on after a read of the value: finish the edit, write it or read again.
func (d *Editor) handleValue(now time.Time, item StoredValue) []EditAction {
	theirs := tabler.NewValue(d.Service)
	if item.Revision > 0 && !item.Deleted {
		v, err := tabler.Decode(d.Service, item.Revision, item.Data)
		if err != nil {
			return d.finishEdit(EditFinished{Verdict: d.failureVerdict(nil), Err: eris.Wrap(err, "the stored value is invalid")})
		}
		theirs = v
	}
	if !item.Deleted {
		theirs.Revision = item.Revision
	}
	if theirs.HasEdit(d.Edit.ID) {
		return d.finishEdit(EditFinished{Verdict: Accepted, Revision: theirs.Revision})
	}
	if d.uncertainBase != nil && theirs.Revision < d.uncertainBase.Revision {
		return d.startReadIfDue(now) // the value was read before the uncertain write
	}
	if d.uncertainBase != nil && !editListCovers(d.uncertainBase, theirs) {
		return d.finishEdit(EditFinished{Verdict: Unknown, Err: eris.New("the value's edit list no longer reaches back to the write")})
	}
	if d.uncertainBase != nil && theirs.Revision != d.uncertainBase.Revision {
		// The revision that the uncertain write expected is replaced, and the list of edits lacks this edit: it had no effect.
		d.uncertainBase = nil
	}
	if err := d.applyChanges(theirs); err != nil {
		return d.finishEdit(EditFinished{Verdict: d.failureVerdict(theirs), Err: err})
	}
	merged, conflicts := tabler.Merge(d.Base, d.mine, theirs)
	if len(conflicts) > 0 {
		return d.finishEdit(EditFinished{Verdict: Conflicting, Conflicts: conflicts})
	}
	data, err := tabler.Encode(merged.WithEdit(d.Edit))
	if err != nil {
		return d.finishEdit(EditFinished{Verdict: d.failureVerdict(theirs), Err: err})
	}
	if d.isExpired(now) {
		// The operator no longer waits, for example because this VM was paused.
		return d.startReadIfDue(now)
	}
	d.writeBase = theirs
	id := d.startCall(now, true)
	return []EditAction{WriteValue{id, d.Service, data, theirs.Revision}}
}

// applyChanges sets mine to the base with the changes, on the first call only. A nil base becomes the given value.
func (d *Editor) applyChanges(first *tabler.Value) error {
	if d.mine != nil {
		return nil
	}
	if d.Base == nil {
		d.Base = first
	}
	if d.Edit.ID == "" {
		return errors.New("the edit has no ID")
	}
	mine, err := d.Base.ApplyChanges(d.Changes)
	d.mine = mine
	return err
}

// failureVerdict returns the verdict of an edit that cannot be written. It is Unknown if an uncertain write may still take effect.
func (d *Editor) failureVerdict(theirs *tabler.Value) Verdict {
	if d.uncertainBase != nil && (theirs == nil || theirs.Revision == d.uncertainBase.Revision) {
		return Unknown
	}
	return Invalid
}

// editListCovers reports whether the edit list of the current value reaches back to the value that a write expected. If so, a
// write that took effect is in the list.
func editListCovers(expected, current *tabler.Value) bool {
	if len(expected.Edits) == 0 {
		return len(current.Edits) < tabler.MaxEdits
	}
	last := expected.Edits[len(expected.Edits)-1].ID
	return slices.ContainsFunc(current.Edits, func(e tabler.Edit) bool { return e.ID == last })
}

func (d *Editor) finishEdit(f EditFinished) []EditAction {
	d.isFinished = true
	return []EditAction{f}
}
