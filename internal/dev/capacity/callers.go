package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// callLoad is the load that callers offer to the measured entry.
type callLoad struct {
	Address        string
	Token          string
	Template       string
	TasksPerJob    int
	TasksPerSecond float64
}

// maxOpenCalls bounds the calls in flight. Further calls are skipped, because a
// load that the entry cannot take would measure the callers.
const maxOpenCalls = 512

// runCallers submits jobs at a fixed rate until ctx ends. It returns the number
// of tasks answered and the last error.
func runCallers(ctx context.Context, l callLoad) (answered int, err error) {
	if l.TasksPerSecond <= 0 {
		<-ctx.Done()
		return 0, nil
	}
	body, err := jobBody(l.Template, l.TasksPerJob)
	if err != nil {
		return 0, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOpenCalls}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(time.Duration(float64(time.Second) * float64(l.TasksPerJob) / l.TasksPerSecond))
	defer tick.Stop()
	open := make(chan struct{}, maxOpenCalls)
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return answered, err
		case <-tick.C:
		}
		select {
		case open <- struct{}{}:
		default:
			continue
		}
		wg.Go(func() {
			defer func() { <-open }()
			callErr := submit(ctx, client, l, body)
			mu.Lock()
			defer mu.Unlock()
			if callErr == nil {
				answered += l.TasksPerJob
			} else if ctx.Err() == nil {
				err = callErr
			}
		})
	}
}

func jobBody(template string, tasks int) ([]byte, error) {
	type task struct {
		Name string `json:"name"`
	}
	job := struct {
		Template string `json:"template"`
		Tasks    []task `json:"tasks"`
	}{Template: template}
	for range tasks {
		job.Tasks = append(job.Tasks, task{taskName})
	}
	return json.Marshal(job)
}

func submit(ctx context.Context, client *http.Client, l callLoad, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Address+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+l.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("capacity: POST /v1/jobs: got status %d, want 200: %.200s", resp.StatusCode, answer)
	}
	return nil
}
