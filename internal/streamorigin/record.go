package streamorigin

import (
	"cmp"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Restore takes over the record that was read from the store, whose era is given, by a call
// that began at readAt; nil if there is none. Without one, or with one of an earlier era, versions may be missing, and
// streams of unknown origin are refused until a peer reports the versions, or for memory.
// firstStart means that the whole system starts for the first time, so that there need be
// none.
func (o *Origins) Restore(record *Record, era int64, firstStart bool, readAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	if record == nil {
		record = &Record{Era: -1}
		if firstStart {
			o.history.complete(SourceFirstStart)
			o.currency.begin(readAt)
		}
	}
	if record.Era >= era {
		o.currency.begin(readAt)
		if readAt.After(o.currency.recordAt) {
			o.currency.recordAt = readAt
		}
	}
	o.history.restore(record, era, now)
	o.notify()
}

// NeedsRecord reports whether a read of the record would make this host's knowledge of
// software versions recent, after it was out of touch with the store or peers.
func (o *Origins) NeedsRecord() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	o.observe(now)
	return o.currency.needsRecord(o.listedAt(), now)
}

// Record returns what the store should hold in its present era.
func (o *Origins) Record(era int64) Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	o.history.setEra(era, now)
	o.observe(now)
	return o.history.record()
}

// Written records that the store holds a record.
func (o *Origins) Written(record Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.written(record)
}

// UnrecordedFor returns how long a version of a service with several has been known
// without being recorded; zero if none is.
func (o *Origins) UnrecordedFor() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.history.unrecordedFor(o.clock())
}

// DumpState returns the software versions of each service for the state dump.
func (o *Origins) DumpState() any {
	o.mu.Lock()
	defer o.mu.Unlock()
	type dump struct {
		Service  string `json:"service"`
		Software string `json:"software"`
		Listed   bool   `json:"listed"`
		Recorded bool   `json:"recorded"`
		SeenMS   int64  `json:"seenMs"`
		Counted  bool   `json:"counted"`
	}
	now := o.clock()
	list := []dump{}
	for service, versions := range o.history.services {
		for software, v := range versions {
			list = append(list, dump{service, software, v.listed, o.history.recorded(v), now.Sub(v.seenAt).Milliseconds(), now.Sub(v.seenAt) <= memory})
		}
	}
	slices.SortFunc(list, func(a, b dump) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
	return map[string]any{"source": o.history.source, "versions": list, "knownMs": now.Sub(o.currency.knownAt).Milliseconds(), "current": o.current(now)}
}

// source returns what made the history complete; SourceNone if it isn't.
func (o *Origins) source() Source {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.history.source
}

// metrics are the metrics of Origins.
type metrics struct {
	lookups *prometheus.CounterVec
	known   prometheus.GaugeFunc
}

func newMetrics(o *Origins) metrics {
	return metrics{
		lookups: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_stream_origin_lookups_total", Help: "Streams that callers took up, by how their software version was found.",
		}, []string{"result"}),
		known: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bilberryslip_software_history_known", Help: "1 once all software versions of the last minute are known.",
		}, func() float64 {
			if o.source() == SourceNone {
				return 0
			}
			return 1
		}),
	}
}

func (m metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.lookups, m.known}
}
