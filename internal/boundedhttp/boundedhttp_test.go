package boundedhttp

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestBodiesEndAtTheBound(t *testing.T) {
	const limit = 1000
	for length, wantError := range map[int]bool{0: false, limit - 1: false, limit: false, limit + 1: true, 100 * limit: true} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", length))
		}))
		client := &http.Client{Transport: &Transport{Base: http.DefaultTransport, Limit: limit}}
		response, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		server.Close()
		var tooLarge *TooLargeError
		if errors.As(err, &tooLarge) != wantError || err != nil && !wantError {
			t.Errorf("%d bytes: error %v", length, err)
		}
		if len(body) != min(length, limit) {
			t.Errorf("%d bytes: read %d", length, len(body))
		}
	}
}
