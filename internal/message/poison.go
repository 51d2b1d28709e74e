package message

// CrashEvidence carries what entries know about requests that crash upstreams, see package poison. An entry sends all it knows on a
// new link to another entry, and otherwise what is new to it.
type CrashEvidence struct {
	Crashes  []CrashedAttempt `msgpack:"c,omitempty"`
	Cleared  []ClearedSubject `msgpack:"s,omitempty"`
	Verdicts []PoisonVerdict  `msgpack:"v,omitempty"`
}

// CrashedAttempt is an attempt that was in progress when the process of its upstream ended. Upstream and StartedAtMillis identify the
// process, Request is the ID of the caller's request.
type CrashedAttempt struct {
	Upstream        string `msgpack:"u"`
	StartedAtMillis int64  `msgpack:"b,omitempty"`
	Request         string `msgpack:"i"`
	// Subjects are what the request may share with others: the parts of its prompt, and the whole request.
	Subjects []string `msgpack:"p"`
	// Begun is set when the answer had begun shortly before the process ended.
	Begun bool `msgpack:"h,omitempty"`
	// AgeMillis is the time since the process ended.
	AgeMillis int64 `msgpack:"a,omitempty"`
}

// ClearedSubject states that a request with the subject was answered AgeMillis ago.
type ClearedSubject struct {
	Subject   string `msgpack:"p"`
	AgeMillis int64  `msgpack:"a,omitempty"`
	// Origin is a random number of the ledger that saw the answer, Seq increases with each statement of that ledger. They tell statements
	// that have been received before. Origin is 0 in the evidence that is sent on a new link.
	Origin uint64 `msgpack:"o,omitempty"`
	Seq    uint64 `msgpack:"q,omitempty"`
}

// PoisonVerdict is a verdict that was reached AgeMillis ago: requests that have all subjects are refused.
type PoisonVerdict struct {
	Subjects  []string `msgpack:"p"`
	AgeMillis int64    `msgpack:"a,omitempty"`
	// Era is the era of the store in which the verdict is known to be stored, 0 if the sender knows none. A restore of the store from an earlier
	// copy begins a new era and may lose the verdict.
	Era int64 `msgpack:"e,omitempty"`
}

// MessageType implements Message.
func (*CrashEvidence) MessageType() Type { return TypeCrashEvidence }
