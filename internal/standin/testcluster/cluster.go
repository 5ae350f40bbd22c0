package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/backinghttp"
	"fulmarhoist.example/config"
	"fulmarhoist.example/configlog"
	"fulmarhoist.example/internal/standin/control"
	"fulmarhoist.example/internal/standin/instancelist"
	"fulmarhoist.example/service"
	"fulmarhoist.example/settings"
)

// Plan describes a deployment.
type Plan struct {
	// Bin is the directory with the programs fulmarhoistd and standin.
	Bin string
	// Dir is an existing directory for settings, logs and spans.
	Dir   string
	Zones []string
	// Instances is the number of entry instances, which are spread evenly over the
	// zones.
	Instances int
	// MaxInstances is the largest number of instances in the configuration; it
	// counts only if it exceeds Instances.
	MaxInstances int
	Services     []ServicePlan
	// Policy is the load-balancing policy; instances use their default if it is
	// empty.
	Policy service.PolicyName
	// DirectoryLifetime is how long callers may cache a directory response.
	DirectoryLifetime time.Duration
	// RecordSpans makes instances write their trace spans to files in Dir.
	RecordSpans bool
	// Relays lists, by instance id, the routes that pass through a relay.
	Relays map[string][]Route
}

// ServicePlan describes one service.
type ServicePlan struct {
	Name    string
	Classes []config.Class
	// Targets is the number of targets, which are spread evenly over the zones.
	Targets           int
	Slots             int           // concurrent requests per target
	Connections       int           // connection limit per target
	MeanServiceTime   time.Duration // mean service time
	ServiceTimeStdDev time.Duration // standard deviation of the service time
	ColdStart         config.ColdStart
	// LoadReportAge is the age of the load values that the load endpoints report.
	LoadReportAge time.Duration
	// Seed makes the service times reproducible; target n uses Seed+n, from 0.
	Seed uint64
}

// Target is a stand-in of a server in a process of its own.
type Target struct {
	*Process
	Name, Service, Zone, Address string
	Control                      *control.TargetClient
}

// Instance is an entry instance in a process of its own.
type Instance struct {
	*Process
	ID, Zone                   string
	CallerAddress, PeerAddress string // addresses for callers and for other instances
	SpansFile                  string // path of the spans file; empty if there is none
	Relays                     map[Route]*Relay
}

// Cluster is a running deployment.
type Cluster struct {
	Plan        Plan
	LogControl  *control.LogServiceClient
	ListControl *control.InstanceListClient
	Targets     []*Target
	Instances   []*Instance
	LogClient   backing.Log // of operators; bypasses the relays
	Publisher   *configlog.Publisher
	Config      *config.Configuration // published last

	logAddress, listAddress string
	processes               []*Process
}

