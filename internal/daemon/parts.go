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

// localDemand returns the demand that this host's gateway sees. The gateway
// is built after the parts that ask for it.
func (h *host) localDemand() []*peerv1.Demand {
	if h.gateway == nil {
		return nil
	}
	return h.gateway.Demand()
}

// buildLimits builds the parts that bound what callers may run.
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
	h.book = claims.NewStore(claims.StoreConfig{
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
		Claims:                  h.book,
		Endpoints:               h.endpoints,
		Recorder:                h.recorder,
		Freshness:               h.log.Freshness,
		Zone:                    h.settings.Host.Zone,
		Seed:                    h.seed(),
		Admission:               admission.Config{Total: h.settings.Callers.MaxQueued},
		RequestTimeout:          h.settings.Callers.RequestTimeout.Std(),
		MaxBodyBytes:            h.settings.Callers.MaxBodyBytes,
		FirstByteTimeout:        h.settings.Endpoints.FirstByteTimeout.Std(),
		ProgressTimeout:         h.settings.Endpoints.ProgressTimeout.Std(),
		ServiceFirstByteTimeout: h.settings.Endpoints.FirstByteTimeout.Std(),
		StopAccepting:           func(ctx context.Context) { h.callers.StopAccepting(ctx) },
	})
}

// newDump lists the parts whose state is dumped.
func (h *host) newDump() *stateDump {
	return &stateDump{sections: []dumpSection{
		{"config", dumpFunc(h.dumpConfig)},
		{"readiness", dumpFunc(func() any { return h.ready.state() })},
		{"membership", h.members},
		{"shares", h.shares},
		{"claims", h.book},
		{"lease", h.lease},
		{"placement", h.owner},
		{"demand", h.demand},
		{"endpoints", h.endpoints},
		{"gateway", h.gateway},
		{"decisions", h.recorder},
	}}
}

// configState is the configuration in the state dump.
type configState struct {
	Revision int64 `json:"revision"`
	Loaded   bool  `json:"loaded"`
	// FreshAgeMillis is how long ago the revision was certainly the latest.
	FreshAgeMillis    int64 `json:"freshAgeMillis"`
	PlatformAvailable bool  `json:"platformAvailable"`
	// PlatformAnswerAgeMillis is how long ago the platform last answered.
	PlatformAnswerAgeMillis int64 `json:"platformAnswerAgeMillis"`
}

func (h *host) dumpConfig() any {
	availability := h.platform.Availability()
	return configState{
		Revision:                h.log.Current().Revision(),
		Loaded:                  h.log.Loaded(),
		FreshAgeMillis:          ageMillis(h.log.Freshness()),
		PlatformAvailable:       availability.Available,
		PlatformAnswerAgeMillis: ageMillis(availability.LastResponse),
	}
}

// server returns the service of a plain HTTP address.
func (h *host) server(name string, listener net.Listener, handler http.Handler) *httpserver.Server {
	return httpserver.New(httpserver.Config{Name: name, Listener: listener, Handler: handler})
}

// tlsServer returns the service of an address that has TLS where the settings
// name a certificate.
func (h *host) tlsServer(name string, listener net.Listener, handler http.Handler) *httpserver.Server {
	config := httpserver.Config{Name: name, Listener: listener, Handler: handler}
	if files := h.settings.TLS; files.CertificateFile != "" {
		config.TLS = &httpserver.Certificate{CertificateFile: files.CertificateFile, KeyFile: files.KeyFile}
	}
	return httpserver.New(config)
}

// forgetter frees what a dead host held, for operators.
type forgetter struct {
	shares *shares.Service
	owner  *owner.Owner
}

// ForgetHost implements admin.Forgetter.
func (f forgetter) ForgetHost(ctx context.Context, host, operator string) error {
	logrus.WithFields(logrus.Fields{"forgotten": host, "operator": operator}).Warn("host declared dead by an operator")
	// The shares refuse a host that is alive; its orders must not be ended.
	if err := f.shares.ForgetHost(ctx, host); err != nil {
		return err
	}
	return f.owner.ForgetHost(ctx, host)
}
