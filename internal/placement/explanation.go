package placement

// ExplanationPath is the path of explanations on the metrics address of an entry.
const ExplanationPath = "/debug/placement"

// Explanation says where a request would be sent now, and why. It is JSON.
type Explanation struct {
	// Entry is the ID of the entry that explains: another one may know other loads.
	Entry string `json:"entry"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64  `json:"config_version,omitempty"`
	Route         string `json:"route,omitempty"`
	Kind          string `json:"kind,omitempty"`
	Customer      string `json:"customer,omitempty"`
	Rank          int    `json:"rank"`
	// Refused is the code with which the request is refused before an upstream is selected, empty if it is not.
	Refused string `json:"refused,omitempty"`
	// Services holds an explanation for each service of the route.
	Services []ServiceExplanation `json:"services,omitempty"`
}

// ServiceExplanation says which upstream of a service a request would be sent to.
type ServiceExplanation struct {
	Service string `json:"service"`
	// Weight is the share of the route's requests that go to the service, relative to the other weights.
	Weight float64 `json:"weight"`
	// Selected is the ID of the selected upstream, empty if the request would be refused with Reason.
	Selected     string                `json:"selected,omitempty"`
	Reason       Reason                `json:"reason,omitempty"`
	RetryAfterMS int64                 `json:"retry_after_ms,omitempty"`
	Upstreams    []UpstreamExplanation `json:"upstreams"`
}

// UpstreamExplanation says whether an upstream is a candidate for a request.
type UpstreamExplanation struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	// Leaving is set if the upstream has said that it leaves.
	Leaving  bool `json:"leaving,omitempty"`
	Local    bool `json:"local,omitempty"`
	Suspect  bool `json:"suspect,omitempty"`
	Selected bool `json:"selected,omitempty"`
	// LeftOut is the reason for which the upstream is no candidate, empty if it is one. WaitMS is the time until it may be one.
	LeftOut Reason `json:"left_out,omitempty"`
	WaitMS  int64  `json:"wait_ms,omitempty"`
	// PredictedMS is the predicted wait at a candidate, TooLong is set if that wait alone would refuse the request.
	PredictedMS int64 `json:"predicted_ms"`
	TooLong     bool  `json:"too_long,omitempty"`
	// LoadKnown is set if there is a recent report of the load, Running and Waiting are its figures.
	LoadKnown bool `json:"load_known"`
	Running   int  `json:"running"`
	Waiting   int  `json:"waiting"`
}
