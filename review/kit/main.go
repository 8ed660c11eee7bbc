// Command reviewkit plays the cases of the review against the processes of the system. The platform's store, the servers and the
// consumers are stand-ins after the users' pages.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// run is what all cases share.
type run struct {
	folder  string // temporary
	trouble bool
	start   time.Time
	mu      sync.Mutex
	record  *os.File
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// logf writes a line of the record.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.record, format, args...)
	fmt.Fprintln(r.record)
}

var cases = map[string]func(*run) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewkit CASE FOLDER")
		os.Exit(exitNoRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) (status int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	r := &run{folder: temporary, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	defer func() {
		if p := recover(); p != nil {
			r.logf("the case could not run: %v", p)
			status = exitNoRun
		}
		r.logf("exit %d", status)
		_ = record.Close()
		_ = os.Stdout.Sync()
		fmt.Println("exit", status)
	}()
	r.logf("case %s, trouble %v", name, r.trouble)
	return cases[name](r)
}

// manifest returns a manifest as the operator writes it.
func manifest(version int, routes []map[string]any, services ...string) map[string]any {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/health", "max-conns": 41, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
