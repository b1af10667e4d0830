package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"marblelane/internal/lab/cluster"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/scenario"
)

const (
	registryHeartbeatInterval = 100 * time.Millisecond // time between two heartbeats of a replica
	changeCallTimeout         = 5 * time.Second        // timeout of one change request
	maxChangeRetries          = 200
	changeRetryWait           = 50 * time.Millisecond
)

// Registry is a cluster of registry replicas, which run as processes, and a client that changes the stored data.
type Registry struct {
	*cluster.Cluster
	client *http.Client
}

// NewRegistry returns a registry with the number of replicas in the scenario's discovery section. The caller must call
// Close.
func NewRegistry(r *harness.Run) *Registry {
	config := &scenario.Registry{Replicas: r.Scenario.Discovery.RegistryReplicas, HeartbeatInterval: scenario.Duration(registryHeartbeatInterval)}
	return &Registry{Cluster: cluster.New(r, config),
		client: &http.Client{Transport: &http.Transport{}, Timeout: changeCallTimeout}}
}

// Close stops the replicas. It does not close the run.
func (r *Registry) Close() {
	r.client.CloseIdleConnections()
	r.Stop()
}

// Addrs returns the addresses of all replicas in rotation, beginning with replica number first.
func (r *Registry) Addrs(first int) []string {
	var addrs []string
	for k := range r.Replicas {
		addrs = append(addrs, r.Replicas[(first+k)%len(r.Replicas)].Address)
	}
	return addrs
}

// Change posts a change. While replicas respond with 503, it retries at the next replica, at most maxChangeRetries
// times. It returns the revision of the change and when the accepted request was started.
func (r *Registry) Change(ctx context.Context, path string, body any) (rev int64, calledAt time.Time, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, time.Time{}, err
	}
	for attempt := 0; ; attempt++ {
		calledAt = time.Now()
		status, text, err := r.post(ctx, r.Replicas[attempt%len(r.Replicas)].URL(path), data)
		if err != nil {
			return 0, time.Time{}, err
		}
		var response struct {
			Rev int64 `json:"rev"`
		}
		if status == http.StatusOK && json.Unmarshal(text, &response) == nil {
			return response.Rev, calledAt, nil
		}
		if status != http.StatusServiceUnavailable || attempt > maxChangeRetries || !harness.Sleep(ctx, changeRetryWait) {
			return 0, time.Time{}, fmt.Errorf("post %s: status %d %s: %s", path, status, http.StatusText(status),
				bytes.TrimSpace(text))
		}
	}
}

// post sends a POST request and returns the status and the body of the response.
func (r *Registry) post(ctx context.Context, url string, data []byte) (status int, text []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}
