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
	// Instances is the number of entry instances, which are spread evenly over
	// the zones.
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
	// LoadReportAge is the age of the load values that the load endpoints
	// report.
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
	c := &Cluster{Plan: plan}
	if err := c.startAll(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startAll(ctx context.Context) error {
	if err := c.startPlatform(); err != nil {
		return err
	}
	for _, s := range c.Plan.Services {
		for i := range s.Targets {
			if err := c.startTarget(ctx, s, i); err != nil {
				return err
			}
		}
	}
	c.Config = c.buildConfiguration()
	for range c.Plan.Instances {
		if _, err := c.AddInstance(ctx); err != nil {
			return err
		}
	}
	return c.Publish(ctx, c.Config)
}

// startProgram starts a program of the plan's directory, to be killed by Stop.
func (c *Cluster) startProgram(name, program string, args ...string) (*Process, readyLine, error) {
	var ready readyLine
	p, err := startProcess(name, c.Plan.Dir, filepath.Join(c.Plan.Bin, program), args, &ready)
	if err != nil {
		return nil, ready, err
	}
	c.processes = append(c.processes, p)
	return p, ready, nil
}

// startPlatform starts the log service and the instance list.
func (c *Cluster) startPlatform() error {
	_, log, err := c.startProgram("log", "standin", "log", "--appends-per-second", "300", "--append-burst", "20")
	if err != nil {
		return err
	}
	_, list, err := c.startProgram("list", "standin", "list", "--lag-ms", "300")
	if err != nil {
		return err
	}
	c.logAddress, c.listAddress = log.Address, list.Address
	c.LogControl, c.ListControl = control.NewLog(log.Control), control.NewList(list.Control)
	client, err := backinghttp.NewLogClient("http://"+log.Address, backinghttp.Settings{})
	if err != nil {
		return fmt.Errorf("create the client of the log service: %w", err)
	}
	c.LogClient = client
	c.Publisher = configlog.NewPublisher(client, configlog.Options{})
	return nil
}

// startTarget starts target i of a service and adds it to the instance list. The
// target is cold for 90% of the configured duration.
func (c *Cluster) startTarget(ctx context.Context, s ServicePlan, i int) error {
	t := &Target{
		Name: fmt.Sprintf("%s-%d", s.Name, i+1), Service: s.Name,
		Zone: c.Plan.Zones[i%len(c.Plan.Zones)],
	}
	p, ready, err := c.startProgram(t.Name, "standin", "target",
		"--service", s.Name, "--slots", fmt.Sprint(s.Slots), "--mean", s.MeanServiceTime.String(), "--spread", s.ServiceTimeStdDev.String(),
		"--seed", fmt.Sprint(s.Seed+uint64(i)), "--cold-for", (s.ColdStart.Duration() * 9 / 10).String(), "--cold-bears", fmt.Sprint(s.ColdStart.MaxConcurrent),
		"--load-lag", s.LoadReportAge.String())
	if err != nil {
		return err
	}
	t.Process, t.Address, t.Control = p, ready.Address, control.NewTarget(ready.Control)
	c.Targets = append(c.Targets, t)
	member := instancelist.Member{ID: t.Name, Kind: string(backing.KindTarget), Zone: t.Zone, Address: t.Address}
	if _, err := c.ListControl.Put(ctx, member); err != nil {
		return fmt.Errorf("add target %s to the instance list: %w", t.Name, err)
	}
	return nil
}

// AddInstance starts one more entry instance and adds it to the instance list.
func (c *Cluster) AddInstance(ctx context.Context) (*Instance, error) {
	number := len(c.Instances)
	i := &Instance{ID: fmt.Sprintf("entry-%d", number+1), Zone: c.Plan.Zones[number%len(c.Plan.Zones)]}
	c.Instances = append(c.Instances, i)
	return i, c.StartInstance(ctx, i)
}

// StartInstance starts the process of an instance, for the first time or after
// it has ended, and adds it to the instance list.
func (c *Cluster) StartInstance(ctx context.Context, i *Instance) error {
	path, err := c.writeSettings(i)
	if err != nil {
		return err
	}
	p, _, err := c.startProgram(i.ID, "fulmarhoistd", "--settings", path)
	if err != nil {
		return err
	}
	i.Process = p
	address := i.addressVia(RoutePeers, i.PeerAddress)
	member := instancelist.Member{ID: i.ID, Kind: string(backing.KindEntry), Zone: i.Zone, Address: address}
	if _, err := c.ListControl.Put(ctx, member); err != nil {
		return fmt.Errorf("add instance %s to the instance list: %w", i.ID, err)
	}
	return nil
}

// writeSettings writes the settings file of an instance and returns its path. It
// starts the relays of the instance, whose addresses are in the settings.
func (c *Cluster) writeSettings(i *Instance) (string, error) {
	if i.CallerAddress == "" {
		addresses, err := freeAddresses(2)
		if err != nil {
			return "", err
		}
		i.CallerAddress, i.PeerAddress = addresses[0], addresses[1]
	}
	if err := c.startRelays(i); err != nil {
		return "", err
	}
	traces := settings.Traces{Exporter: "off"}
	if c.Plan.RecordSpans {
		i.SpansFile = filepath.Join(c.Plan.Dir, i.ID+".spans")
		traces = settings.Traces{Exporter: "file", File: i.SpansFile}
	}
	document := map[string]any{
		"instance": i.ID, "zone": i.Zone,
		"callers":           settings.Endpoint{Listen: i.CallerAddress, Advertise: i.CallerAddress},
		"peers":             settings.Endpoint{Listen: i.PeerAddress, Advertise: i.addressVia(RoutePeers, i.PeerAddress)},
		"log_service_url":   "http://" + i.addressVia(RouteLog, c.logAddress),
		"instance_list_url": "http://" + i.addressVia(RouteList, c.listAddress),
		"shared_key":        map[string]string{"value": sharedKey},
		"traces":            traces,
		"log_level":         "info",
	}
	if c.Plan.Policy != "" {
		document["policy"] = c.Plan.Policy
	}
	data, err := json.Marshal(document)
	if err != nil {
		return "", fmt.Errorf("encode the settings of %s: %w", i.ID, err)
	}
	path := filepath.Join(c.Plan.Dir, i.ID+".json")
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
func (c *Cluster) buildConfiguration() *config.Configuration {
	configuration := &config.Configuration{
		Deployment:          "stand-ins",
		MaxInstances:        max(c.Plan.Instances, c.Plan.MaxInstances),
		DirectoryLifetimeMs: int(c.Plan.DirectoryLifetime.Milliseconds()),
		Measuring:           config.Measuring{ProbesPerSecond: 2},
	}
	for _, name := range c.Plan.Zones {
		configuration.Zones = append(configuration.Zones, config.Zone{Name: name, Region: "region-1", RoundTripMs: 3})
	}
	for _, plan := range c.Plan.Services {
		s := config.Service{Name: plan.Name, Classes: plan.Classes, ColdStart: plan.ColdStart, QueueLimit: 500, RetryPercent: 10}
		for _, t := range c.Targets {
			if t.Service == plan.Name {
				s.Targets = append(s.Targets, config.Target{
					Name: t.Name, Address: t.Address, Zone: t.Zone, Slots: plan.Slots, Connections: plan.Connections,
				})
			}
		}
		configuration.Services = append(configuration.Services, s)
	}
	return configuration
}

// RejectedError reports a configuration that the log did not accept.
type RejectedError struct {
	Result configlog.Result
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("configuration %s: reason %s, detail %q, problems %v", e.Result.Outcome, e.Result.Reason, e.Result.Detail, e.Result.Problems)
}

// Publish appends a configuration to the log, based on the one in force.
func (c *Cluster) Publish(ctx context.Context, configuration *config.Configuration) error {
	current, err := c.Publisher.Current(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration in force: %w", err)
	}
	proposed := config.Publication{ID: fmt.Sprintf("fleet-%d", time.Now().UnixNano()), Config: configuration}
	if current != nil {
		proposed.Base = current.State.Version
	}
	result, err := c.Publisher.Publish(ctx, proposed, current)
	if err != nil {
		return fmt.Errorf("publish configuration %s: %w", proposed.ID, err)
	}
	if result.Outcome != configlog.OutcomeAccepted {
		return &RejectedError{result}
	}
	c.Config = configuration
	return nil
}

// SetZoneOutOfService takes an availability zone out of service or brings it
// back.
func (c *Cluster) SetZoneOutOfService(ctx context.Context, name string, out bool) error {
	next := *c.Config
	next.Zones = append([]config.Zone(nil), c.Config.Zones...)
	for i := range next.Zones {
		if next.Zones[i].Name == name {
			next.Zones[i].OutOfService = out
		}
	}
	return c.Publish(ctx, &next)
}

// RestartZone crashes the targets of an availability zone, which restart cold.
func (c *Cluster) RestartZone(ctx context.Context, name string) error {
	for _, t := range c.Targets {
		if t.Zone != name {
			continue
		}
		if _, err := t.Control.Restart(ctx); err != nil {
			return fmt.Errorf("restart target %s: %w", t.Name, err)
		}
	}
	return nil
}

// Stop kills all processes, also suspended ones, in reverse order of their
// start.
func (c *Cluster) Stop() {
	for i := len(c.processes) - 1; i >= 0; i-- {
		c.processes[i].Kill()
	}
}