// readyLine is the line that a program prints once it serves.
type readyLine struct {
	Address string `json:"address"`
	Control string `json:"control"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
}

// sharedKey is the key that all instances share.
const sharedKey = "stand-in shared key 0123456789"

// Start starts the platform, the targets and the instances, and publishes the
// first configuration. If it fails, it stops everything that it has started.
func Start(ctx context.Context, plan Plan) (*Cluster, error) {
	f := &Cluster{Plan: plan}
	if err := f.startAll(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Cluster) startAll(ctx context.Context) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	for _, s := range f.Plan.Services {
		for i := range s.Targets {
			if err := f.startTarget(ctx, s, i); err != nil {
				return err
			}
		}
	}
	f.Config = f.buildConfiguration()
	for range f.Plan.Instances {
		if _, err := f.AddInstance(ctx); err != nil {
			return err
		}
	}
	return f.Publish(ctx, f.Config)
}

// startProgram starts a program of the plan's directory, to be killed by Stop.
func (f *Cluster) startProgram(name, program string, args ...string) (*Process, readyLine, error) {
	var ready readyLine
	p, err := startProcess(name, f.Plan.Dir, filepath.Join(f.Plan.Bin, program), args, &ready)
	if err != nil {
		return nil, ready, err
	}
	f.processes = append(f.processes, p)
	return p, ready, nil
}

// startPlatform starts the log service and the instance list.
func (f *Cluster) startPlatform() error {
	_, log, err := f.startProgram("log", "standin", "log", "--appends-per-second", "300", "--append-burst", "20")
	if err != nil {
		return err
	}
	_, list, err := f.startProgram("list", "standin", "list", "--lag-ms", "300")
	if err != nil {
		return err
	}
	f.logAddress, f.listAddress = log.Address, list.Address
	f.LogControl, f.ListControl = control.NewLog(log.Control), control.NewList(list.Control)
	client, err := backinghttp.NewLogClient("http://"+log.Address, backinghttp.Settings{})
	if err != nil {
		return fmt.Errorf("create the client of the log service: %w", err)
	}
	f.LogClient = client
	f.Publisher = configlog.NewPublisher(client, configlog.Options{})
	return nil
}

// startTarget starts target i of a service and adds it to the instance list. The
// target is cold for 90% of the configured duration.
func (f *Cluster) startTarget(ctx context.Context, s ServicePlan, i int) error {
	t := &Target{
		Name: fmt.Sprintf("%s-%d", s.Name, i+1), Service: s.Name,
		Zone: f.Plan.Zones[i%len(f.Plan.Zones)],
	}
	p, ready, err := f.startProgram(t.Name, "standin", "target",
		"--service", s.Name, "--slots", fmt.Sprint(s.Slots), "--mean", s.MeanServiceTime.String(), "--spread", s.ServiceTimeStdDev.String(),
		"--seed", fmt.Sprint(s.Seed+uint64(i)), "--cold-for", (s.ColdStart.Duration() * 9 / 10).String(), "--cold-bears", fmt.Sprint(s.ColdStart.MaxConcurrent),
		"--load-lag", s.LoadReportAge.String())
	if err != nil {
		return err
	}
	t.Process, t.Address, t.Control = p, ready.Address, control.NewTarget(ready.Control)
	f.Targets = append(f.Targets, t)
	member := instancelist.Member{ID: t.Name, Kind: string(backing.KindTarget), Zone: t.Zone, Address: t.Address}
	if _, err := f.ListControl.Put(ctx, member); err != nil {
		return fmt.Errorf("add target %s to the instance list: %w", t.Name, err)
	}
	return nil
}

// AddInstance starts one more entry instance and adds it to the instance list.
func (f *Cluster) AddInstance(ctx context.Context) (*Instance, error) {
	number := len(f.Instances)
	i := &Instance{ID: fmt.Sprintf("entry-%d", number+1), Zone: f.Plan.Zones[number%len(f.Plan.Zones)]}
	f.Instances = append(f.Instances, i)
	return i, f.StartInstance(ctx, i)
}

// StartInstance starts the process of an instance, for the first time or after it
// has ended, and adds it to the instance list.
func (f *Cluster) StartInstance(ctx context.Context, i *Instance) error {
	path, err := f.writeSettings(i)
	if err != nil {
		return err
	}
	p, _, err := f.startProgram(i.ID, "fulmarhoistd", "--settings", path)
	if err != nil {
		return err
	}
	i.Process = p
	address := i.addressVia(RoutePeers, i.PeerAddress)
	member := instancelist.Member{ID: i.ID, Kind: string(backing.KindEntry), Zone: i.Zone, Address: address}
	if _, err := f.ListControl.Put(ctx, member); err != nil {
		return fmt.Errorf("add instance %s to the instance list: %w", i.ID, err)
	}
	return nil
}

// writeSettings writes the settings file of an instance and returns its path. It
// starts the relays of the instance, whose addresses are in the settings.
func (f *Cluster) writeSettings(i *Instance) (string, error) {
	if i.CallerAddress == "" {
		addresses, err := freeAddresses(2)
		if err != nil {
			return "", err
		}
		i.CallerAddress, i.PeerAddress = addresses[0], addresses[1]
	}
	if err := f.startRelays(i); err != nil {
		return "", err
	}
	traces := settings.Traces{Exporter: "off"}
	if f.Plan.RecordSpans {
		i.SpansFile = filepath.Join(f.Plan.Dir, i.ID+".spans")
		traces = settings.Traces{Exporter: "file", File: i.SpansFile}
	}
	document := map[string]any{
		"instance": i.ID, "zone": i.Zone,
		"callers":           settings.Endpoint{Listen: i.CallerAddress, Advertise: i.CallerAddress},
		"peers":             settings.Endpoint{Listen: i.PeerAddress, Advertise: i.addressVia(RoutePeers, i.PeerAddress)},
		"log_service_url":   "http://" + i.addressVia(RouteLog, f.logAddress),
		"instance_list_url": "http://" + i.addressVia(RouteList, f.listAddress),
		"shared_key":        map[string]string{"value": sharedKey},
		"traces":            traces,
		"log_level":         "info",
	}
	if f.Plan.Policy != "" {
		document["policy"] = f.Plan.Policy
	}
	data, err := json.Marshal(document)
	if err != nil {
		return "", fmt.Errorf("encode the settings of %s: %w", i.ID, err)
	}
	path := filepath.Join(f.Plan.Dir, i.ID+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", fmt.Errorf("write the settings of %s: %w", i.ID, err)
	}
	return path, nil
}

// freeAddresses returns loopback addresses on which no process listens.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free loopback port: %w", err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// buildConfiguration returns the configuration for the plan and its targets.
func (f *Cluster) buildConfiguration() *config.Configuration {
	c := &config.Configuration{
		Deployment:          "stand-ins",
		MaxInstances:        max(f.Plan.Instances, f.Plan.MaxInstances),
		DirectoryLifetimeMs: int(f.Plan.DirectoryLifetime.Milliseconds()),
		Measuring:           config.Measuring{ProbesPerSecond: 2},
	}
	for _, name := range f.Plan.Zones {
		c.Zones = append(c.Zones, config.Zone{Name: name, Region: "region-1", RoundTripMs: 3})
	}
	for _, plan := range f.Plan.Services {
		s := config.Service{Name: plan.Name, Classes: plan.Classes, ColdStart: plan.ColdStart, QueueLimit: 500, RetryPercent: 10}
		for _, t := range f.Targets {
			if t.Service == plan.Name {
				s.Targets = append(s.Targets, config.Target{
					Name: t.Name, Address: t.Address, Zone: t.Zone, Slots: plan.Slots, Connections: plan.Connections,
				})
			}
		}
		c.Services = append(c.Services, s)
	}
	return c
}

// RejectedError reports a configuration that the log did not accept.
type RejectedError struct {
	Result configlog.Result
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("configuration %s: reason %s, detail %q, problems %v", e.Result.Outcome, e.Result.Reason, e.Result.Detail, e.Result.Problems)
}

// Publish appends a configuration to the log, based on the one in force.
func (f *Cluster) Publish(ctx context.Context, c *config.Configuration) error {
	current, err := f.Publisher.Current(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration in force: %w", err)
	}
	proposed := config.Publication{ID: fmt.Sprintf("fleet-%d", time.Now().UnixNano()), Config: c}
	if current != nil {
		proposed.Base = current.State.Version
	}
	result, err := f.Publisher.Publish(ctx, proposed, current)
	if err != nil {
		return fmt.Errorf("publish configuration %s: %w", proposed.ID, err)
	}
	if result.Outcome != configlog.OutcomeAccepted {
		return &RejectedError{result}
	}
	f.Config = c
	return nil
}

// SetZoneOut takes an availability zone out of service or brings it back.
func (f *Cluster) SetZoneOut(ctx context.Context, name string, out bool) error {
	next := *f.Config
	next.Zones = append([]config.Zone(nil), f.Config.Zones...)
	for i := range next.Zones {
		if next.Zones[i].Name == name {
			next.Zones[i].OutOfService = out
		}
	}
	return f.Publish(ctx, &next)
}

// RestartZone crashes the targets of an availability zone, which restart cold.
func (f *Cluster) RestartZone(ctx context.Context, name string) error {
	for _, t := range f.Targets {
		if t.Zone != name {
			continue
		}
		if _, err := t.Control.Restart(ctx); err != nil {
			return fmt.Errorf("restart target %s: %w", t.Name, err)
		}
	}
	return nil
}

// Stop kills all processes, also frozen ones, in reverse order of their start.
func (f *Cluster) Stop() {
	for i := len(f.processes) - 1; i >= 0; i-- {
		f.processes[i].Kill()
	}
}
