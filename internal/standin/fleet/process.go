// Package fleet starts a whole deployment as separate processes on loopback:
// stand-ins of the platform, targets, and entry instances. Specs and the demo
// use it.
package fleet

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

// startTimeout bounds the time until a process says that it is ready. It is
// generous, because CI machines may be busy.
const startTimeout = 30 * time.Second

// Process is one started program.
type Process struct {
	Name string

	cmd   *exec.Cmd
	ended chan struct{}
	err   error // set before ended is closed
}

// StartError reports a program that did not start or did not become ready.
type StartError struct {
	Name string
	Err  error
}

func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Name, e.Err) }

func (e *StartError) Unwrap() error { return e.Err }

// NotReadyError reports a program that printed no ready line in time.
type NotReadyError struct{}

func (*NotReadyError) Error() string { return "no ready line" }

// StopError reports a program that did not end in time.
type StopError struct {
	Name string
	PID  int
}

func (e *StopError) Error() string { return fmt.Sprintf("%s (process %d) did not end", e.Name, e.PID) }

// start runs a program and decodes its first line of output into ready. Its
// standard error goes to a file in dir.
func start(name, dir, program string, args []string, ready any) (*Process, error) {
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

// Freeze stops the process where it is, as a paused machine would.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

func (p *Process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", p.Name, err)
	}
	return nil
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// HasEnded tells whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the process and returns its exit error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		return p.err
	case <-ctx.Done():
		return &StopError{p.Name, p.PID()}
	}
}
