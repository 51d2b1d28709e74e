package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/placement"
)

// placementQuery holds the flags of explain-placement.
type placementQuery struct {
	entry, host, path, method, customer, model string
	promptTokens                               int
	promptParts                                string
}

func explainPlacementCommand() command {
	return command{
		name: "explain-placement", arguments: "-entry URL -host HOST -path PATH [flags]",
		summary: "shows where an entry of the direct path would send a request now, and why",
		examples: []string{
			"pimentoctl explain-placement -entry http://10.1.0.40:7715 -host shop.example -path /v1/answer -customer tailor -prompt-tokens 900",
		},
		setup: func(flags *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			q := &placementQuery{}
			c.outputFlag(flags)
			flags.StringVar(&q.entry, "entry", "", "`URL` of the metrics address of the entry")
			flags.StringVar(&q.host, "host", "", "host of the request")
			flags.StringVar(&q.path, "path", "/", "path of the request")
			flags.StringVar(&q.method, "method", http.MethodPost, "method of the request")
			flags.StringVar(&q.customer, "customer", "", "`name` of the customer (default: none, for public routes)")
			flags.StringVar(&q.model, "model", "", "model of the request")
			flags.IntVar(&q.promptTokens, "prompt-tokens", 0, "length of the prompt in tokens")
			flags.StringVar(&q.promptParts, "prompt-parts", "", "`IDs` of the parts of the prompt, separated by commas")
			flags.DurationVar(&c.options.timeout, "timeout", requestTimeout, "time after which the call is given up")
			return func(ctx context.Context, args []string) error {
				if len(args) > 0 || q.entry == "" || q.host == "" || q.promptTokens < 0 {
					return usageError("-entry and -host are required, -prompt-tokens must be at least 0, and there are no arguments")
				}
				return c.explainPlacement(ctx, q)
			}
		},
	}
}

// explainPlacement asks the entry and prints its answer.
func (c *invocation) explainPlacement(ctx context.Context, q *placementQuery) error {
	target, err := q.url()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return usageError("%v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the entry answered %d: %.200s", response.StatusCode, strings.TrimSpace(string(body)))
	}
	var result placement.Explanation
	if err := json.Unmarshal(body, &result); err != nil {
		return errors.Wrap(err, "answer of the entry")
	}
	return c.print(result, func() [][]string { return placementRows(result) })
}

// url returns the URL of the explanation.
func (q *placementQuery) url() (string, error) {
	u, err := url.Parse(strings.TrimRight(q.entry, "/"))
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "", usageError("%q is not a URL such as http://10.1.0.40:7715", q.entry)
	}
	values := url.Values{"host": {q.host}, "path": {q.path}, "method": {q.method}, "customer": {q.customer}, "model": {q.model},
		"prompt_tokens": {strconv.Itoa(q.promptTokens)}}
	for part := range strings.SplitSeq(q.promptParts, ",") {
		if part != "" {
			values.Add("prompt_part", part)
		}
	}
	return u.String() + placement.ExplanationPath + "?" + values.Encode(), nil
}

// placementRows returns the table of an explanation.
func placementRows(e placement.Explanation) [][]string {
	summary := fmt.Sprintf("entry %s, configuration %d, route %s (%s), rank %d", e.Entry, e.ConfigVersion, orDash(e.Route), orDash(e.Kind), e.Rank)
	rows := [][]string{{summary}}
	if e.Refused != "" {
		rows = append(rows, []string{"refused: " + e.Refused})
	}
	for _, s := range e.Services {
		result := "selected " + s.Selected
		if s.Selected == "" {
			result = fmt.Sprintf("refused: %s, retry after %d ms", s.Reason, s.RetryAfterMS)
		}
		rows = append(rows, []string{fmt.Sprintf("service %s, weight %g: %s", s.Service, s.Weight, result)},
			[]string{"UPSTREAM", "DATA CENTRE", "STATE", "RESULT", "PREDICTED", "RUNNING", "WAITING"})
		for _, u := range s.Upstreams {
			rows = append(rows, upstreamRow(u))
		}
	}
	return rows
}

// upstreamRow returns the row of an upstream.
func upstreamRow(u placement.UpstreamExplanation) []string {
	state, running, waiting := u.State, "-", "-"
	if u.Leaving {
		state = "leaving"
	}
	if u.LoadKnown {
		running, waiting = strconv.Itoa(u.Running), strconv.Itoa(u.Waiting)
	}
	if u.LeftOut != "" {
		result := "left out: " + string(u.LeftOut)
		if u.WaitMS > 0 {
			result += fmt.Sprintf(", %d ms", u.WaitMS)
		}
		return []string{u.ID, u.DataCentre, state, result, "-", running, waiting}
	}
	result := "candidate"
	switch {
	case u.Selected:
		result = "selected"
	case u.TooLong:
		result = "wait too long"
	}
	if u.Suspect {
		result += " (suspect)"
	}
	return []string{u.ID, u.DataCentre, state, result, fmt.Sprintf("%d ms", u.PredictedMS), running, waiting}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
