package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
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
	record *bufio.Writer
}

// note writes a line with the time since the start to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// noteAt writes a line with another time to the record.
func (r *run) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the time since the start of the run.
func (r *run) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// sleepUntil waits until a time after the start of the run.
func (r *run) sleepUntil(d time.Duration) { time.Sleep(time.Until(r.start.Add(d))) }

var cases = map[string]func(*run) (bool, error){}

func main() { os.Exit(play()) }

func play() int {
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
	f, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", fleet: fleet{binary: os.Getenv("GATEWAY"), folder: folder}, start: time.Now(), record: bufio.NewWriter(f)}
	defer func() {
		_ = r.record.Flush()
		_ = f.Close()
	}()
	r.note("case %s, trouble: %v", os.Args[1], r.trouble)
	defer r.fleet.stop()
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
