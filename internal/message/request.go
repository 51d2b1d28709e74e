package message

// Outcome is the outcome of a request. A caller whose request did not succeed receives it in a response header.
type Outcome string

// Outcomes of a request. OutcomeOK is never sent to a caller as a header.
const (
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun guarantees that the upstream never started the request and never will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed means that the upstream ran the request and it ended with an error.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that it cannot be determined whether the request ran.
	OutcomeUnknown Outcome = "unknown"
)

// InitialCreditBytes is the initial flow-control window of a response. The receiver extends it with Credit.
const InitialCreditBytes = 256 << 10

// HeaderField is one header field. Headers are sent as slices to preserve their order and repeated names.
type HeaderField struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Attempt identifies one attempt of one request. The receiver drops messages of other attempts.
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
	// Priority is the index of the priority in the configuration; 0 is the most urgent.
	Priority int    `msgpack:"p"`
	Pool     string `msgpack:"pl"`
	// DeadlineMillis is the time left for the whole response, counted from receipt.
	DeadlineMillis int64 `msgpack:"dl"`
	// FirstByteTargetMillis is the time left, counted from receipt, until the first byte of the response should be sent; 0
	// means that there is no target.
	FirstByteTargetMillis int64 `msgpack:"tg"`
	// Idempotent is set when the request may be retried even if an earlier attempt may have run.
	Idempotent bool `msgpack:"id"`
	// IdempotencyKey is the caller's Idempotency-Key header, empty if there was none or if Idempotent is set.
	IdempotencyKey string `msgpack:"ok,omitempty"`
	// Fingerprint identifies equal requests of a caller across retries.
	Fingerprint string `msgpack:"fp"`
	// Suspect is set when a request with this fingerprint was in progress on an upstream that crashed.
	Suspect bool `msgpack:"su,omitempty"`
	// Cost is the estimated work in tokens, at least 1.
	Cost int `msgpack:"co"`
	// Forwarded is set when another entry sent this request; it is not forwarded again.
	Forwarded bool `msgpack:"f,omitempty"`
	// Stream is set when the response is streamed: its first byte arrives long before the last one.
	Stream bool          `msgpack:"s,omitempty"`
	Method string        `msgpack:"m"`
	Path   string        `msgpack:"pa"`
	Header []HeaderField `msgpack:"h"`
	Body   []byte        `msgpack:"b"`
}

// Reason is the machine-readable cause of a Reject or a failed ResponseEnd.
type Reason string

// Reasons for a Reject or for a ResponseEnd whose outcome is not OutcomeOK.
const (
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline means that the request was dropped from the queue, because it could no longer meet its deadline or its
	// first-byte target.
	ReasonDeadline Reason = "deadline"
	// ReasonNotServing means that the upstream accepts no new requests at present, or that the request could not be sent.
	ReasonNotServing Reason = "not-serving"
	// ReasonStoreDown means that the idempotency key could not be claimed, for example because the store is unavailable.
	ReasonStoreDown Reason = "store-unavailable"
	// ReasonKeyConflict means that the idempotency key was used for a different request.
	ReasonKeyConflict Reason = "key-conflict"
	// ReasonKeyPending means that an earlier request with the key is running or may have run and its response cannot be replayed.
	ReasonKeyPending Reason = "key-pending"
	// ReasonNoUpstream means that there is no upstream that can run the request.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonQuarantined means that upstreams crashed while they ran requests with the same fingerprint, so the request is refused.
	ReasonQuarantined Reason = "quarantined"
	// ReasonRevoked means that the attempt was revoked before it started.
	ReasonRevoked       Reason = "revoked"
	ReasonUpstreamError Reason = "upstream-error"
	ReasonUpstreamCrash Reason = "upstream-crash"
	// ReasonTimeout means that the deadline passed before the response was complete, or that the upstream sent nothing for too long.
	ReasonTimeout   Reason = "timeout"
	ReasonCancelled Reason = "cancelled"
	// ReasonVersionChanged means that another model version than expected produced the response, or may have produced part of it.
	ReasonVersionChanged Reason = "version-changed"
)

