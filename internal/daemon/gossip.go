package daemon

import (
	"time"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/demand"
	"bilberryslip.example/bilberryslip/internal/placement/owner"
)

// ownerDemand returns a function that converts the tracker's demand per model,
// summed over hosts, to the type of the placement owner.
func ownerDemand(tracker *demand.Tracker) func() map[string]owner.Demand {
	return func() map[string]owner.Demand {
		totals := tracker.ByModel()
		result := make(map[string]owner.Demand, len(totals))
		for model, total := range totals {
			result[model] = owner.Demand{TokensPerSecond: total.TokensPerSecond, Queued: int(total.Queued)}
		}
		return result
	}
}

// revisionHints passes the configuration revisions of peers to the
// configuration log, so that it can detect that a peer is ahead. It is a
// membership extension.
type revisionHints struct {
	log *config.Log
}

// FillRequest implements membership.Extension. It adds nothing: the digest of a
// host already contains its revision.
func (h *revisionHints) FillRequest(*peerv1.GossipRequest) {}

// HandleRequest implements membership.Extension.
func (h *revisionHints) HandleRequest(request *peerv1.GossipRequest, _ *peerv1.GossipResponse) {
	h.hint(request.GetSelf())
}

// HandleResponse implements membership.Extension.
func (h *revisionHints) HandleResponse(response *peerv1.GossipResponse, _ time.Time) {
	h.hint(response.GetSelf())
}

// Targets implements membership.Extension.
func (h *revisionHints) Targets() []string { return nil }

func (h *revisionHints) hint(from *peerv1.HostDigest) {
	h.log.ObservePeerRevision(from.GetConfigRevision())
}
