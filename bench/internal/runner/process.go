package runner

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Timeouts for the start and stop of a process.
const (
	readyTimeout      = 30 * time.Second
	readyPollInterval = 50 * time.Millisecond
	stopTimeout       = 10 * time.Second
)

// process is a started program. Its output goes to a log file.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	exit chan error
}

// startProcess starts a program from the directory bin with a log file in directory.
func startProcess(bin, directory, name, program string, arguments ...string) (*process, error) {
	log, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "start "+name)
	}
	p := &process{name: name, log: log, cmd: exec.Command(filepath.Join(bin, program), arguments...), exit: make(chan error, 1)}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return nil, eris.Wrap(err, "start "+name)
	}
	go func() { p.exit <- p.cmd.Wait() }()
	return p, nil
}

// waitReady waits until a URL answers with HTTP status 200. It returns an error when the process exits or is not ready in time.
func (p *process) waitReady(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		answered := isReady(ctx, url)
		select {
		case err := <-p.exit:
			p.exit <- err
			return eris.Errorf("%s exited before it was ready: %v; see %s", p.name, err, p.log.Name())
		default:
		}
		if answered {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("%s was not ready within %v; see %s", p.name, readyTimeout, p.log.Name())
		case <-time.After(readyPollInterval):
		}
	}
}

// isReady reports whether a URL answers with HTTP status 200.
func isReady(ctx context.Context, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// stop sends SIGTERM to the process and kills it if it has not exited after stopTimeout. It returns an error if the exit code is
// not 0 or the process was killed.
func (p *process) stop() error {
	defer func() { _ = p.log.Close() }()
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // the process may have exited already
	select {
	case err := <-p.exit:
		return eris.Wrapf(err, "%s exited with an error; see %s", p.name, p.log.Name())
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.exit
		return eris.Errorf("%s did not stop within %v and was killed; see %s", p.name, stopTimeout, p.log.Name())
	}
}
