package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/admission"
	"bilberryslip.example/bilberryslip/internal/claims"
	"bilberryslip.example/bilberryslip/internal/gateway"
	"bilberryslip.example/bilberryslip/internal/httpserver"
	"bilberryslip.example/bilberryslip/internal/placement/owner"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
	"bilberryslip.example/bilberryslip/internal/shares"
)

// localDemand returns the demand for models at this host's gateway, or nil
// before the gateway is built: it is built after the demand tracker, which
// calls this function.
func (h *host) localDemand() []*peerv1.Demand {
	if h.gateway == nil {
		return nil
	}
	return h.gateway.Demand()
}

// buildLimits builds the components that limit the callers' requests: the rate
// shares and the claims of non-repeatable requests.
func (h *host) buildLimits() {
	h.shares = shares.New(shares.Config{
		Store:   h.platform,
		Source:  h.log,
		Members: h.members,
		Peers:   h.pool,
		Limiter: ratelimit.Config{Lease: ratelimit.LeaseConfig{
			Short:         h.settings.Shares.Lease.Std(),
			Floor:         h.settings.Shares.FloorLease.Std(),
			Long:          h.settings.Shares.LongLease.Std(),
			FloorFraction: h.settings.Shares.FloorFraction,
		}},
	})
	h.members.Extend(h.shares)
	h.claimStore = claims.NewStore(claims.StoreConfig{
		ObjectStore: h.platform,
		Self:        claims.Owner{Host: h.settings.Host.Name, Incarnation: h.incarnation},
		Alive:       h.directory.alive,
		Retention:   h.settings.Claims.Retention.Std(),
	})
}

func (h *host) buildGateway() {
	h.gateway = gateway.New(gateway.Config{
		Source:                  h.log,
		Limiter:                 h.shares,
		Claims:                  h.claimStore,
		Endpoints:               h.endpoints,
		Recorder:                h.recorder,
		ConfigProvenAt:          h.log.ProvenAt,
		Zone:                    h.settings.Host.Zone,
		Seed:                    h.seed(),
		Admission:               admission.Config{Total: h.settings.Callers.MaxQueued},
		RequestTimeout:          h.settings.Callers.RequestTimeout.Std(),
		MaxBodyBytes:            h.settings.Callers.MaxBodyBytes,
		FirstByteTimeout:        h.settings.Endpoints.FirstByteTimeout.Std(),
		ProgressTimeout:         h.settings.Endpoints.ProgressTimeout.Std(),
		ServiceFirstByteTimeout: h.settings.Endpoints.FirstByteTimeout.Std(),
		Stop:                    h.stop,
	})
}

// newDump returns the state dump with one section per component.
func (h *host) newDump() *stateDump {
	return &stateDump{sections: []dumpSection{
		{"config", dumpFunc(h.dumpConfig)},
		{"readiness", dumpFunc(func() any { return h.ready.state() })},
		{"membership", h.members},
		{"shares", h.shares},
		{"claims", h.claimStore},
		{"lease", h.lease},
		{"placement", h.owner},
		{"demand", h.demand},
		{"endpoints", h.endpoints},
		{"gateway", h.gateway},
		{"stop", dumpFunc(func() any { return h.stop.DumpState() })},
		{"decisions", h.recorder},
	}}
}

// configState is the configuration section of the state dump.
type configState struct {
	Revision int64 `json:"revision"`
	Loaded   bool  `json:"loaded"`
	// FreshAgeMillis is the time since the revision was last verified to be the
	// latest, or -1 if it never was.
	FreshAgeMillis    int64 `json:"freshAgeMillis"`
	PlatformAvailable bool  `json:"platformAvailable"`
	// PlatformResponseAgeMillis is the time since the platform last responded, or
	// -1 if it never did.
	PlatformResponseAgeMillis int64 `json:"platformAnswerAgeMillis"`
}

func (h *host) dumpConfig() any {
	availability := h.platform.Availability()
	return configState{
		Revision:                  h.log.Current().Revision(),
		Loaded:                    h.log.Loaded(),
		FreshAgeMillis:            ageMillis(h.log.ProvenAt()),
		PlatformAvailable:         availability.Available,
		PlatformResponseAgeMillis: ageMillis(availability.LastResponse),
	}
}

// server returns a supervised HTTP server without TLS.
func (h *host) server(name string, listener net.Listener, handler http.Handler) *httpserver.Server {
	return httpserver.New(httpserver.Config{Name: name, Listener: listener, Handler: handler})
}

// tlsServer returns a supervised HTTP server that uses TLS if the settings name
// a certificate, and takes part in the shutdown unless that is nil.
func (h *host) tlsServer(name string, listener net.Listener, handler http.Handler, shutdown httpserver.Shutdown) *httpserver.Server {
	config := httpserver.Config{Name: name, Listener: listener, Handler: handler, Shutdown: shutdown}
	if files := h.settings.TLS; files.CertificateFile != "" {
		config.TLS = &httpserver.Certificate{CertificateFile: files.CertificateFile, KeyFile: files.KeyFile}
	}
	return httpserver.New(config)
}

// forgetter releases the resources held by a host that an operator declares
// dead.
type forgetter struct {
	shares *shares.Service
	owner  *owner.Owner
}

// ForgetHost implements admin.Forgetter.
func (f forgetter) ForgetHost(ctx context.Context, host, operator string) error {
	logrus.WithFields(logrus.Fields{"forgotten": host, "operator": operator}).Warn("host declared dead by an operator")
	// This call comes first because it fails for a host that is alive, whose
	// orders must not be marked as ended.
	if err := f.shares.ForgetHost(ctx, host); err != nil {
		return err
	}
	return f.owner.ForgetHost(ctx, host)
}
