package forward

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/drain"
)

// Arrival tells how a request reached this host.
type Arrival struct {
	// ConnectionAge is the age of the caller's connection when the head of the request had
	// been read, and EarlierRequests the number of requests on it before.
	ConnectionAge   time.Duration
	EarlierRequests int
	// ReceivedAt is when the kernel had received the first bytes of the request, HeadAt and
	// BodyAt are when the head and the whole body had been read.
	ReceivedAt, HeadAt, BodyAt time.Time
}

// progress is how far a call has come. It is read while the call is served.
type progress struct {
	// endpoint is the identifier of the last attempt's endpoint; nil before the first.
	endpoint atomic.Pointer[string]
	// sentAt is when the last attempt began, writtenAt when its connection stood and the
	// request was about to be written; nil before.
	sentAt, writtenAt atomic.Pointer[time.Time]
	events            atomic.Int64
	// admission is the last decision whether this host ends too soon for the call; nil
	// if no shutdown has begun.
	admission atomic.Pointer[drain.Decision]
}

// runningCalls holds the calls that are being served.
type runningCalls struct {
	mu    sync.Mutex
	calls map[*inflightCall]struct{}
}

func (r *runningCalls) add(x *inflightCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls = make(map[*inflightCall]struct{})
	}
	r.calls[x] = struct{}{}
}

func (r *runningCalls) remove(x *inflightCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, x)
}

func (r *runningCalls) list() []*inflightCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*inflightCall, 0, len(r.calls))
	for x := range r.calls {
		list = append(list, x)
	}
	return list
}

// RunningCall is a call that is being served, in the state dump.
type RunningCall struct {
	Request  string `json:"request"`
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	// AgeMS and DeadlineInMS are the times since the call began and until its caller stops
	// waiting, in ms.
	AgeMS        int64 `json:"ageMS"`
	DeadlineInMS int64 `json:"deadlineInMS"`
	Events       int64 `json:"events"`
}

// DumpState returns the calls that are being served for the state dump, the oldest first.
func (f *Forwarder) DumpState() []RunningCall {
	now := f.config.Clock()
	list := []RunningCall{}
	for _, x := range f.running.list() {
		c := RunningCall{
			Request: x.call.ID, Service: x.service, AgeMS: now.Sub(x.started).Milliseconds(),
			DeadlineInMS: x.deadline.Sub(now).Milliseconds(), Events: x.progress.events.Load(),
		}
		if endpoint := x.progress.endpoint.Load(); endpoint != nil {
			c.Endpoint = *endpoint
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b RunningCall) int { return cmp.Compare(b.AgeMS, a.AgeMS) })
	return list
}

// Running returns the number of calls that are being served.
func (f *Forwarder) Running() int { return len(f.running.list()) }

// LogUnfinished logs the calls that are still served when the time to shut down is over,
// and counts them.
func (f *Forwarder) LogUnfinished() {
	now := f.config.Clock()
	for _, x := range f.running.list() {
		f.metrics.unfinished.WithLabelValues(x.service).Inc()
		x.log().WithFields(x.arrivalFields()).WithFields(x.progressFields(now)).Warn("request still running at the time limit of the shutdown")
	}
}

func (x *inflightCall) progressFields(now time.Time) logrus.Fields {
	fields := logrus.Fields{
		"age_ms": now.Sub(x.started).Milliseconds(), "events": x.progress.events.Load(),
		"deadline_in_ms": x.deadline.Sub(now).Milliseconds(),
	}
	if endpoint := x.progress.endpoint.Load(); endpoint != nil {
		fields["endpoint"] = *endpoint
	}
	if sentAt := x.progress.sentAt.Load(); sentAt != nil {
		fields["sent_ago_ms"] = now.Sub(*sentAt).Milliseconds()
	}
	return fields
}

// arrivalFields describes the request's arrival, relative to the start of a shutdown if
// one has begun.
func (x *inflightCall) arrivalFields() logrus.Fields {
	a := x.call.Arrival
	fields := logrus.Fields{
		"connection_age_ms": a.ConnectionAge.Milliseconds(), "earlier_requests": a.EarlierRequests,
		"body_ms": a.BodyAt.Sub(a.HeadAt).Milliseconds(), "unread_ms": a.HeadAt.Sub(a.ReceivedAt).Milliseconds(),
	}
	if writtenAt := x.progress.writtenAt.Load(); writtenAt != nil {
		fields["written_ms"] = writtenAt.Sub(a.HeadAt).Milliseconds()
	}
	if elapsed, stopping := x.forwarder.config.Stop.Elapsed(); stopping {
		now := x.forwarder.config.Clock()
		fields["head_after_stop_ms"] = (elapsed - now.Sub(a.HeadAt)).Milliseconds()
		fields["body_after_stop_ms"] = (elapsed - now.Sub(a.BodyAt)).Milliseconds()
	}
	if d := x.progress.admission.Load(); d != nil {
		fields["admission"], fields["left_ms"], fields["expected_ms"] = d.Basis, d.Left.Milliseconds(), d.Expected.Milliseconds()
	}
	return fields
}
