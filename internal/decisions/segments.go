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
	// maxSegmentBytes is the maximum size of a segment's records. It leaves
	// room below the platform's limit of 1 MiB per object.
	maxSegmentBytes = 900 << 10
	// bucketLength is the time range covered by the segments that share a name
	// prefix.
	bucketLength = 10 * time.Minute
	// bucketLayout is the time layout of a bucket's start, in UTC.
	bucketLayout = "200601021504"
	// sweepSpan is how far back beyond the retention a newly started recorder
	// looks for segments that no host has deleted.
	sweepSpan = 24 * time.Hour
	// flushTimeout bounds the final flush at shutdown.
	flushTimeout = 2 * time.Second
)

// segment is the stored form of a batch of decisions.
type segment struct {
	Host      string            `json:"host"`
	Decisions []json.RawMessage `json:"decisions"`
}

// sweepState holds the start of the next bucket to delete. It is not guarded
// by a mutex: only Serve uses it.
type sweepState struct {
	next time.Time
}

func bucketPrefix(t time.Time) string {
	return t.UTC().Truncate(bucketLength).Format(bucketLayout) + "-"
}

// Serve implements suture.Service. Once per flush interval it writes the
// queued decisions and deletes segments older than the retention. When ctx
// ends, it flushes the queue.
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
			r.flushRemaining()
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

// flushRemaining writes the queued decisions at shutdown, within flushTimeout.
func (r *Recorder) flushRemaining() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for r.queueLength() > 0 {
		if err := r.Flush(ctx); err != nil {
			r.logFailure("write decisions at shutdown", err)
			return
		}
	}
}

func (r *Recorder) queueLength() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// Flush writes one segment with the oldest queued decisions; it does nothing
// if the queue is empty. After a write with an unknown outcome, the next Flush
// writes the same decisions under another name; queries drop the duplicates.
func (r *Recorder) Flush(ctx context.Context) error {
	r.mu.Lock()
	queued := r.pending
	r.mu.Unlock()
	if len(queued) == 0 {
		return nil
	}
	value, count, err := encodeSegment(r.cfg.Host, queued)
	if err != nil {
		return err
	}
	name := bucketPrefix(r.cfg.Now()) + r.cfg.Host + "-" + queued[0].Id + "-" + uuid.NewString()[:8]
	_, err = r.cfg.Store.Create(ctx, objectstore.KindDecisionSegment, name, uuid.NewString(), value)
	if err != nil {
		return errors.Wrapf(err, "write decision segment %s", name)
	}
	r.metrics.segments.Inc()
	r.markWritten(queued[count-1].Id)
	return nil
}

// markWritten removes the decisions up to and including lastID from the queue.
func (r *Recorder) markWritten(lastID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > 0 && r.pending[0].Id <= lastID {
		r.pending = r.pending[1:]
	}
	r.lastFlush = r.cfg.Now()
}

// encodeSegment encodes as many of the decisions, from the first, as fit into
// one segment, and returns the segment and their number.
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

// QueryStored returns the matching decisions in the segments of all hosts,
// newest first, up to the request's limit. It searches the request's time
// range, but not further back than the retention. On an error it also returns
// the decisions found so far.
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
			r.mu.Lock()
			r.ignored.Add(obj, err)
			r.mu.Unlock()
			continue
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

// Sweep deletes the segments, of any host, in the oldest bucket that is past
// the retention and not swept yet. All hosts sweep, so that the segments of
// replaced hosts are deleted too.
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

// deleteSegment deletes a segment. It is not an error if another host has
// already deleted it.
func (r *Recorder) deleteSegment(ctx context.Context, obj objectstore.Object) error {
	err := r.cfg.Store.Delete(ctx, obj.Kind, obj.Name, obj.Version)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	return errors.Wrapf(err, "delete decision segment %s", obj.Name)
}
