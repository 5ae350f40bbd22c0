package loadgen

import (
	"context"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// KernelWaiter waits on a timer of the kernel. The runtime hands its own timers
// to the kernel in whole milliseconds when the process is idle, which is more
// than the latency that the load tool has to measure. It is used by one
// goroutine at a time.
type KernelWaiter struct {
	file *os.File
}

// NewKernelWaiter opens a timer of the kernel.
func NewKernelWaiter() (*KernelWaiter, error) {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("opening a kernel timer: %w", err)
	}
	return &KernelWaiter{file: os.NewFile(uintptr(fd), "timerfd")}, nil
}

// Wait blocks the goroutine in the runtime's poller until the timer fires.
func (w *KernelWaiter) Wait(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("waiting: %w", err)
	}
	setting := unix.ItimerSpec{Value: unix.NsecToTimespec(max(1, d.Nanoseconds()))}
	if err := w.set(&setting); err != nil {
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

// set holds the descriptor open during the call.
func (w *KernelWaiter) set(setting *unix.ItimerSpec) error {
	raw, err := w.file.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) { failure = unix.TimerfdSettime(int(fd), 0, setting, nil) })
	if err != nil {
		return err
	}
	return failure
}

// Close releases the timer.
func (w *KernelWaiter) Close() {
	_ = w.file.Close()
}