// Reject means that the attempt was not run and will not be. RetryAfterMillis is the time after which the caller should retry.
type Reject struct {
	Attempt          Attempt `msgpack:"a"`
	Reason           Reason  `msgpack:"re"`
	RetryAfterMillis int64   `msgpack:"ra"`
}

// ResponseHead starts a response and carries its status code and header.
type ResponseHead struct {
	Attempt Attempt       `msgpack:"a"`
	Status  int           `msgpack:"s"`
	Header  []HeaderField `msgpack:"h"`
	// Version is the model version that serves the whole response, empty for services.
	Version string `msgpack:"v"`
	// Replayed is set when the response was recorded for an earlier request with the same idempotency key.
	Replayed bool `msgpack:"rp,omitempty"`
}

// ResponseBody carries the next bytes of a response body. Offset is the position of the first of them, so that the receiver
// detects a gap.
type ResponseBody struct {
	Attempt Attempt `msgpack:"a"`
	Offset  int64   `msgpack:"o"`
	Data    []byte  `msgpack:"d"`
}

// ResponseEnd ends a response. OutcomeOK means that all Length bytes of the body were sent and that the upstream ended the
// response cleanly.
type ResponseEnd struct {
	Attempt Attempt `msgpack:"a"`
	Outcome Outcome `msgpack:"oc"`
	Reason  Reason  `msgpack:"re,omitempty"`
	Length  int64   `msgpack:"l"`
	// UpstreamIncarnation names the upstream process that crashed when Reason is ReasonUpstreamCrash.
	UpstreamIncarnation uint64 `msgpack:"ui,omitempty"`
	RetryAfterMillis    int64  `msgpack:"ra,omitempty"`
	// BesideSuspect is set, together with ReasonUpstreamCrash, when a suspect request was running on the upstream and this
	// request was not a suspect.
	BesideSuspect bool `msgpack:"bs,omitempty"`
}

// Credit extends the flow-control window of a response by Bytes.
type Credit struct {
	Attempt Attempt `msgpack:"a"`
	Bytes   int64   `msgpack:"b"`
}

// Cancel means that nobody waits for the response any more.
type Cancel struct {
	Attempt Attempt `msgpack:"a"`
}

// Query asks for the state of an attempt after its link was lost. The receiver revokes an attempt that it has not received or
// not started, so that a Submit that arrives late is not run.
type Query struct {
	Attempt Attempt `msgpack:"a"`
	// AgentIncarnation is the incarnation of the agent to which the attempt was sent. Another incarnation replies
	// AttemptUnknown.
	AgentIncarnation uint64 `msgpack:"ai"`
}

// AttemptState is the state of an attempt as known to the receiver of a Query.
type AttemptState string

// States of an attempt.
const (
	// AttemptRevoked means that the attempt was not started and will not be.
	AttemptRevoked AttemptState = "revoked"
	AttemptRunning AttemptState = "running"
	AttemptDone    AttemptState = "done"
	// AttemptUnknown means that the receiver of the query cannot determine whether the attempt ran.
	AttemptUnknown AttemptState = "unknown"
)

// QueryReply answers a Query.
type QueryReply struct {
	Attempt Attempt      `msgpack:"a"`
	State   AttemptState `msgpack:"k"`
	// Outcome is set if State is AttemptDone.
	Outcome Outcome `msgpack:"oc,omitempty"`
}

// CrashReport informs other entries that an upstream crashed while it ran a request with the given fingerprint.
type CrashReport struct {
	Fingerprint         string `msgpack:"fp"`
	AgentID             string `msgpack:"ag"`
	UpstreamIncarnation uint64 `msgpack:"ui"`
	// AgeMillis is the time since the crash. An age is sent because the clocks of nodes need not be synchronised.
	AgeMillis int64 `msgpack:"age"`
	// BesideSuspect is set when a suspect request was running on the upstream and this request was not a suspect.
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
