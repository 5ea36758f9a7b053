// Package dev runs everything in one process on loopback for a first try: one control replica, entry instances,
// agents, stand-in model engines of two speeds and stand-in registry services. The daemons are the same library that
// the separate processes use; only the settings come from here instead of files.
package dev

import (
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/settings"
)

// Options say what to start. Zero counts start none of the kind.
type Options struct {
	// Entry and Control are the addresses of the first entry and of the control instance; port 0 takes a free one.
	Entry   string
	Control string
	// DataDir is the control instance's data folder. It must exist.
	DataDir string
	// Entries, Servers and Services are how many entries, model engines and registry services are started.
	Entries  int
	Servers  int
	Services int
	// Log receives the daemons' events; nil drops them.
	Log log.Interface
}

// maxInstances bounds each count: dev is for one machine.
const maxInstances = 200

// Validate returns the first mistake.
func (o Options) Validate() error {
	counts := []struct {
		name string
		n    int
		low  int
	}{{"entries", o.Entries, 1}, {"servers", o.Servers, 0}, {"services", o.Services, 0}}
	for _, c := range counts {
		if c.n < c.low || c.n > maxInstances {
			return errors.Errorf("-%s: want %d to %d, got %d", c.name, c.low, maxInstances, c.n)
		}
	}
	return nil
}

// Names of the sample deployment.
const (
	// SampleModel is the model that every sample engine has ready.
	SampleModel = "sample"
	// SampleService is the sample plain service.
	SampleService = "registry"

	slowdownFactor = 2.0
)

// sampleOrganisations are the members of the sample consortium with their default class.
func sampleOrganisations() []settings.Organisation {
	names := []string{"zagreb", "split", "rijeka", "osijek", "zadar"}
	organisations := make([]settings.Organisation, len(names))
	for i, name := range names {
		organisations[i] = settings.Organisation{Name: name, DefaultClass: "summary"}
	}
	return organisations
}

// SampleClasses are the classes of the sample deployment.
func SampleClasses() []settings.Class {
	return []settings.Class{
		{Name: "gate-check", Tier: 1, DeadlineMS: 1000, LateMax: 0.005, LostMax: 0.005, Repeatable: true, Kind: settings.KindService},
		{Name: "pass-issue", Tier: 1, DeadlineMS: 5000, LateMax: 0.05, LostMax: 0.001, Kind: settings.KindService, Preempt: settings.PreemptNever},
		{Name: "summary", Tier: 2, DeadlineMS: 20_000, LateMax: 0.05, LostMax: 0.02, Repeatable: true, Kind: settings.KindModel},
		{Name: "appeal", Tier: 3, DeadlineMS: 60_000, LateMax: 0.5, LostMax: 0, Repeatable: true, Kind: settings.KindModel},
	}
}

// modelOptions are the settings of the i-th sample engine; every other one is of the older, slower generation.
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

func serviceOptions(i int) standin.Options {
	options := standin.ServiceDefaults()
	options.Models = []string{SampleService}
	options.Seed = uint64(i) + 1
	options.LeaveTimeout = leaveTimeout
	return options
}

// leaveTimeout bounds the graceful leave of an engine when dev stops.
const leaveTimeout = 5 * time.Second
