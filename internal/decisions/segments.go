package decisions

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

const (
	// maxSegmentBytes keeps a segment under the platform's limit of 1 MiB.
	maxSegmentBytes = 900 << 10
	// bucketLength is the time that segments with the same name prefix span.
	bucketLength = 10 * time.Minute
	// bucketLayout formats the start of a bucket, in UTC.
	bucketLayout = "200601021504"
	// sweepSpan is how far beyond the retention a starting recorder looks
	// for segments that nobody deleted.
	sweepSpan = 24 * time.Hour
	// flushTimeout limits the last write at shutdown.
	flushTimeout = 2 * time.Second
)

// segment is the stored form of a batch of decisions.
type segment struct {
	Host      string            `json:"host"`
	Decisions []json.RawMessage `json:"decisions"`
}

// sweepState is the next bucket whose segments are to be deleted. It is used
// by Serve alone.
type sweepState struct {
	next time.Time
}

func bucketPrefix(t time.Time) string {
	return t.UTC().Truncate(bucketLength).Format(bucketLayout) + "-"
}

// Serve implements suture.Service: it writes waiting decisions once per flush
// interval and deletes what is older than the retention.
func (r *Recorder) Serve(ctx context.Context) error {
	if r.cfg.Store == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(r.cfg.FlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.flushLast()
			return ctx.Err()
		case <-ticker.C:
			r.logFailure("write decisions", r.Flush(ctx))
			r.logFailure("delete old decisions", r.Sweep(ctx))
		}
	}
}

func (r *Recorder) logFailure(what string, err error) {
	if err != nil {
		logrus.WithError(err).WithField("action", what).Warn("decision segments")
	}
}

// flushLast writes what is left when the host leaves.
func (r *Recorder) flushLast() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for r.waiting() > 0 {
		if err := r.Flush(ctx); err != nil {
			r.logFailure("write decisions at shutdown", err)
			return
		}
	}
}

func (r *Recorder) waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// Flush writes one segment of the decisions that wait, oldest first, and
// nothing where none wait. A segment whose write has an unknown outcome is
// written again under another name: a query drops the repeated records.
func (r *Recorder) Flush(ctx context.Context) error {
	r.mu.Lock()
	waiting := r.pending
	r.mu.Unlock()
	if len(waiting) == 0 {
		return nil
	}
	value, count, err := encodeSegment(r.cfg.Host, waiting)
	if err != nil {
		return err
	}
	name := bucketPrefix(r.cfg.Now()) + r.cfg.Host + "-" + waiting[0].Id + "-" + uuid.NewString()[:8]
	_, err = r.cfg.Store.Create(ctx, objectstore.KindDecisionSegment, name, uuid.NewString(), value)
	if err != nil {
		return errors.Wrapf(err, "write decision segment %s", name)
	}
	r.metrics.segments.Inc()
	r.written(waiting[count-1].Id)
	return nil
}

// written removes the records up to the identifier from those that wait.
func (r *Recorder) written(lastID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > 0 && r.pending[0].Id <= lastID {
		r.pending = r.pending[1:]
	}
	r.stored = r.cfg.Now()
}

// encodeSegment returns a segment and how many of the decisions are in it.
func encodeSegment(host string, decisions []*apiv1.Decision) (json.RawMessage, int, error) {
	seg := segment{Host: host}
	size := 0
	for _, decision := range decisions {
		raw, err := protojson.Marshal(decision)
		if err != nil {
			return nil, 0, errors.Wrapf(err, "encode decision %s", decision.Id)
		}
		size += len(raw) + 1
		if size > maxSegmentBytes && len(seg.Decisions) > 0 {
			break
		}
		seg.Decisions = append(seg.Decisions, raw)
	}
	value, err := json.Marshal(seg)
	return value, len(seg.Decisions), errors.Wrap(err, "encode decision segment")
}

// QueryStored reads the segments of all hosts that match, newest first. Its
// time range is that of the request, limited to the retention.
func (r *Recorder) QueryStored(ctx context.Context, req *apiv1.DecisionsRequest) ([]*apiv1.Decision, error) {
	if r.cfg.Store == nil {
		return nil, nil
	}
	now := r.cfg.Now()
	oldest := now.Add(-r.cfg.Retention)
	if since := time.UnixMilli(req.GetSinceUnixMillis()); since.After(oldest) {
		oldest = since
	}
	found := make(map[string]*apiv1.Decision)
	for bucket := now; ; bucket = bucket.Add(-bucketLength) {
		if err := r.queryBucket(ctx, bucket, req, found); err != nil {
			return newestFirst(found, queryLimit(req)), err
		}
		if len(found) >= queryLimit(req) || bucket.Before(oldest) {
			return newestFirst(found, queryLimit(req)), nil
		}
	}
}

func (r *Recorder) queryBucket(ctx context.Context, bucket time.Time, req *apiv1.DecisionsRequest, found map[string]*apiv1.Decision) error {
	listing, err := r.cfg.Store.List(ctx, objectstore.KindDecisionSegment, bucketPrefix(bucket))
	if err != nil {
		return errors.Wrap(err, "list decision segments")
	}
	for _, obj := range listing.Items {
		decisions, err := decodeSegment(obj.Value)
		if err != nil {
			return errors.Wrapf(err, "segment %s", obj.Name)
		}
		for _, decision := range decisions {
			if matches(req, decision) {
				found[decision.Id] = decision
			}
		}
	}
	return nil
}

func decodeSegment(value json.RawMessage) ([]*apiv1.Decision, error) {
	var seg segment
	if err := json.Unmarshal(value, &seg); err != nil {
		return nil, errors.Wrap(err, "decode segment")
	}
	decisions := make([]*apiv1.Decision, 0, len(seg.Decisions))
	for i, raw := range seg.Decisions {
		decision := &apiv1.Decision{}
		if err := protojson.Unmarshal(raw, decision); err != nil {
			return nil, errors.Wrap(err, fmt.Sprintf("decode decision %d", i))
		}
		decisions = append(decisions, decision)
	}
	return decisions, nil
}

// Sweep deletes the segments of one bucket that is past the retention. All
// hosts sweep, so that a replaced host's segments go too.
func (r *Recorder) Sweep(ctx context.Context) error {
	limit := r.cfg.Now().Add(-r.cfg.Retention - bucketLength)
	if r.sweep.next.IsZero() {
		r.sweep.next = limit.Add(-sweepSpan)
	}
	if r.sweep.next.After(limit) {
		return nil
	}
	listing, err := r.cfg.Store.List(ctx, objectstore.KindDecisionSegment, bucketPrefix(r.sweep.next))
	if err != nil {
		return errors.Wrap(err, "list old decision segments")
	}
	for _, obj := range listing.Items {
		if err := r.deleteSegment(ctx, obj); err != nil {
			return err
		}
	}
	r.sweep.next = r.sweep.next.Add(bucketLength)
	return nil
}

// deleteSegment takes it as done where another host was first.
func (r *Recorder) deleteSegment(ctx context.Context, obj objectstore.Object) error {
	err := r.cfg.Store.Delete(ctx, obj.Kind, obj.Name, obj.Version)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	return errors.Wrapf(err, "delete decision segment %s", obj.Name)
}
