package main

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/standin/engineserver"
	"bilberryslip.example/bilberryslip/internal/standin/platformserver"
	"bilberryslip.example/bilberryslip/internal/standin/serviceserver"
)

// platformCommand runs the stand-in of the users' platform.
type platformCommand struct {
	ListenOptions
	Token           string        `arg:"--token,env:BILBERRYSLIP_PLATFORM_TOKEN" help:"bearer token that callers must present"`
	HostListLag     time.Duration `arg:"--host-list-lag" default:"2s" help:"delay until readers see a change of the host list"`
	LoadsPerSecond  float64       `arg:"--loads-per-second" default:"1" help:"model loads that may start per second; 0 means no limit"`
	Parallel        int           `arg:"--parallel" default:"4" help:"model loads served at full speed at once"`
	LoadTime        time.Duration `arg:"--load-time" default:"1s" help:"time of a model load at full speed"`
	AdapterParallel int           `arg:"--adapter-parallel" default:"32" help:"adapter loads served at full speed at once"`
	AdapterLoadTime time.Duration `arg:"--adapter-load-time" default:"8ms" help:"time of an adapter load at full speed"`
}

func (p *platformCommand) handler(ctx context.Context) (http.Handler, error) {
	return platformserver.New(ctx, platformserver.Options{
		Token:       p.Token,
		HostListLag: p.HostListLag,
		Weights: platformserver.WeightOptions{
			LoadsPerSecond:  p.LoadsPerSecond,
			Parallel:        p.Parallel,
			LoadTime:        p.LoadTime,
			AdapterParallel: p.AdapterParallel,
			AdapterLoadTime: p.AdapterLoadTime,
		},
	}), nil
}

// engineCommand runs the stand-in of a model engine.
type engineCommand struct {
	ListenOptions
	Memory            int64         `arg:"--memory" default:"80000000000" help:"accelerator memory in bytes"`
	Models            []string      `arg:"--model,separate" placeholder:"NAME/VERSION/BYTES" help:"model loaded at startup; repeatable"`
	Adapters          []string      `arg:"--adapter,separate" placeholder:"NAME/MODEL/BYTES" help:"adapter loaded at startup; repeatable"`
	FirstToken        time.Duration `arg:"--first-token" default:"20ms" help:"time before the first token"`
	TokenInterval     time.Duration `arg:"--token-interval" default:"5ms" help:"time between two tokens"`
	MaxConcurrent     int           `arg:"--max-concurrent" default:"16" help:"requests that run at once; 0 means no limit"`
	ChecksFencing     bool          `arg:"--checks-fencing" help:"refuse orders with an old fencing token"`
	ChecksIncarnation bool          `arg:"--checks-incarnation" help:"refuse orders for another incarnation"`
	RefuseOvercommit  bool          `arg:"--refuse-overcommit" help:"refuse loads that exceed the memory"`
	OrderDelay        time.Duration `arg:"--order-delay" help:"delay before an order is processed"`
	Weights           string        `arg:"--weights" placeholder:"URL" help:"base URL of the platform, for its weight store"`
	WeightsToken      string        `arg:"--weights-token,env:BILBERRYSLIP_PLATFORM_TOKEN" help:"bearer token for the weight store"`
	LoadTime          time.Duration `arg:"--load-time" default:"500ms" help:"time of a model load without a weight store"`
	AdapterLoadTime   time.Duration `arg:"--adapter-load-time" default:"8ms" help:"time of an adapter load without a weight store"`
	UnloadTime        time.Duration `arg:"--unload-time" default:"50ms" help:"time of an unload after its last request"`
	ReportLag         time.Duration `arg:"--report-lag" default:"200ms" help:"maximum age of reports and cache events"`
	EventGapEvery     int64         `arg:"--event-gap-every" help:"drop each cache event whose number is a multiple of this; 0 drops none"`
	RefuseResume      bool          `arg:"--refuse-resume" help:"answer 409 to every resume"`
	ResumesAny        bool          `arg:"--resumes-any" help:"resume generations that another engine started"`
}

func (e *engineCommand) handler(context.Context) (http.Handler, error) {
	models, err := parseModels(e.Models)
	if err != nil {
		return nil, err
	}
	adapters, err := parseAdapters(e.Adapters)
	if err != nil {
		return nil, err
	}
	return engineserver.New(engineserver.Options{
		MemoryBytes:       e.Memory,
		Preloaded:         models,
		PreloadedAdapters: adapters,
		FirstToken:        e.FirstToken,
		TokenInterval:     e.TokenInterval,
		MaxConcurrent:     e.MaxConcurrent,
		ChecksFencing:     e.ChecksFencing,
		ChecksIncarnation: e.ChecksIncarnation,
		RefuseOvercommit:  e.RefuseOvercommit,
		OrderDelay:        e.OrderDelay,
		WeightsURL:        e.Weights,
		WeightsToken:      e.WeightsToken,
		LoadTime:          e.LoadTime,
		AdapterLoadTime:   e.AdapterLoadTime,
		UnloadTime:        e.UnloadTime,
		ReportLag:         e.ReportLag,
		EventGapEvery:     e.EventGapEvery,
		RefuseResume:      e.RefuseResume,
		ResumesAny:        e.ResumesAny,
		Exit:              os.Exit,
	}), nil
}

// serviceCommand runs the stand-in of a plain service.
type serviceCommand struct {
	ListenOptions
	Name     string        `arg:"--name" default:"service" help:"name in the responses"`
	Latency  time.Duration `arg:"--latency" default:"5ms" help:"time of a run"`
	NoReport bool          `arg:"--no-report" help:"serve no load report"`
}

func (s *serviceCommand) handler(context.Context) (http.Handler, error) {
	return serviceserver.New(serviceserver.Options{
		Name:     s.Name,
		Latency:  s.Latency,
		NoReport: s.NoReport,
		Exit:     os.Exit,
	}), nil
}

func parseModels(texts []string) ([]engineapi.HeldModel, error) {
	models := make([]engineapi.HeldModel, 0, len(texts))
	for _, text := range texts {
		name, version, bytes, err := parseItem(text)
		if err != nil {
			return nil, err
		}
		models = append(models, engineapi.HeldModel{Model: name, Version: version, Bytes: bytes})
	}
	return models, nil
}

func parseAdapters(texts []string) ([]engineapi.HeldAdapter, error) {
	adapters := make([]engineapi.HeldAdapter, 0, len(texts))
	for _, text := range texts {
		name, model, bytes, err := parseItem(text)
		if err != nil {
			return nil, err
		}
		adapters = append(adapters, engineapi.HeldAdapter{Adapter: name, Model: model, Bytes: bytes})
	}
	return adapters, nil
}

// parseItem splits the form NAME/OTHER/BYTES, where OTHER is the version of a
// model or the model of an adapter.
func parseItem(text string) (name, other string, bytes int64, err error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return "", "", 0, errors.Newf("%q is not of the form NAME/VERSION/BYTES", text)
	}
	bytes, err = strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return "", "", 0, errors.Wrapf(err, "%q does not end in a number of bytes", text)
	}
	return parts[0], parts[1], bytes, nil
}
