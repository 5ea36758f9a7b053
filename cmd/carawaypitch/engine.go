package main

import (
	"context"
	"flag"

	"github.com/apex/log"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/settings"
)

// engineCommand runs a stand-in for a backend server.
type engineCommand struct{ settingsFlag }

func (*engineCommand) Name() string { return "engine" }
func (*engineCommand) Synopsis() string {
	return "run a small stand-in for a model engine or a plain service"
}

func (*engineCommand) Usage() string {
	return `engine -settings FILE
  Speaks the engine protocol and announces itself to its agent. Faults are switched while it runs:
  POST /v1/faults takes {"slow", "lose_before", "lose_answer", "cut_answer", "cut_after", "cut_share", "unframed",
  "fail_before", "fail_after", "drop_cache_events", "ignore_cancel", "die_after_tokens", "down_ms", "freeze_ms", "refuse_ms"}.
  SIGTERM: leaves its agent gracefully, finishes what runs, exits with 0.

  Examples:
    carawaypitch engine -settings examples/compost/engine-model-01.jsonc
    curl -s 127.0.0.1:7201/v1/faults -d '{"slow": 4}'

  Exit codes: 0 stopped by SIGTERM or Ctrl-C; 1 the settings are wrong, or a duty failed; 2 usage.
`
}

func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	level := func(s *settings.Engine) log.Level { return s.Log.Level }
	return runDaemon(ctx, c.file, level, func(s *settings.Engine, logger log.Interface) (*standin.Server, error) {
		options := engineOptions(s)
		options.OnArrival = func(attempt engine.AttemptID) { logger.WithField("attempt", string(attempt)).Info("run_received") }
		return standin.New(options), options.Validate()
	})
}

func engineOptions(s *settings.Engine) standin.Options {
	options := standin.ModelDefaults()
	if s.Kind == settings.KindService {
		options = standin.ServiceDefaults()
	}
	options.Server = s.Server
	options.Kind = engine.Kind(s.Kind)
	options.Listen = s.Listen
	options.Agent = "http://" + s.Agent
	options.Models = s.Models
	options.Slots = s.Slots
	options.PrefillRate = float64(s.PrefillTokensPerS)
	options.DecodePace = s.DecodePace
	options.DecodeSlope = s.DecodeSlope
	options.CacheBlocks = s.CacheBlocks
	options.ServiceTime = s.ServiceTime
	options.LoadLag = s.LoadLag
	options.CacheLag = s.CacheLag
	options.CacheGap = s.CacheGap
	options.Seed = uint64(s.Seed)
	options.Faults.LoseAnswer = s.LoseAnswer
	options.Version = s.Version
	if s.IgnoresFence {
		options.Capabilities.Fencing = engine.FencingIgnores
	}
	return options
}
