package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/platform"
)

const (
	// callers is the number of callers that send at the same time.
	callers = 12
	// startPatience and calmPatience bound the start and the return to full service after the last fault.
	startPatience = 15 * time.Second
	calmPatience  = 15 * time.Second
	callPatience  = 6 * time.Second
)

// told is what a caller was told of a request.
type told struct {
	id     string
	path   string
	status int
	body   string
	whole  bool
}

// checker collects what callers were told and what is wrong with it.
type checker struct {
	w        *world
	mu       sync.Mutex
	findings []string
	answers  []told
	next     int
}

func (c *checker) find(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findings = append(c.findings, fmt.Sprintf(format, args...))
}

func (c *checker) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return "r" + strconv.Itoa(c.next)
}

// Play runs one seed. It returns what is broken and a summary.
func Play(seed uint64, length time.Duration, logs string) (findings []string, summary string, err error) {
	w, err := newWorld()
	if err != nil {
		return nil, "", err
	}
	defer w.close()
	c := &checker{w: w}
	rng := rand.New(rand.NewPCG(seed, 1))
	if !c.serves(startPatience, "at the start") {
		return c.end(seed, logs, nil)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() { defer wg.Done(); c.call(rand.New(rand.NewPCG(seed, uint64(i)+2)), stop) }()
	}
	names := w.disturb(rng, length)
	c.serves(calmPatience, "after the last fault")
	c.versionsArrive()
	close(stop)
	wg.Wait()
	c.check()
	return c.end(seed, logs, names)
}

func (c *checker) end(seed uint64, logs string, names []string) ([]string, string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, a := range c.answers {
		counts[a.status]++
	}
	summary := fmt.Sprintf("%d requests %v, faults: %s", len(c.answers), counts, strings.Join(names, ", "))
	var err error
	if len(c.findings) > 0 && logs != "" {
		err = c.w.keepLogs(filepath.Join(logs, fmt.Sprintf("seed-%d", seed)))
	}
	return c.findings, summary, err
}

// send sends one request on the caller's connections.
func (c *checker) send(client *http.Client, entry int, path string) told {
	t := told{id: c.id(), path: path}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.w.entries[entry].caller+path+t.id, strings.NewReader("body of "+t.id))
	if err != nil {
		c.find("request cannot be made: %v", err)
		return t
	}
	req.Host = "h.example"
	platform.SetCallerHeaders(req.Header, t.id, "k", "m", callPatience)
	resp, err := client.Do(req)
	if err != nil {
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	t.status, t.body, t.whole = resp.StatusCode, string(body), err == nil
	return t
}

// call sends requests until stop is closed, over connections that stay open.
func (c *checker) call(rng *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: callPatience}
	defer client.CloseIdleConnections()
	paths := []string{"/stream/", "/stream/", "/order/", "/look/"}
	for {
		select {
		case <-stop:
			return
		default:
		}
		t := c.send(client, rng.IntN(len(c.w.entries)), paths[rng.IntN(len(paths))])
		c.mu.Lock()
		c.answers = append(c.answers, t)
		c.mu.Unlock()
		time.Sleep(time.Duration(20+rng.IntN(60)) * time.Millisecond)
	}
}

// serves waits until each entry serves each route of the newest configuration.
func (c *checker) serves(patience time.Duration, when string) bool {
	client := &http.Client{Timeout: callPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	until := time.Now().Add(patience)
	newest := fmt.Sprintf("/v%d/", c.w.config.Load())
	for i := range c.w.entries {
		for _, path := range []string{"/stream/", "/order/", "/look/", newest} {
			for {
				t := c.send(client, i, path)
				if t.status == http.StatusOK && t.whole {
					break
				}
				if time.Now().After(until) {
					c.find("entry %d does not serve %s %s within %s: status %d %s", i, path, when, patience, t.status, t.body)
					return false
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return true
}

// versionsArrive waits until all models hold the newest version.
func (c *checker) versionsArrive() {
	c.w.version.Lock()
	newest := c.w.newest
	c.w.version.Unlock()
	until := time.Now().Add(calmPatience)
	for i, m := range c.w.models {
		for {
			held, _ := m.Loaded()
			if held == newest {
				break
			}
			if time.Now().After(until) {
				c.find("model %d holds version %d, not %d", i, held, newest)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// check compares what callers were told with what has run.
func (c *checker) check() {
	for i, m := range c.w.models {
		if _, spoilt := m.Loaded(); spoilt {
			c.find("model %d loaded bytes that are not of one version", i)
		}
	}
	modelRuns := map[string]int{}
	for _, m := range c.w.models {
		for _, r := range m.Runs() {
			modelRuns[r.ID]++
		}
	}
	for _, t := range c.answers {
		runs := modelRuns[t.id]
		for _, d := range c.w.desks {
			runs += d.Runs(t.id)
		}
		c.checkAnswer(t, runs)
	}
}

func (c *checker) checkAnswer(t told, runs int) {
	switch {
	case t.path == "/order/" && runs > 1:
		c.find("order %s ran %d times", t.id, runs)
	case notRun(t.status) && runs > 0:
		c.find("%s%s was refused with %d and ran %d times", t.path, t.id, t.status, runs)
	case t.status == http.StatusUnauthorized || t.status == http.StatusNotFound:
		c.find("%s%s was denied with %d", t.path, t.id, t.status)
	case t.status != http.StatusOK || !t.whole:
	case t.path == "/stream/":
		c.checkStream(t)
	case t.body != "done "+t.id:
		c.find("%s%s got %q", t.path, t.id, t.body)
	}
}

func notRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusMisdirectedRequest
}

func (c *checker) checkStream(t told) {
	var want bytes.Buffer
	for i := 1; i <= c.w.models[0].EventCount; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", i, t.id)
	}
	if t.body != want.String() {
		c.find("stream %s got %q", t.id, t.body)
	}
}
