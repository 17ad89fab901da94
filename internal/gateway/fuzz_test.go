package gateway

import (
	"encoding/json"
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// FuzzCompletionBody checks that every accepted body has valid token counts, and
// that the request to the engine is valid and within the model's token limit.
func FuzzCompletionBody(f *testing.F) {
	for _, body := range []string{
		`{"model":"m","prompt":"x","max_tokens":3,"stop":["a"],"user":"u"}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":null,"tool_calls":[]}],"max_tokens":-1e308}`,
		`{"model":"m","prompt":["x"],"n":1e1,"tools":0,"MODEL":"n"}`,
		`{"model":"m","prompt":"\ud800","max_tokens":2147483648}`, `[`, `null`, `{"a":` + strings.Repeat("[", 100),
	} {
		f.Add([]byte(body), true)
		f.Add([]byte(body), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, failure := parseCompletion(body, chat)
		if failure == nil {
			failure = c.limit(1000, 100)
		}
		if failure != nil {
			if failure.Status != http.StatusBadRequest || failure.Run != RunStateNotRun || failure.Message == "" {
				t.Fatalf("%+v", failure)
			}
			return
		}
		if c.maxTokens < 1 || c.promptTokens() < 0 || c.tokens() > 1000 {
			t.Fatalf("%d + %d tokens", c.promptTokens(), c.maxTokens)
		}
		sent, err := c.engineBody(target{model: &apiv1.Model{Name: "m", ServingVersion: "v"}})
		if err != nil {
			t.Fatal(err)
		}
		var engine engineRequest
		if err := json.Unmarshal(sent, &engine); err != nil || engine.Model != "m" || !engine.Stream || engine.MaxTokens != c.maxTokens {
			t.Fatalf("%s: %v", sent, err)
		}
	})
}

// FuzzServicePath checks that an accepted path has only one interpretation, so
// that the check of the route can't be bypassed.
func FuzzServicePath(f *testing.F) {
	for _, p := range []string{"/a", "/a/../b", "/a%2fb", "/a/%2e%2e/b", "//b", "/a\\b", "/%", "/a;b/c?d=e;f", "/a/", "/a|b\"", "/%61", "/\xff?"} {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		u, err := url.ParseRequestURI("/services/registry" + raw)
		if err != nil || !strings.HasPrefix(u.EscapedPath(), "/services/registry/") {
			return
		}
		clean, ok := cleanPath(u)
		if !ok {
			return
		}
		if asSent, _, _ := strings.Cut(raw, "?"); clean != asSent {
			t.Fatalf("%q is passed on as %q", asSent, clean)
		}
		sent, err := url.ParseRequestURI(clean)
		if err != nil {
			t.Fatalf("%q is accepted but can't be parsed: %v", clean, err)
		}
		if normal := path.Clean(sent.Path); normal != strings.TrimSuffix(sent.Path, "/") && sent.Path != "/" || strings.Count(sent.Path, "/") != strings.Count(clean, "/") {
			t.Fatalf("%q may be interpreted as %q", clean, normal)
		}
	})
}

// FuzzBearer checks that only a single well-formed header yields a key.
func FuzzBearer(f *testing.F) {
	f.Add("Bearer x", "")
	f.Add("bearer  x ", "Bearer y")
	f.Add("Basic x", "")
	f.Fuzz(func(t *testing.T, first, second string) {
		header := http.Header{"Authorization": {first}}
		if second != "" {
			header.Add("Authorization", second)
		}
		secret, failure := bearerToken(header)
		if (failure == nil) != (secret != "") || failure == nil && second != "" {
			t.Fatalf("%q %v", secret, failure)
		}
	})
}
