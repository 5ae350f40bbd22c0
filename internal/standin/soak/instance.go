package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fulmarhoist.example/internal/standin/relay"
)

// networkPath is a network path through a relay that can inject faults.
type networkPath struct {
	relay      *relay.Relay
	mu         sync.Mutex
	faultUntil time.Time // end of the last fault
}

// openPath starts a relay to the upstream address.
func openPath(upstream string) (*networkPath, error) {
	r, err := relay.Start(relay.Settings{Listen: "127.0.0.1:0", Control: "127.0.0.1:0", Upstream: upstream})
	if err != nil {
		return nil, fmt.Errorf("start a relay to %s: %w", upstream, err)
	}
	return &networkPath{relay: r}, nil
}

// impair applies a fault for the given duration and then removes it.
func (p *networkPath) impair(behavior relay.Behavior, duration time.Duration) {
	p.mu.Lock()
	p.faultUntil = later(p.faultUntil, time.Now().Add(duration))
	p.mu.Unlock()
	_ = p.relay.SetBehavior(behavior)
	sleep(duration)
	_ = p.relay.SetBehavior(relay.Behavior{Mode: relay.ModePass})
}

// impairedSince reports whether the path had a fault after the given time.
func (p *networkPath) impairedSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultUntil.After(since)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// instance is a simulated machine, with a loopback address of its own, that runs
// the real entry program as a separate process.
type instance struct {
	name, zone, ip   string
	callerAddress    string       // listener for requests of callers
	readyAddress     string       // listener for readiness checks of the platform
	directoryAddress string       // listener for directory requests of callers
	settingsFile     string       // path of the settings file
	logFile          string       // path of the file with standard output and error
	program          string       // path of the executable
	storePath        *networkPath // from the instance to the store

	mu               sync.Mutex
	process          *exec.Cmd     // nil while none runs
	ended            chan struct{} // closed when the process has ended
	faultUntil       time.Time     // effects of process faults are expected until then; a planned stop is no fault
	lastTransitionAt time.Time     // when a process last started or ended
	crashes          []string      // exits without a stop request
	stopRequested    bool          // the current process was told to end
}

// newInstance writes the settings of an instance; start runs it.
func newInstance(number int, zone string, s *Settings, store string) (*instance, error) {
	path, err := openPath(store)
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	i := &instance{
		name: fmt.Sprintf("entry-%d", number), zone: zone,
		ip:      fmt.Sprintf("127.%d.%d.%d", 1+pid/250%200, 1+pid%250, number),
		program: filepath.Join(s.Bin, "fulmarhoistd"), storePath: path,
	}
	i.settingsFile, i.logFile = filepath.Join(s.Dir, i.name+".conf"), filepath.Join(s.Dir, i.name+".log")
	at := func(port int) string { return net.JoinHostPort(i.ip, strconv.Itoa(port)) }
	i.callerAddress, i.readyAddress, i.directoryAddress = at(basePort), at(basePort+1), at(basePort+2)
	peers := strconv.Itoa(basePort+3) + "," + strconv.Itoa(basePort+4)
	lines := []string{
		"self.node=" + i.name, "self.ip=" + i.ip, "self.zone=" + zone, "self.region=r", "self.limits.max_fds=4096",
		"network.listen.front=" + i.callerAddress, "network.listen.ready=" + i.readyAddress, "network.listen.directory=" + i.directoryAddress,
		"network.internal_ports=" + peers, "platform.platform.address=" + path.relay.Address(), "platform.platform.parts=12",
		"platform.platform.min_ttl_ms=1000", "terms.policy_params.grace_s=6", "terms.policy_params.ttl_max_s=5",
		"terms.policy_params.budget_ratio=0.2", "terms.policy_params.budget_extra=64",
		"terms.policy_params.warmup_overshoot=1.5", "terms.policy_params.warmup_slack=5",
	}
	if err := os.WriteFile(i.settingsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, fmt.Errorf("write the settings of %s: %w", i.name, err)
	}
	return i, nil
}

// basePort is the first of the five ports of an instance. It lies below the
// ephemeral port range: an outgoing connection that holds the port would keep an
// instance from listening again after a restart.
const basePort = 20001

// start starts the process unless one is running.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		return nil
	}
	out, err := os.OpenFile(i.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", i.name, err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(i.program, "entry")
	cmd.Env = append(os.Environ(), "FULMARHOIST_CONFIG="+i.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	i.process, i.ended, i.stopRequested = cmd, make(chan struct{}), false
	i.lastTransitionAt = time.Now()
	go i.awaitExit(cmd, i.ended)
	return nil
}

// awaitExit waits for the process to exit and records a crash if nobody asked it
// to stop.
func (i *instance) awaitExit(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.stopRequested {
		i.crashes = append(i.crashes, fmt.Sprintf("%s exited without a stop request: %v", i.name, err))
	}
	i.process = nil
	i.lastTransitionAt = time.Now()
	close(ended)
}

// signal sends a signal to the process. Any signal but SIGTERM counts as a
// fault that affects the instance for faultDuration. sent is false if no
// process runs or the signal could not be sent.
func (i *instance) signal(s syscall.Signal, faultDuration time.Duration) (ended <-chan struct{}, sent bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return nil, false
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		i.stopRequested = true
	}
	if s != syscall.SIGTERM {
		i.faultUntil = later(i.faultUntil, time.Now().Add(faultDuration))
	}
	return i.ended, i.process.Process.Signal(s) == nil
}

// healthyFor reports whether the instance was running and reached the store,
// both without a fault or stop request, for the given time before now.
func (i *instance) healthyFor(now time.Time, span time.Duration) bool {
	i.mu.Lock()
	since := now.Add(-span)
	healthy := i.process != nil && !i.stopRequested && i.faultUntil.Before(since) && i.lastTransitionAt.Before(since)
	i.mu.Unlock()
	return healthy && !i.storePath.impairedSince(since)
}

// undisturbedSince reports whether no fault affected the process after the given
// time. Planned stops are no faults.
func (i *instance) undisturbedSince(since time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faultUntil.Before(since)
}

// runningSince reports whether the process has run without a restart or a freeze
// since the given time.
func (i *instance) runningSince(since time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process != nil && i.faultUntil.Before(since) && i.lastTransitionAt.Before(since)
}

// kill kills the process, if one runs, and waits until it has ended.
func (i *instance) kill() {
	if ended, sent := i.signal(syscall.SIGKILL, 0); sent {
		<-ended
	}
}
