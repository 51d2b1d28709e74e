package relay

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/request"
	"github.com/pimentohead/pimentohead/internal/residency"
)

// unknownCustomer is the reason in an explanation for a customer that the configuration does not name.
const unknownCustomer = "unknown-customer"

// Explain says where a request would be sent now, by the code that places requests. Nothing is sent, taken or counted. The request is that of
// target, a customer, given by name, and meta.
func (r *Relay) Explain(target *http.Request, customer string, meta request.Metadata) placement.Explanation {
	x := &exchange{relay: r, req: target, received: time.Now(), tried: map[string]bool{}, meta: meta, snapshot: r.cfg.State.Snapshot()}
	result := placement.Explanation{}
	if !x.snapshot.Ready() {
		result.Refused = "starting"
		return result
	}
	index := x.snapshot.Index
	result.ConfigVersion = index.Config.Version
	path, _, _ := strings.Cut(target.RequestURI, "?")
	if x.route = index.Route(target.Host, path); x.route == nil {
		result.Refused = "no-route"
		return result
	}
	result.Route, result.Kind = x.route.Name, x.route.Kind.String()
	if customer != "" {
		i := slices.IndexFunc(index.Config.Customers, func(c catalog.Customer) bool { return c.Name == customer && len(c.Keys) > 0 })
		if i < 0 {
			result.Refused = unknownCustomer
			return result
		}
		x.meta.Key = index.Config.Customers[i].Keys[0]
	}
	if !x.authorise(index) {
		result.Refused = "unknown-key"
		return result
	}
	x.regions = residency.NewRule(r.cfg.Regions, index, x.route, index.Customer(x.meta.Key))
	x.rank = x.effectiveRank(index)
	result.Customer, result.Rank = x.customer, x.rank
	if x.poisoned() {
		result.Refused = string(crashesUpstreams)
	}
	for _, t := range x.route.Targets {
		x.useService(t.Service)
		result.Services = append(result.Services, x.explainService(t))
	}
	return result
}

// explainService says which upstream of a service the request would be sent to.
func (x *exchange) explainService(t catalog.Target) placement.ServiceExplanation {
	now := time.Now()
	q, list, out := x.choices(now)
	result := placement.ServiceExplanation{Service: t.Service, Weight: t.Weight, Upstreams: []placement.UpstreamExplanation{}}
	d := placement.Choose(q, list)
	if d.Upstream != nil {
		result.Selected = d.Upstream.ID
	} else {
		d = out.refusal(d)
		result.Reason, result.RetryAfterMS = d.Reason, d.RetryAfter.Milliseconds()
	}
	for _, u := range x.snapshot.Upstreams(t.Service) {
		described := x.explainUpstream(q, u, now)
		described.Selected = u.ID == result.Selected
		result.Upstreams = append(result.Upstreams, described)
	}
	return result
}

// explainUpstream says whether an upstream is a candidate, by asking as if the service had no other one: the reason is then the one for which
// the request would be refused.
func (x *exchange) explainUpstream(q placement.Query, u *catalog.Upstream, now time.Time) placement.UpstreamExplanation {
	status := x.relay.availability.Status(processOf(u))
	result := placement.UpstreamExplanation{ID: u.ID, DataCentre: u.DataCentre, State: u.State.String(), Leaving: status.Leaving,
		Local: u.DataCentre == x.relay.cfg.DataCentre}
	list, out := x.candidatesAmong([]*catalog.Upstream{u}, now)
	d := placement.Choose(q, list)
	if len(list) == 0 {
		d = out.refusal(d)
		result.LeftOut, result.WaitMS = d.Reason, out.wait.Milliseconds()
		return result
	}
	c := list[0]
	result.Suspect, result.PredictedMS, result.TooLong = c.Suspect, d.PredictedWait.Milliseconds(), d.Upstream == nil
	result.LoadKnown, result.Running, result.Waiting = c.Work.HasReport, c.Work.Running, c.Work.Waiting
	return result
}

// ExplanationHandler answers GET requests with the explanation of where a request would be sent, as JSON. Its parameters are host, path,
// method, customer (its name), model, prompt_tokens and, once for each part, prompt_part. entry is the ID of this entry.
func (r *Relay) ExplanationHandler(entry string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		values := req.URL.Query()
		tokens, err := strconv.Atoi(values.Get("prompt_tokens"))
		if err != nil && values.Get("prompt_tokens") != "" || tokens < 0 {
			http.Error(w, "prompt_tokens must be a number of at least 0", http.StatusBadRequest)
			return
		}
		target := &http.Request{Method: values.Get("method"), Host: values.Get("host"), RequestURI: values.Get("path")}
		result := r.Explain(target, values.Get("customer"), request.Metadata{Model: values.Get("model"), PromptTokens: tokens,
			PromptParts: values["prompt_part"]})
		result.Entry = entry
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result) // The caller notices a connection that breaks.
	})
}
