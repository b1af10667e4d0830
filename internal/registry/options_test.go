package registry

import (
	"net/http"
	"net/url"
	"testing"
)

// Guards against a success that no handler has given: a library below the handler answers OPTIONS * by itself.
func TestNode_generalOptions(t *testing.T) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	general := &url.URL{Scheme: "http", Host: cluster(t, 1, nil)[0].cfg.Listen, Opaque: "*"}
	resp, err := client.Do(&http.Request{Method: http.MethodOptions, URL: general})
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest {
		t.Errorf("%s, want status %d", resp.Status, http.StatusBadRequest)
	}
}
