// Package testcluster starts a complete deployment as separate processes on
// loopback: stand-ins of the platform, targets, and entry instances.
package testcluster

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// startTimeout is the time within which a process must report that it is ready.
// It is generous because CI machines may be busy.
const startTimeout = 30 * time.Second

// Process is a running or ended program.
type Process struct {
	Name string

	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended
	err   error         // exit error; set before ended is closed
}

// StartError reports a program that did not start or did not become ready.
type StartError struct {
	Name string
	Err  error
}

func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Name, e.Err) }

func (e *StartError) Unwrap() error { return e.Err }

// NotReadyError reports a program that ended or timed out before it printed its
// ready line.
type NotReadyError struct{}

func (*NotReadyError) Error() string {
	return fmt.Sprintf("process ended or %v passed before it printed its ready line", startTimeout)
}

// StopError reports a process that had not ended when the wait for it was over.
type StopError struct {
	Name string
	PID  int
}

func (e *StopError) Error() string { return fmt.Sprintf("%s (process %d) did not end", e.Name, e.PID) }

// startProcess starts a program and decodes the JSON of its first line of output
// into ready. Its standard error is appended to a log file in dir.
func startProcess(name, dir, program string, args []string, ready any) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, &StartError{name, err}
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stderr = logFile
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, &StartError{name, err}
	}
	if err := cmd.Start(); err != nil {
		return nil, &StartError{name, err}
	}
	p := &Process{Name: name, cmd: cmd, ended: make(chan struct{})}
	line := make(chan []byte, 1)
	go func() {
		scanner := bufio.NewScanner(output)
		if scanner.Scan() {
			line <- append([]byte(nil), scanner.Bytes()...)
		}
		for scanner.Scan() {
		}
		p.err = cmd.Wait()
		close(p.ended)
	}()
	select {
	case data := <-line:
		err = json.Unmarshal(data, ready)
	case <-p.ended:
		err = &NotReadyError{}
	case <-time.After(startTimeout):
		err = &NotReadyError{}
	}
	if err != nil {
		p.Kill()
		return nil, &StartError{name, err}
	}
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Suspend suspends the process with SIGSTOP, as a paused machine would.
func (p *Process) Suspend() error { return p.signal(syscall.SIGSTOP) }

// Resume resumes a suspended process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully with SIGTERM.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

func (p *Process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("send %v to %s: %w", s, p.Name, err)
	}
	return nil
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.ended }

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Wait waits until the process has ended and returns its exit error. It returns
// a StopError if the context ends first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		return p.err
	case <-ctx.Done():
		return &StopError{p.Name, p.PID()}
	}
}
