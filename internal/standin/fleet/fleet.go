package fleet

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
	// Bin is the folder with the programs fulmarhoistd and standin.
	Bin string
	// Dir is an existing folder for settings, logs and spans.
	Dir   string
	Zones []string
	// Instances is the number of entry instances; they are spread over the zones.
	Instances int
	// MaxInstances is the configured largest number; Instances if it is 0.
	MaxInstances int
	Services     []ServicePlan
	// Policy is how instances choose a target; their default if it is empty.
	Policy service.PolicyName
	// DirectoryLifetime is how long callers keep a directory response.
	DirectoryLifetime time.Duration
	// Spans tells whether instances write their spans to Dir.
	Spans bool
	// Relays lists by instance id the routes that pass through a relay.
	Relays map[string][]Route
}

// ServicePlan describes one service.
type ServicePlan struct {
	Name    string
	Classes []config.Class
	// Targets is the number of servers; they are spread over the zones.
	Targets     int
	Slots       int
	Connections int
	Mean        time.Duration // service time
	Spread      time.Duration
	Cold        config.ColdStart
	// LoadLag is the age of the load that the load endpoints of the targets report.
	LoadLag time.Duration
	// Seed makes the service times repeatable.
	Seed uint64
}

// Target is a running stand-in of a server.
type Target struct {
	*Process
	Name, Service, Zone, Address string
	Control                      *control.Target
}

// Instance is a running entry instance.
type Instance struct {
	*Process
	ID, Zone       string
	Callers, Peers string
	Spans          string // path of the spans file, if there is one
	Relays         map[Route]*Relay
}

// Fleet is a running deployment.
type Fleet struct {
	Plan      Plan
	Log       *control.Log
	List      *control.List
	Targets   []*Target
	Instances []*Instance
	LogClient backing.Log // as operators reach the log service
	Publisher *configlog.Publisher
	Config    *config.Configuration

	logAddress, listAddress string
	processes               []*Process
}

