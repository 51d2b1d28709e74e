package message

// Outcome tells a caller what happened to a request that did not succeed.
type Outcome string

// Outcomes. OutcomeOK is never sent to a caller as a header.
const (
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun is a promise: the upstream never started the request and never will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed means that the upstream ran the request and it ended with an error.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that it cannot be shown whether the request ran.
	OutcomeUnknown Outcome = "unknown"
)

// InitialCreditBytes is the flow-control window of a response at its start. The receiver extends it with Credit.
const InitialCreditBytes = 256 << 10

// HeaderField is one header line. A slice keeps order and repeated names.
type HeaderField struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Attempt identifies one attempt of one request. Messages of other attempts are dropped by the receiver.
type Attempt struct {
	// RequestID is unique across entries.
	RequestID string `msgpack:"r"`
	// Number counts attempts from 1.
	Number int `msgpack:"n"`
}

// Submit asks the receiver to run a request.
type Submit struct {
	Attempt Attempt `msgpack:"a"`
	Caller  string  `msgpack:"c"`
	// Weight is the caller's weight in fair queueing, at least 1.
	Weight int `msgpack:"w"`
	// Priority is the index of the priority in the configuration, 0 is the most urgent.
	Priority int    `msgpack:"p"`
	Pool     string `msgpack:"pl"`
	// DeadlineMillis counts from receipt: the time left for the whole answer.
	DeadlineMillis int64 `msgpack:"dl"`
	// FirstByteTargetMillis is the time left until the first byte should be on its way; 0 means none.
	FirstByteTargetMillis int64 `msgpack:"tg"`
	Idempotent            bool  `msgpack:"id"`
	// IdempotencyKey is the caller's Idempotency-Key, empty when none was given.
	IdempotencyKey string `msgpack:"ok,omitempty"`
	// Fingerprint identifies equal requests of a caller across retries.
	Fingerprint string `msgpack:"fp"`
	// Suspect tells that the fingerprint was in progress on an upstream that crashed.
	Suspect bool `msgpack:"su,omitempty"`
	// Cost estimates the work in tokens, at least 1.
	Cost int `msgpack:"co"`
	// Forwarded tells that another entry sent this request; it is not forwarded again.
	Forwarded bool          `msgpack:"f,omitempty"`
	Stream    bool          `msgpack:"s,omitempty"`
	Method    string        `msgpack:"m"`
	Path      string        `msgpack:"pa"`
	Header    []HeaderField `msgpack:"h"`
	Body      []byte        `msgpack:"b"`
}

// Reason is the machine-readable cause of a Reject or a failed end.
type Reason string

// Reasons.
const (
	ReasonQueueFull      Reason = "queue-full"
	ReasonDeadline       Reason = "deadline"
	ReasonNotServing     Reason = "not-serving"
	ReasonStoreDown      Reason = "store-unavailable"
	ReasonKeyConflict    Reason = "key-conflict"
	ReasonKeyPending     Reason = "key-pending"
	ReasonNoUpstream     Reason = "no-upstream"
	ReasonQuarantined    Reason = "quarantined"
	ReasonRevoked        Reason = "revoked"
	ReasonUpstreamError  Reason = "upstream-error"
	ReasonUpstreamCrash  Reason = "upstream-crash"
	ReasonTimeout        Reason = "timeout"
	ReasonCancelled      Reason = "cancelled"
	ReasonVersionChanged Reason = "version-changed"
)

// Reject states that the attempt was not run and will not be.
type Reject struct {
	Attempt          Attempt `msgpack:"a"`
	Reason           Reason  `msgpack:"re"`
	RetryAfterMillis int64   `msgpack:"ra"`
}

// ResponseHead starts an answer.
type ResponseHead struct {
	Attempt Attempt       `msgpack:"a"`
	Status  int           `msgpack:"s"`
	Header  []HeaderField `msgpack:"h"`
	// Version is the model version that serves the whole answer, empty for services.
	Version string `msgpack:"v"`
	// Replayed tells that the answer was recorded for an earlier request with the same order key.
	Replayed bool `msgpack:"rp,omitempty"`
}

