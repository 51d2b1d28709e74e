// Package etcdjson defines the request and response bodies of the etcd v3 JSON gateway. Byte strings are encoded in base64, 64-bit integers
// as strings.
package etcdjson

// Paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// CodeNotFound is the gRPC status code that the gateway returns for a lease that does not exist.
const CodeNotFound = 5

// Header is part of every response.
type Header struct {
	// ClusterID identifies the cluster. It depends on the members and the token with which the cluster was set up.
	ClusterID uint64 `json:"cluster_id,string,omitempty"`
	// Revision is the store's revision at the response.
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is a stored key. Lease is 0 if the key is bound to none.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key, or the keys in [Key, RangeEnd) if RangeEnd is set. A Limit of 0 means all keys.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

// RangeResponse is the response to a RangeRequest. Count is the number of keys in the range, regardless of the limit.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest deletes one key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Compare is one condition of a transaction. Target is "MOD" or "CREATE" and selects the revision to compare, Result is "EQUAL".
type Compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	ModRevision    *int64 `json:"mod_revision,string,omitempty"`
	CreateRevision *int64 `json:"create_revision,string,omitempty"`
}

// RequestOp is one operation; exactly one field is set.
type RequestOp struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
	Txn    *TxnRequest    `json:"request_txn,omitempty"`
}

// TxnRequest is a transaction: it runs Success if all conditions in Compare hold, and Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the result of one operation.
type ResponseOp struct {
	Put    *WriteResponse `json:"response_put,omitempty"`
	Range  *RangeResponse `json:"response_range,omitempty"`
	Delete *WriteResponse `json:"response_delete_range,omitempty"`
	Txn    *TxnResponse   `json:"response_txn,omitempty"`
}

// WriteResponse is the result of a put or a delete.
type WriteResponse struct {
	Header Header `json:"header"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// GrantRequest creates a lease; TTL is in seconds. The service chooses an ID if ID is 0.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
	ID  int64 `json:"ID,string,omitempty"`
}

// LeaseRequest renews or revokes a lease.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseResponse is the response to a GrantRequest or LeaseRequest. TTL is in seconds, and 0 if the lease to renew does not exist.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse wraps the LeaseResponse of a renewal, because the gateway streams renewals.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects a key and the first revision to deliver. A StartRevision of 0 delivers only changes after the watch has started.
type WatchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// Event types.
const (
	EventPut    = "PUT"
	EventDelete = "DELETE"
)

// Event is one change. The gateway omits the type for a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is one message of a watch. Created is set in the first message, Canceled when the service has ended the watch.
// CompactRevision is not 0 if StartRevision has been compacted.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchResponse wraps one message of the watch stream.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// ErrorResponse is the body of a failed call. Code is a gRPC status code.
type ErrorResponse struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Writes reports whether a transaction may change a key.
func (t *TxnRequest) Writes() bool {
	for _, ops := range [][]RequestOp{t.Success, t.Failure} {
		for _, op := range ops {
			if op.Put != nil || op.Delete != nil || op.Txn != nil && op.Txn.Writes() {
				return true
			}
		}
	}
	return false
}
