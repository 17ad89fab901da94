package reach

import (
	"testing"
	"time"
)

// pathDriver plays checks of a path each tickInterval.
type pathDriver struct {
	t    *testing.T
	path Path
	now  time.Time
}

func newPathDriver(t *testing.T) *pathDriver {
	return &pathDriver{t: t, now: time.Unix(1000, 0)}
}

// check plays a check that takes a short time.
func (d *pathDriver) check(c Check) {
	c.StartedAt = d.now
	d.now = d.now.Add(10 * time.Millisecond)
	d.path.RecordCheck(d.now, c)
}

// checks plays checks for a length of time.
func (d *pathDriver) checks(length time.Duration, c Check) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.check(c)
		d.now = d.now.Add(tickInterval - 10*time.Millisecond)
	}
}

func (d *pathDriver) expect(want State) {
	d.t.Helper()
	if got := d.path.State(); got != want {
		d.t.Fatalf("state %v, want %v", got, want)
	}
}

var (
	answered = Check{Answered: 1}
	silent   = Check{Silent: 3}
	refused  = Check{Refused: 3}
)

// Guards against taking a service whose endpoints are all silent for a moment for a cut.
func TestPathOfSilentEndpointsIsNotCut(t *testing.T) {
	d := newPathDriver(t)
	d.checks(1500*time.Millisecond, silent)
	d.expect(Suspect)
	d.check(answered)
	d.expect(Direct)
}

// Guards against waiting for endpoints that this host does not reach.
func TestPathIsCutOnceSilenceLastsTooLong(t *testing.T) {
	d := newPathDriver(t)
	d.checks(silentFor+tickInterval, silent)
	d.expect(Cut)
	d.check(answered)
	d.expect(Direct)
}

func TestPathIsCutOnceAllConnectionsAreRefused(t *testing.T) {
	d := newPathDriver(t)
	d.checks(refusedFor/2, refused)
	d.expect(Suspect)
	d.checks(refusedFor, refused)
	d.expect(Cut)
}

// Guards against taking endpoints for unreached that only answer new connections late.
func TestPathOfSlowEndpointsStaysDirect(t *testing.T) {
	d := newPathDriver(t)
	for range 20 {
		d.path.RecordReceived(d.now.Add(5 * time.Millisecond))
		d.check(silent)
		d.expect(Direct)
	}
}

func TestPathIsCutOnceAPeerReachesWhatThisHostDoesNot(t *testing.T) {
	d := newPathDriver(t)
	d.check(refused)
	d.path.RecordViaPeer(d.now)
	d.expect(Suspect)
	d.check(refused)
	d.expect(Cut)
}

// Guards against a cut that is never confirmed on a busy host, where responses arrive by way
// of peers all the time, also during each check.
func TestPathIsCutWhilePeersBringResponsesAllTheTime(t *testing.T) {
	d := newPathDriver(t)
	d.check(silent)
	for range 3 {
		d.path.RecordViaPeer(d.now)
		c := silent
		c.StartedAt = d.now
		d.now = d.now.Add(checkTimeout)
		d.path.RecordViaPeer(d.now)
		d.path.RecordCheck(d.now, c)
	}
	if !d.path.Confirmed() {
		t.Fatalf("state %v, not confirmed", d.path.State())
	}
}

// Guards against taking endpoints that wake up for a cut, since the first answer may
// arrive by way of a peer.
func TestPathIsNotCutIfEndpointsAnswerBothWaysAgain(t *testing.T) {
	d := newPathDriver(t)
	d.checks(time.Second, silent)
	d.path.RecordViaPeer(d.now)
	d.check(answered)
	d.expect(Direct)
}

// Guards against changing ways each second with a path that fails each second.
func TestConfirmedCutEndsOnlyAfterThePathHeld(t *testing.T) {
	d := newPathDriver(t)
	d.check(refused)
	d.path.RecordViaPeer(d.now)
	for range 5 {
		d.checks(time.Second, refused)
		d.expect(Cut)
		d.checks(time.Second, answered)
		d.expect(Suspect)
	}
	d.checks(settleTime, answered)
	d.expect(Direct)
}

// Guards against sending directly again because one of many endpoints answers, as after a
// cut from all endpoints but those of a zone.
func TestConfirmedCutGoesOnWhileMostEndpointsDoNotAnswer(t *testing.T) {
	d := newPathDriver(t)
	d.check(refused)
	d.path.RecordViaPeer(d.now)
	d.check(refused)
	d.expect(Cut)
	d.checks(5*time.Second, Check{Answered: 1, Silent: 2})
	// The endpoint that answers may be used if no peer can be asked.
	d.expect(Suspect)
	d.checks(settleTime+tickInterval, Check{Answered: 2, Silent: 1})
	d.expect(Direct)
}
