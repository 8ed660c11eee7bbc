package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held = iota
	broken
	failed // the case could not run
)

// run is one run of a case.
type run struct {
	trouble bool
	fleet   fleet
	start   time.Time

	mu     sync.Mutex
	record []line
}

// line is a line of the record.
type line struct {
	at   time.Time
	text string
}

// note adds a line with the time of now to the record.
func (r *run) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

// noteAt adds a line with another time to the record.
func (r *run) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record = append(r.record, line{at, fmt.Sprintf(format, args...)})
}

// writeRecord writes the record in the order of time.
func (r *run) writeRecord(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.record, func(a, b line) int { return a.at.Compare(b.at) })
	var out strings.Builder
	for _, l := range r.record {
		_, _ = fmt.Fprintf(&out, "%8.3f %s\n", r.since(l.at), strings.TrimSpace(l.text)) // a builder takes every write
	}
	return os.WriteFile(path, []byte(out.String()), 0o644)
}

// since returns the time since the start of the run.
func (r *run) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// sleepUntil waits until a time after the start of the run.
func (r *run) sleepUntil(d time.Duration) { time.Sleep(time.Until(r.start.Add(d))) }

var cases = map[string]func(*run) (bool, error){}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit3 CASE")
		return failed
	}
	folder, err := os.MkdirTemp("", "kit3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("logs are kept in", folder)
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", fleet: fleet{binary: os.Getenv("GATEWAY"), folder: folder}, start: time.Now()}
	r.note("case %s, trouble: %v", os.Args[1], r.trouble)
	defer r.fleet.stop()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		r.fleet.stop()
		os.Exit(failed)
	}()
	defer func() {
		if err := r.writeRecord(os.Getenv("RECORD")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = failed
		}
	}()
	ok, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return failed
	case ok:
		r.note("the rule held")
		fmt.Println("the rule held")
		return held
	default:
		r.note("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
}
