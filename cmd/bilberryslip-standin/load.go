package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/standin/load"
)

// loadCommand sends requests to hosts as callers do.
type loadCommand struct {
	Targets         []string      `arg:"--target,separate,required" placeholder:"URL" help:"callers' URL of a host; repeatable"`
	KeyFiles        []string      `arg:"--key-file,separate,required" placeholder:"FILE" help:"file with a caller's key; repeatable"`
	Models          []string      `arg:"--model,separate,required" placeholder:"NAME" help:"model or adapter; repeatable"`
	Service         string        `arg:"--service" placeholder:"PATH" help:"path of non-repeatable calls"`
	ServiceFraction float64       `arg:"--service-fraction" help:"fraction of the requests that are non-repeatable calls"`
	StreamFraction  float64       `arg:"--stream-fraction" default:"0.5" help:"fraction of the completions that are streamed"`
	Rate            float64       `arg:"--rate" default:"50" help:"requests per second"`
	Duration        time.Duration `arg:"--duration" default:"10s" help:"duration of the load"`
	MaxTokens       int           `arg:"--max-tokens" default:"16" help:"max_tokens of the requests"`
	Seed            uint64        `arg:"--seed" default:"1" help:"seed of the random choices"`
}

// run sends the load until its duration has passed or the process is
// interrupted, and prints the report as JSON.
func (l *loadCommand) run() error {
	keys, err := readKeys(l.KeyFiles)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report := load.Run(ctx, load.Options{
		Targets:           l.Targets,
		Keys:              keys,
		Models:            l.Models,
		Service:           l.Service,
		ServiceFraction:   l.ServiceFraction,
		StreamFraction:    l.StreamFraction,
		RequestsPerSecond: l.Rate,
		Duration:          l.Duration,
		MaxTokens:         l.MaxTokens,
		Seed:              l.Seed,
	})
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

func readKeys(files []string) ([]string, error) {
	keys := make([]string, 0, len(files))
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read a caller's key; name a readable file with --key-file")
		}
		keys = append(keys, strings.TrimSpace(string(data)))
	}
	return keys, nil
}
