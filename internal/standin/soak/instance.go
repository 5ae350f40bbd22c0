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

// faultyRoute is a path through a relay, with the time until which its faults may
// still show.
type faultyRoute struct {
	relay *relay.Relay
	mu    sync.Mutex
	until time.Time
}

func openRoute(upstream string) (*faultyRoute, error) {
	r, err := relay.Start(relay.Settings{Listen: "127.0.0.1:0", Control: "127.0.0.1:0", Upstream: upstream})
	if err != nil {
		return nil, fmt.Errorf("start a relay: %w", err)
	}
	return &faultyRoute{relay: r}, nil
}

// impair applies a fault for a time, and heals it afterwards.
func (r *faultyRoute) impair(setting relay.Setting, length time.Duration) {
	r.mu.Lock()
	r.until = later(r.until, time.Now().Add(length))
	r.mu.Unlock()
	_ = r.relay.Set(setting)
	pause(length)
	_ = r.relay.Set(relay.Setting{Mode: relay.ModePass})
}

// impaired tells whether a fault was there since the given time.
func (r *faultyRoute) impaired(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.until.After(since)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// instance is one machine with an entry instance: the real program, in a process
// of its own.
type instance struct {
	name, zone, ip string
	callers        string // where callers connect
	ready          string // where the platform asks whether it is ready
	directory      string
	settings       string // path of the settings file
	log            string // path of its output
	program        string
	store          *faultyRoute

	mu             sync.Mutex
	process        *exec.Cmd
	ended          chan struct{}
	disturbedUntil time.Time // faults of the process show until then; planned stops are none
	changed        time.Time // when a process last began or ended
	crashes        []string  // ends that nobody asked for
	asked          bool      // the present process was told to end
}

func newInstance(number int, zone string, s *Settings, store string) (*instance, error) {
	route, err := openRoute(store)
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	i := &instance{
		name: fmt.Sprintf("entry-%d", number), zone: zone,
		ip:      fmt.Sprintf("127.%d.%d.%d", 1+pid/250%200, 1+pid%250, number),
		program: filepath.Join(s.Bin, "fulmarhoistd"), store: route,
	}
	i.settings, i.log = filepath.Join(s.Dir, i.name+".conf"), filepath.Join(s.Dir, i.name+".log")
	at := func(port int) string { return net.JoinHostPort(i.ip, strconv.Itoa(port)) }
	i.callers, i.ready, i.directory = at(firstPort), at(firstPort+1), at(firstPort+2)
	peers := strconv.Itoa(firstPort + 3)
	lines := []string{
		"self.node=" + i.name, "self.ip=" + i.ip, "self.zone=" + zone, "self.region=r", "self.limits.max_fds=4096",
		"network.listen.front=" + i.callers, "network.listen.ready=" + i.ready, "network.listen.directory=" + i.directory,
		"network.internal_ports=" + peers, "platform.platform.address=" + route.relay.Address(), "platform.platform.parts=12",
		"platform.platform.min_ttl_ms=1000", "terms.policy_params.grace_s=6", "terms.policy_params.ttl_max_s=5",
		"terms.policy_params.budget_ratio=0.2", "terms.policy_params.budget_extra=64",
		"terms.policy_params.warmup_overshoot=1.5", "terms.policy_params.warmup_slack=5",
	}
	if err := os.WriteFile(i.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, fmt.Errorf("write the settings of %s: %w", i.name, err)
	}
	return i, nil
}

// firstPort is the first port of an instance. It lies below the ports that the
// kernel gives to outgoing connections: one of these would keep an instance from
// starting again.
const firstPort = 20001

// start runs the program, unless it runs.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		return nil
	}
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", i.name, err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(i.program, "entry")
	cmd.Env = append(os.Environ(), "FULMARHOIST_CONFIG="+i.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	i.process, i.ended, i.asked = cmd, make(chan struct{}), false
	i.changed = time.Now()
	go i.watch(cmd, i.ended)
	return nil
}

// watch notes the end of a process, and whether anyone asked for it.
func (i *instance) watch(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.asked {
		i.crashes = append(i.crashes, fmt.Sprintf("%s ended by itself: %v", i.name, err))
	}
	i.process = nil
	i.changed = time.Now()
	close(ended)
}

// signal sends a signal to the process and notes the time until which its effect
// excuses the instance.
func (i *instance) signal(s syscall.Signal, effect time.Duration) (ended <-chan struct{}, sent bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return nil, false
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		i.asked = true
	}
	if s != syscall.SIGTERM {
		i.disturbedUntil = later(i.disturbedUntil, time.Now().Add(effect))
	}
	return i.ended, i.process.Process.Signal(s) == nil
}

// inTouch tells whether the instance ran undisturbed and reached the store for
// the given time before now.
func (i *instance) inTouch(now time.Time, span time.Duration) bool {
	i.mu.Lock()
	since := now.Add(-span)
	bounded := i.process != nil && !i.asked && i.disturbedUntil.Before(since) && i.changed.Before(since)
	i.mu.Unlock()
	return bounded && !i.store.impaired(since)
}

// undisturbed tells whether nothing but planned stops happened to the process
// since the given time.
func (i *instance) undisturbed(since time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.disturbedUntil.Before(since)
}

func (i *instance) kill() {
	if ended, sent := i.signal(syscall.SIGKILL, 0); sent {
		<-ended
	}
}