type readyLine struct {
	Address string `json:"address"`
	Control string `json:"control"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
}

const sharedKey = "stand-in shared key 0123456789"

// Start starts the platform, the targets and the instances, and publishes the
// first configuration. After an error everything that was started is stopped.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	f := &Fleet{Plan: plan}
	if err := f.startAll(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll(ctx context.Context) error {
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
	f.Config = f.configuration()
	for range f.Plan.Instances {
		if _, err := f.AddInstance(ctx); err != nil {
			return err
		}
	}
	return f.Publish(ctx, f.Config)
}

func (f *Fleet) start(name, program string, args ...string) (*Process, readyLine, error) {
	var ready readyLine
	p, err := start(name, f.Plan.Dir, filepath.Join(f.Plan.Bin, program), args, &ready)
	if err != nil {
		return nil, ready, err
	}
	f.processes = append(f.processes, p)
	return p, ready, nil
}

func (f *Fleet) startPlatform() error {
	_, log, err := f.start("log", "standin", "log", "--appends-per-second", "300", "--append-burst", "20")
	if err != nil {
		return err
	}
	_, list, err := f.start("list", "standin", "list", "--lag-ms", "300")
	if err != nil {
		return err
	}
	f.logAddress, f.listAddress = log.Address, list.Address
	f.Log, f.List = control.NewLog(log.Control), control.NewList(list.Control)
	client, err := backinghttp.NewLogClient("http://"+log.Address, backinghttp.Settings{})
	if err != nil {
		return fmt.Errorf("make a publisher: %w", err)
	}
	f.LogClient = client
	f.Publisher = configlog.NewPublisher(client, configlog.Options{})
	return nil
}

func (f *Fleet) startTarget(ctx context.Context, s ServicePlan, i int) error {
	t := &Target{
		Name: fmt.Sprintf("%s-%d", s.Name, i+1), Service: s.Name,
		Zone: f.Plan.Zones[i%len(f.Plan.Zones)],
	}
	p, ready, err := f.start(t.Name, "standin", "target",
		"--service", s.Name, "--slots", fmt.Sprint(s.Slots), "--mean", s.Mean.String(), "--spread", s.Spread.String(),
		"--seed", fmt.Sprint(s.Seed+uint64(i)), "--cold-for", (s.Cold.Duration() * 9 / 10).String(), "--cold-bears", fmt.Sprint(s.Cold.Bears),
		"--load-lag", s.LoadLag.String())
	if err != nil {
		return err
	}
	t.Process, t.Address, t.Control = p, ready.Address, control.NewTarget(ready.Control)
	f.Targets = append(f.Targets, t)
	member := instancelist.Member{ID: t.Name, Kind: string(backing.KindTarget), Zone: t.Zone, Address: t.Address}
	if _, err := f.List.Put(ctx, member); err != nil {
		return fmt.Errorf("list target %s: %w", t.Name, err)
	}
	return nil
}

// AddInstance starts one more entry instance and lists it.
func (f *Fleet) AddInstance(ctx context.Context) (*Instance, error) {
	number := len(f.Instances)
	i := &Instance{ID: fmt.Sprintf("entry-%d", number+1), Zone: f.Plan.Zones[number%len(f.Plan.Zones)]}
	f.Instances = append(f.Instances, i)
	return i, f.StartInstance(ctx, i)
}

// StartInstance starts the process of an instance, also again after it ended.
func (f *Fleet) StartInstance(ctx context.Context, i *Instance) error {
	path, err := f.writeSettings(i)
	if err != nil {
		return err
	}
	p, _, err := f.start(i.ID, "fulmarhoistd", "--settings", path)
	if err != nil {
		return err
	}
	i.Process = p
	address := i.through(RoutePeers, i.Peers)
	member := instancelist.Member{ID: i.ID, Kind: string(backing.KindEntry), Zone: i.Zone, Address: address}
	if _, err := f.List.Put(ctx, member); err != nil {
		return fmt.Errorf("list instance %s: %w", i.ID, err)
	}
	return nil
}

func (f *Fleet) writeSettings(i *Instance) (string, error) {
	if i.Callers == "" {
		addresses, err := freeAddresses(2)
		if err != nil {
			return "", err
		}
		i.Callers, i.Peers = addresses[0], addresses[1]
	}
	if err := f.startRelays(i); err != nil {
		return "", err
	}
	traces := settings.Traces{Exporter: "off"}
	if f.Plan.Spans {
		i.Spans = filepath.Join(f.Plan.Dir, i.ID+".spans")
		traces = settings.Traces{Exporter: "file", File: i.Spans}
	}
	document := map[string]any{
		"instance": i.ID, "zone": i.Zone,
		"callers":           settings.Endpoint{Listen: i.Callers, Advertise: i.Callers},
		"peers":             settings.Endpoint{Listen: i.Peers, Advertise: i.through(RoutePeers, i.Peers)},
		"log_service_url":   "http://" + i.through(RouteLog, f.logAddress),
		"instance_list_url": "http://" + i.through(RouteList, f.listAddress),
		"shared_key":        map[string]string{"value": sharedKey},
		"traces":            traces,
		"log_level":         "info",
	}
	if f.Plan.Policy != "" {
		document["policy"] = f.Plan.Policy
	}
	data, err := json.Marshal(document)
	if err != nil {
		return "", fmt.Errorf("encode settings: %w", err)
	}
	path := filepath.Join(f.Plan.Dir, i.ID+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", fmt.Errorf("write settings: %w", err)
	}
	return path, nil
}

// freeAddresses returns loopback addresses that nobody listens on.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func (f *Fleet) configuration() *config.Configuration {
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
		s := config.Service{Name: plan.Name, Classes: plan.Classes, ColdStart: plan.Cold, QueueLimit: 500, RetryPercent: 10}
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

// RejectedError reports a configuration that was not accepted.
type RejectedError struct {
	Result configlog.Result
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("configuration %s: %s %s %v", e.Result.Outcome, e.Result.Reason, e.Result.Detail, e.Result.Problems)
}

// Publish puts a configuration in the log on top of the one that is in force.
func (f *Fleet) Publish(ctx context.Context, c *config.Configuration) error {
	current, err := f.Publisher.Current(ctx)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	proposed := config.Publication{ID: fmt.Sprintf("fleet-%d", time.Now().UnixNano()), Config: c}
	if current != nil {
		proposed.Base = current.State.Version
	}
	result, err := f.Publisher.Publish(ctx, proposed, current)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	if result.Outcome != configlog.OutcomeAccepted {
		return &RejectedError{result}
	}
	f.Config = c
	return nil
}

// SetZoneOut takes an availability zone out of service or brings it back.
func (f *Fleet) SetZoneOut(ctx context.Context, name string, out bool) error {
	next := *f.Config
	next.Zones = append([]config.Zone(nil), f.Config.Zones...)
	for i := range next.Zones {
		if next.Zones[i].Name == name {
			next.Zones[i].Out = out
		}
	}
	return f.Publish(ctx, &next)
}

// RestartZone crashes the targets of an availability zone; they start again cold.
func (f *Fleet) RestartZone(ctx context.Context, name string) error {
	for _, t := range f.Targets {
		if t.Zone != name {
			continue
		}
		if _, err := t.Control.Restart(ctx); err != nil {
			return fmt.Errorf("restart %s: %w", t.Name, err)
		}
	}
	return nil
}

// Stop ends all processes. Frozen ones are ended as well.
func (f *Fleet) Stop() {
	for i := len(f.processes) - 1; i >= 0; i-- {
		f.processes[i].Kill()
	}
}
