// Package dev runs a sample deployment in one process on loopback: one control replica, entry instances, agents,
// stand-in model engines of two speeds and stand-in registry services. It uses the same daemon packages as the separate
// processes, with settings built in code instead of read from files.
package dev

import (
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/settings"
)

// Options describe the deployment to start. A count of zero starts none of its kind.
type Options struct {
	// Entry and Control are the addresses of the first entry and of the control instance; port 0 takes a free one.
	Entry   string
	Control string
	// DataDir is the control instance's data directory. It must exist.
	DataDir string
	// Entries, Servers and Services are the numbers of entries, model engines and registry services. Entries must be at
	// least 1.
	Entries  int
	Servers  int
	Services int
	// Version is the version that these engines and services announce; empty announces none.
	Version string
	// NewServers and NewServices are the numbers of further engines and services, which announce NewVersion and have the
	// fault NewFault, to try roll-outs.
	NewServers  int
	NewServices int
	NewVersion  string
	NewFault    standin.VersionFault
	// Log receives the daemons' log entries; nil discards them.
	Log log.Interface
}

// maxInstances bounds each count, since all instances run on one machine.
const maxInstances = 200

// Validate returns an error for the first count that is out of range.
func (o Options) Validate() error {
	counts := []struct {
		name string
		n    int
		low  int
	}{{"entries", o.Entries, 1}, {"servers", o.Servers, 0}, {"services", o.Services, 0}, {"new-servers", o.NewServers, 0}, {"new-services", o.NewServices, 0}}
	for _, c := range counts {
		if c.n < c.low || c.n > maxInstances {
			return errors.Errorf("-%s: want %d to %d, got %d", c.name, c.low, maxInstances, c.n)
		}
	}
	return o.NewFault.Validate()
}

// Names of the sample deployment.
const (
	// SampleModel is the model that every sample engine serves.
	SampleModel = "sample"
	// SampleService is the sample plain service.
	SampleService = "registry"

	// slowdownFactor is how many times slower the older engines prefill and decode.
	slowdownFactor = 2.0
)

// sampleOrganisations returns the organisations of the sample deployment with their default class, without keys.
func sampleOrganisations() []settings.Organisation {
	names := []string{"zagreb", "split", "rijeka", "osijek", "zadar"}
	organisations := make([]settings.Organisation, len(names))
	for i, name := range names {
		organisations[i] = settings.Organisation{Name: name, DefaultClass: "summary"}
	}
	return organisations
}

// SampleClasses returns the classes of the sample deployment.
func SampleClasses() []settings.Class {
	return []settings.Class{
		{Name: "gate-check", Tier: 1, DeadlineMS: 1000, LateMax: 0.005, LostMax: 0.005, Repeatable: true, Kind: settings.KindService},
		{Name: "pass-issue", Tier: 1, DeadlineMS: 5000, LateMax: 0.05, LostMax: 0.001, Kind: settings.KindService, Preempt: settings.PreemptNever},
		{Name: "summary", Tier: 2, DeadlineMS: 20_000, LateMax: 0.05, LostMax: 0.02, Repeatable: true, Kind: settings.KindModel},
		{Name: "appeal", Tier: 3, DeadlineMS: 60_000, LateMax: 0.5, LostMax: 0, Repeatable: true, Kind: settings.KindModel},
	}
}

// modelOptions returns the options of the i-th sample engine. Engines with odd i simulate an older generation that is
// slower and ignores the fence numbers of orders.
func modelOptions(i int) standin.Options {
	options := standin.ModelDefaults()
	options.Models = []string{SampleModel}
	options.Seed = uint64(i) + 1
	options.CacheGap = 0.1
	options.LeaveTimeout = leaveTimeout
	if i%2 == 1 {
		options.PrefillRate /= slowdownFactor
		options.DecodePace *= slowdownFactor
		options.Capabilities.Fencing = engine.FencingIgnores
	}
	return options
}

// serviceOptions returns the options of the i-th sample registry service.
func serviceOptions(i int) standin.Options {
	options := standin.ServiceDefaults()
	options.Models = []string{SampleService}
	options.Seed = uint64(i) + 1
	options.LeaveTimeout = leaveTimeout
	return options
}

// leaveTimeout bounds each wait of an engine's graceful leave when dev stops.
const leaveTimeout = 5 * time.Second
