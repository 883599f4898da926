package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"chicorytray.example/chicorytray/internal/upstreamstub"
)

const (
	// demoTasks is the number of tasks of the demonstration's job.
	demoTasks = 40
	// The service time of task i is demoMinService + i*demoServiceStep.
	demoMinService  = 50 * time.Millisecond
	demoServiceStep = 10 * time.Millisecond
	// demoTimeout bounds the submission of the job and the wait for its answer.
	demoTimeout = 20 * time.Second
	// demoPrintedResults is the number of results that Demo prints.
	demoPrintedResults = 5
)

// demoRequest is the body of POST /v1/jobs.
type demoRequest struct {
	Template string         `json:"template"`
	Tasks    []demoTaskBody `json:"tasks"`
}

type demoTaskBody struct {
	Name string `json:"name"`
	Body string `json:"body"`
}

type demoAnswer struct {
	Job     string `json:"job"`
	Results []struct {
		Name   string `json:"name"`
		Status int    `json:"status"`
		Body   string `json:"body"`
	} `json:"results"`
}

func demoJob(l Layout) demoRequest {
	req := demoRequest{Template: l.Names.Interactive}
	for i := range demoTasks {
		service := demoMinService + time.Duration(i)*demoServiceStep
		task := upstreamstub.Request{Key: fmt.Sprintf("demo.%d", i), ServiceMS: float64(service.Milliseconds())}
		req.Tasks = append(req.Tasks, demoTaskBody{Name: l.Names.Tasks[i%len(l.Names.Tasks)], Body: task.Encode()})
	}
	return req
}

// Demo submits a job of 40 tasks to the first entry as a caller does. It prints
// the answer and the starts that the upstreams recorded, and returns an error
// if the answer is not complete or a task was started more than once.
func Demo(ctx context.Context, d *Deployment, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	l := d.Layout()
	fmt.Fprintf(w, "deployment %s: %d workers with %d slots each in %d data centres, %d entries\n",
		l.Name, l.Workers, l.Slots, len(l.DataCentres), l.Entries)
	body, err := json.Marshal(demoJob(l))
	if err != nil {
		return err
	}
	to := d.Endpoints()[0]
	fmt.Fprintf(w, "POST http://%s/v1/jobs: template %s, %d tasks of %s to %s\n", to.Callers, l.Names.Interactive,
		demoTasks, demoMinService, demoMinService+(demoTasks-1)*demoServiceStep)
	begin := time.Now()
	status, data, err := d.postJob(ctx, to, body)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%d after %s\n", status, time.Since(begin).Round(time.Millisecond))
	if status != http.StatusOK {
		return fmt.Errorf("POST /v1/jobs: got status %d, want 200: %s", status, data)
	}
	var a demoAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return fmt.Errorf("POST /v1/jobs: answer is not JSON: %w", err)
	}
	if err := checkDemo(a, d.Record().Duplicates()); err != nil {
		return err
	}
	printAnswer(w, a)
	printStarts(w, d.Record().Starts())
	return nil
}

func (d *Deployment) postJob(ctx context.Context, to Endpoint, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Callers+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+Token(d.layout.Names.PublicAccount))
	req.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return d.DialAsCaller(ctx, address)
	}}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

func checkDemo(a demoAnswer, duplicates []string) error {
	if len(a.Results) != demoTasks {
		return fmt.Errorf("POST /v1/jobs: answer has %d results, want %d", len(a.Results), demoTasks)
	}
	if len(duplicates) > 0 {
		return fmt.Errorf("tasks started more than once: %v", duplicates)
	}
	return nil
}

func printAnswer(w io.Writer, a demoAnswer) {
	fmt.Fprintf(w, "job %s: %d results\n", a.Job, len(a.Results))
	for i, r := range a.Results {
		if i == demoPrintedResults {
			fmt.Fprintf(w, "  ... and %d more\n", len(a.Results)-demoPrintedResults)
			break
		}
		fmt.Fprintf(w, "  %d %s: %d %s\n", i, r.Name, r.Status, r.Body)
	}
}

// printStarts prints the number of starts and their service time at each
// stand-in upstream.
func printStarts(w io.Writer, starts []upstreamstub.Start) {
	type group struct{ dataCentre, upstream string }
	count, work := map[group]int{}, map[group]time.Duration{}
	for _, s := range starts {
		g := group{s.DataCentre, s.Upstream}
		count[g]++
		work[g] += s.Service
	}
	var groups []group
	for g := range count {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b group) int {
		return slices.Compare([]string{a.dataCentre, a.upstream}, []string{b.dataCentre, b.upstream})
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "starts counted at the upstreams:\ndata centre\tworker\tstarts\ttask-seconds")
	for _, g := range groups {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.2f\n", g.dataCentre, g.upstream, count[g], work[g].Seconds())
	}
	_ = t.Flush()
}

// PrintExampleCommands prints example commands for newcomers to try on the deployment.
func PrintExampleCommands(d *Deployment, w io.Writer) {
	l, first := d.Layout(), d.Endpoints()[0]
	token := Token(l.Names.PublicAccount)
	fmt.Fprintf(w, `
The deployment stays up until interrupted. Try:
  curl -si -H 'Authorization: Bearer %[1]s' -d '{"template":"%[2]s"}' http://%[3]s/v1/jobs
  curl -si -H 'Authorization: Bearer %[1]s' -d '{"service_ms":200}' http://%[3]s/v1/requests/%[4]s/cover
  curl -s http://%[5]s/debug/state
  curl -s http://%[5]s/metrics
`, token, l.Names.Interactive, first.Callers, l.Names.Request, first.Admin)
	for _, verb := range []string{"status", "out " + l.DataCentres[1], "in " + l.DataCentres[1], "show"} {
		fmt.Fprintf(w, "  go run ./cmd/chicorytrayctl -store %s %s\n", d.StoreURL(), verb)
	}
}
