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

// Times of starting and stopping a process.
const (
	readyTimeout = 30 * time.Second
	readyPoll    = 50 * time.Millisecond
	stopTimeout  = 10 * time.Second
)

// process is a started program. Its output goes to a file.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan error
}

// startProcess starts a program of the directory bin.
func startProcess(bin, directory, name, program string, arguments ...string) (*process, error) {
	log, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "start "+name)
	}
	p := &process{name: name, log: log, cmd: exec.Command(filepath.Join(bin, program), arguments...), done: make(chan error, 1)}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return nil, eris.Wrap(err, "start "+name)
	}
	go func() { p.done <- p.cmd.Wait() }()
	return p, nil
}

// ready waits until a URL answers with HTTP status 200.
func (p *process) ready(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		answered := probe(ctx, url)
		select {
		case err := <-p.done:
			p.done <- err
			return eris.Errorf("%s ended before it was ready: %v; see %s", p.name, err, p.log.Name())
		default:
		}
		if answered {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("%s was not ready within %v; see %s", p.name, readyTimeout, p.log.Name())
		case <-time.After(readyPoll):
		}
	}
}

func probe(ctx context.Context, url string) bool {
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

// stop asks the process to end by its id, and kills it when it does not. It returns an error for an exit code other than 0.
func (p *process) stop() error {
	defer func() { _ = p.log.Close() }()
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case err := <-p.done:
		return eris.Wrapf(err, "%s; see %s", p.name, p.log.Name())
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.done
		return eris.Errorf("%s did not stop within %v and was killed; see %s", p.name, stopTimeout, p.log.Name())
	}
}
