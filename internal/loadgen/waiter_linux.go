package loadgen

import (
	"context"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// KernelWaiter waits on a kernel timer (timerfd). When the process is idle, the
// Go runtime waits for its own timers in whole milliseconds, which is more than
// the latencies that are measured. A KernelWaiter is not safe for concurrent
// use.
type KernelWaiter struct {
	file *os.File
}

// NewKernelWaiter returns a waiter with a kernel timer of its own.
func NewKernelWaiter() (*KernelWaiter, error) {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("creating a kernel timer: %w", err)
	}
	return &KernelWaiter{file: os.NewFile(uintptr(fd), "timerfd")}, nil
}

// Wait blocks the goroutine in the network poller of the runtime until the timer
// fires. After ctx has ended during a Wait, the waiter cannot be used again.
func (w *KernelWaiter) Wait(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("waiting: %w", err)
	}
	setting := unix.ItimerSpec{Value: unix.NsecToTimespec(max(1, d.Nanoseconds()))}
	if err := w.setTimer(&setting); err != nil {
		return fmt.Errorf("setting a kernel timer: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = w.file.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	var expirations [8]byte
	if _, err := w.file.Read(expirations[:]); err != nil {
		return fmt.Errorf("waiting for a kernel timer: %w", err)
	}
	return nil
}

// setTimer sets the timer. It keeps the file descriptor open during the call.
func (w *KernelWaiter) setTimer(setting *unix.ItimerSpec) error {
	raw, err := w.file.SyscallConn()
	if err != nil {
		return err
	}
	var settimeErr error
	err = raw.Control(func(fd uintptr) { settimeErr = unix.TimerfdSettime(int(fd), 0, setting, nil) })
	if err != nil {
		return err
	}
	return settimeErr
}

// Close closes the timer.
func (w *KernelWaiter) Close() {
	_ = w.file.Close()
}
