package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var start = time.Unix(1000, 0)

func request(organisation string, class Class, tokens float64) Request {
	return Request{Organisation: organisation, Class: class, Pool: "p", Resource: "m", Tokens: tokens}
}

// slots returns a pick function that starts n requests and then reports Full.
func slots(n int) func(*Ticket) Verdict {
	return func(*Ticket) Verdict {
		if n == 0 {
			return Full
		}
		n--
		return Start
	}
}

func organisations(tickets []*Ticket) string {
	var names string
	for _, ticket := range tickets {
		names += ticket.Organisation
	}
	return names
}

var _ = Describe("Queue", func() {
	offer := func(q *Queue, now time.Time, req Request) *Ticket {
		ticket, refusal := q.Offer(now, req)
		Expect(refusal).To(BeNil())
		return ticket
	}

	It("shares starts by tokens and weight, interactive before batch", func() {
		q := New(Config{})
		for range 6 {
			offer(q, start, request("a", Interactive, 100))
			offer(q, start, request("b", Interactive, 50))
			offer(q, start, request("c", Batch, 1))
		}
		started, _ := q.Dispatch(start, slots(9))
		Expect(organisations(started)).To(Equal("abbabbabb"))
		started, _ = q.Dispatch(start, slots(100))
		Expect(organisations(started)).To(Equal("aaacccccc"))
	})

	It("rejects a request at once that can't start by its deadline, and returns a retry time", func() {
		q := New(Config{})
		now := start
		for range 20 {
			offer(q, now, request("a", Interactive, 100))
		}
		for range 10 { // 100 tokens a second
			now = now.Add(time.Second)
			q.Dispatch(now, slots(1))
		}
		req := request("a", Interactive, 100)
		req.Deadline = now.Add(4 * time.Second)
		_, refusal := q.Offer(now, req)
		Expect(refusal.Reason).To(Equal(ReasonDeadline))
		Expect(refusal.RetryAfter).To(BeNumerically("~", 6*time.Second, time.Second))
		req.Organisation, req.Deadline = "b", now.Add(2*time.Second)
		offer(q, now, req) // fair queueing starts it in time
	})

	It("rejects a request for an absent resource only at its deadline, and does not block other requests", func() {
		q := New(Config{})
		absent := request("a", Interactive, 1)
		absent.Resource, absent.Deadline = "absent", start.Add(time.Second)
		offer(q, start, absent)
		offer(q, start, request("a", Interactive, 1))
		pick := func(ticket *Ticket) Verdict {
			if ticket.Resource == "absent" {
				return Stalled
			}
			return Start
		}
		started, refused := q.Dispatch(start, pick)
		Expect(started).To(HaveLen(1))
		Expect(refused).To(BeEmpty())
		_, refused = q.Dispatch(start.Add(time.Second), pick)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Refusal.Reason).To(Equal(ReasonNoEndpoint))
	})

	It("limits each organisation's queue without limiting others", func() {
		q := New(Config{PerOrganisation: 2})
		offer(q, start, request("a", Interactive, 1))
		offer(q, start, request("a", Interactive, 1))
		_, refusal := q.Offer(start, request("a", Interactive, 1))
		Expect(refusal.Reason).To(Equal(ReasonOrganisationQueueFull))
		offer(q, start, request("b", Interactive, 1))
	})
})

// TestQueueEndsEachRequestOnce checks that every request is started, rejected or
// cancelled exactly once, that the queue stays within its bounds and that an
// organisation's requests of one class for one resource start in arrival order.
func TestQueueEndsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{PerOrganisation: 5, Total: 12})
		now, ends := start, make(map[*Ticket]int)
		var waiting []*Ticket
		last := make(map[string]time.Time)
		end := func(ticket *Ticket) {
			ends[ticket]++
			if ends[ticket] > 1 {
				t.Fatalf("a request ended twice")
			}
			for i, other := range waiting {
				if other == ticket {
					waiting = append(waiting[:i:i], waiting[i+1:]...)
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				req := request(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Class(rapid.IntRange(0, 1).Draw(t, "class")), float64(rapid.IntRange(0, 1000).Draw(t, "tokens")))
				req.Deadline = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond)
				if ticket, refusal := q.Offer(now, req); refusal == nil {
					waiting = append(waiting, ticket)
				} else if refusal.RetryAfter < time.Second {
					t.Fatalf("retry after %s", refusal.RetryAfter)
				}
			case 1:
				started, refused := q.Dispatch(now, slots(rapid.IntRange(0, 4).Draw(t, "slots")))
				for _, ticket := range started {
					key := fmt.Sprint(ticket.Organisation, ticket.Class)
					if ticket.Offered.Before(last[key]) {
						t.Fatalf("a request started before one that was queued earlier")
					}
					last[key] = ticket.Offered
					end(ticket)
					q.Finish(ticket, float64(rapid.IntRange(-5, 2000).Draw(t, "used")))
				}
				for _, r := range refused {
					end(r.Ticket)
				}
			case 2:
				if len(waiting) > 0 {
					ticket := rapid.SampledFrom(waiting).Draw(t, "cancelled")
					q.Cancel(ticket)
					q.Cancel(ticket)
					end(ticket)
				}
			}
			if q.Len() != len(waiting) || q.Len() > 12 {
				t.Fatalf("%d requests are queued, Len returns %d", len(waiting), q.Len())
			}
		}
	})
}