// ResponseBody carries the next bytes of an answer. Offset is the position of the first byte, so that a gap is detected.
type ResponseBody struct {
	Attempt Attempt `msgpack:"a"`
	Offset  int64   `msgpack:"o"`
	Data    []byte  `msgpack:"d"`
}

// ResponseEnd ends an answer. Outcome OutcomeOK means that all Length bytes were sent and the upstream ended cleanly.
type ResponseEnd struct {
	Attempt Attempt `msgpack:"a"`
	Outcome Outcome `msgpack:"oc"`
	Reason  Reason  `msgpack:"re,omitempty"`
	Length  int64   `msgpack:"l"`
	// UpstreamIncarnation names the upstream process that crashed when Reason is ReasonUpstreamCrash.
	UpstreamIncarnation uint64 `msgpack:"ui,omitempty"`
	RetryAfterMillis    int64  `msgpack:"ra,omitempty"`
	// BesideSuspect tells, with ReasonUpstreamCrash, that a suspect ran on the upstream and this request was none.
	BesideSuspect bool `msgpack:"bs,omitempty"`
}

// Credit extends the flow-control window of a response.
type Credit struct {
	Attempt Attempt `msgpack:"a"`
	Bytes   int64   `msgpack:"b"`
}

// Cancel tells that nobody waits for the answer any more.
type Cancel struct {
	Attempt Attempt `msgpack:"a"`
}

// Query asks for the outcome of an attempt after its link was lost. The receiver revokes an attempt that it has not seen or
// not started, so that a late Submit is not run.
type Query struct {
	Attempt Attempt `msgpack:"a"`
	// AgentIncarnation is the incarnation to which the attempt was sent. Another incarnation answers AttemptUnknown.
	AgentIncarnation uint64 `msgpack:"ai"`
}

// AttemptState is the agent's knowledge of an attempt.
type AttemptState string

// Values of Known.
const (
	// AttemptRevoked means that the attempt was not started and will not be.
	AttemptRevoked AttemptState = "revoked"
	AttemptRunning AttemptState = "running"
	AttemptDone    AttemptState = "done"
	AttemptUnknown AttemptState = "unknown"
)

// QueryReply answers a Query.
type QueryReply struct {
	Attempt Attempt      `msgpack:"a"`
	State   AttemptState `msgpack:"k"`
	// Outcome is set with AttemptDone.
	Outcome Outcome `msgpack:"oc,omitempty"`
}

// CrashReport tells other entries that an upstream crashed while it ran the fingerprint.
type CrashReport struct {
	Fingerprint         string `msgpack:"fp"`
	AgentID             string `msgpack:"ag"`
	UpstreamIncarnation uint64 `msgpack:"ui"`
	// AgeMillis is the time since the crash, so that clocks need not agree.
	AgeMillis int64 `msgpack:"age"`
	// BesideSuspect tells that a suspect ran on the upstream and this request was none.
	BesideSuspect bool `msgpack:"bs,omitempty"`
}

// MessageType implements Message.
func (*Submit) MessageType() Type { return TypeSubmit }

// MessageType implements Message.
func (*Reject) MessageType() Type { return TypeReject }

// MessageType implements Message.
func (*ResponseHead) MessageType() Type { return TypeResponseHead }

// MessageType implements Message.
func (*ResponseBody) MessageType() Type { return TypeResponseBody }

// MessageType implements Message.
func (*ResponseEnd) MessageType() Type { return TypeResponseEnd }

// MessageType implements Message.
func (*Credit) MessageType() Type { return TypeCredit }

// MessageType implements Message.
func (*Cancel) MessageType() Type { return TypeCancel }

// MessageType implements Message.
func (*Query) MessageType() Type { return TypeQuery }

// MessageType implements Message.
func (*QueryReply) MessageType() Type { return TypeQueryReply }

// MessageType implements Message.
func (*CrashReport) MessageType() Type { return TypeCrashReport }
