package cli

import (
	"context"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/responsehead"
	"bilberryslip.example/bilberryslip/internal/socket"
)

// attemptTimeout bounds the attempt at one host.
const attemptTimeout = 8 * time.Second

// client sends each request to the configured hosts in turn until one responds.
type client struct {
	admins []apiv1.Admin
	header http.Header
}

// newTransport returns a transport that takes neither a malformed head for a response nor a
// reset for its end.
func newTransport() http.RoundTripper {
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.DialContext = socket.DialRequests(base.DialContext)
	return responsehead.NewTransport(base)
}

func newClient(servers []string, tokenFile string) (*client, error) {
	c := &client{header: make(http.Header)}
	if tokenFile != "" {
		token, err := os.ReadFile(tokenFile)
		if err != nil {
			return nil, &usageFault{errors.Wrap(err, "read the operator token")}
		}
		c.header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	httpClient := &http.Client{Transport: newTransport(), Timeout: attemptTimeout}
	for _, list := range servers {
		for _, server := range strings.Split(list, ",") {
			c.admins = append(c.admins, apiv1.NewAdminProtobufClient(server, httpClient))
		}
	}
	return c, nil
}

// call tries the hosts in turn until one responds, also with an error. Every
// request that writes carries a change identifier, so that a retry at another
// host takes effect at most once.
func call[T any](ctx context.Context, c *client, do func(ctx context.Context, admin apiv1.Admin) (T, error)) (T, error) {
	var result T
	if len(c.admins) == 0 {
		return result, &usageFault{errors.New("no host is named; pass --server or set BILBERRYSLIP_SERVER")}
	}
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, c.header)
	if err != nil {
		return result, errors.Wrap(err, "prepare the request")
	}
	for _, admin := range c.admins {
		result, err = do(ctx, admin)
		var transport *url.Error
		if err == nil || !errors.As(err, &transport) {
			return result, err
		}
	}
	return result, twirp.NewError(twirp.Unavailable, "no host answered: "+err.Error()+"; check --server and the hosts' health")
}
