package store

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/store/etcdjson"
)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (KV, error) {
	var response etcdjson.RangeResponse
	before := c.restorations.position()
	if err := c.call(ctx, readCall, etcdjson.PathRange, etcdjson.RangeRequest{Key: []byte(key)}, &response); err != nil {
		return KV{}, err
	}
	c.observe(before, response.Header)
	if len(response.KVs) == 0 {
		return KV{}, errors.Wrapf(ErrNotFound, "%q", key)
	}
	return fromKeyValue(response.KVs[0]), nil
}

// Txn implements Store.
func (c *Client) Txn(ctx context.Context, txn Txn) (TxnResult, error) {
	request, kind, err := toTxn(txn)
	if err != nil {
		return TxnResult{}, err
	}
	var response etcdjson.TxnResponse
	before := c.restorations.position()
	if err := c.call(ctx, kind, etcdjson.PathTxn, request, &response); err != nil {
		return TxnResult{}, err
	}
	c.observe(before, response.Header)
	return fromTxn(response), nil
}

// Grant implements Store. The time to live is rounded up to whole seconds, the unit of the service. The ID is random, because a service
// that was restored from an earlier copy may choose an ID again that another process still renews.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	request := etcdjson.GrantRequest{TTL: int64(math.Ceil(ttl.Seconds())), ID: 1 + rand.Int64N(math.MaxInt64)}
	var response etcdjson.LeaseResponse
	if err := c.call(ctx, writeCall, etcdjson.PathGrant, request, &response); err != nil {
		return 0, err
	}
	return LeaseID(response.ID), nil
}

// KeepAlive implements Store. A renewal whose response was lost is reported as ErrUnavailable, because repeating it is safe.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error) {
	var response etcdjson.KeepAliveResponse
	if err := c.call(ctx, readCall, etcdjson.PathKeepAlive, etcdjson.LeaseRequest{ID: int64(lease)}, &response); err != nil {
		return 0, err
	}
	if response.Result.TTL <= 0 {
		return 0, errors.Wrapf(ErrLeaseNotFound, "lease %d", lease)
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke implements Store. It returns ErrLeaseNotFound, ErrUnavailable or ErrAmbiguous.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	var response etcdjson.LeaseResponse
	return c.call(ctx, writeCall, etcdjson.PathRevoke, etcdjson.LeaseRequest{ID: int64(lease)}, &response)
}

// toTxn converts a transaction. Its kind is writeCall if any operation of either branch is a write.
func toTxn(txn Txn) (*etcdjson.TxnRequest, callKind, error) {
	out := &etcdjson.TxnRequest{}
	for _, condition := range txn.If {
		compare, err := toCompare(condition)
		if err != nil {
			return nil, readCall, err
		}
		out.Compare = append(out.Compare, compare)
	}
	success, thenKind, err := toOps(txn.Then)
	if err != nil {
		return nil, readCall, err
	}
	failure, elseKind, err := toOps(txn.Else)
	if err != nil {
		return nil, readCall, err
	}
	out.Success, out.Failure = success, failure
	return out, max(thenKind, elseKind), nil
}

func toCompare(condition Compare) (etcdjson.Compare, error) {
	out := etcdjson.Compare{Key: []byte(condition.Key), Target: string(condition.Target), Result: "EQUAL"}
	revision := condition.Revision
	switch condition.Target {
	case CompareMod:
		out.ModRevision = &revision
	case CompareCreate:
		out.CreateRevision = &revision
	default:
		return out, errors.Mark(errors.Newf("store: unknown compare target %q", condition.Target), ErrRejected)
	}
	return out, nil
}

func toOps(ops []Op) ([]etcdjson.RequestOp, callKind, error) {
	kind := readCall
	out := make([]etcdjson.RequestOp, 0, len(ops))
	for _, op := range ops {
		converted, opKind, err := toOp(op)
		if err != nil {
			return nil, readCall, err
		}
		kind = max(kind, opKind)
		out = append(out, converted)
	}
	return out, kind, nil
}

func toOp(op Op) (etcdjson.RequestOp, callKind, error) {
	switch {
	case op.Put != nil:
		if len(op.Put.Value) > MaxValueBytes {
			return etcdjson.RequestOp{}, readCall, errors.Wrapf(ErrTooLarge, "%q has %d bytes", op.Put.Key, len(op.Put.Value))
		}
		put := &etcdjson.PutRequest{Key: []byte(op.Put.Key), Value: op.Put.Value, Lease: int64(op.Put.Lease)}
		return etcdjson.RequestOp{Put: put}, writeCall, nil
	case op.Delete != nil:
		return etcdjson.RequestOp{Delete: &etcdjson.DeleteRequest{Key: []byte(op.Delete.Key)}}, writeCall, nil
	case op.Get != nil:
		return etcdjson.RequestOp{Range: toRange(*op.Get)}, readCall, nil
	case op.Txn != nil:
		txn, kind, err := toTxn(*op.Txn)
		return etcdjson.RequestOp{Txn: txn}, kind, err
	default:
		return etcdjson.RequestOp{}, readCall, errors.Mark(errors.New("store: empty operation"), ErrRejected)
	}
}

func toRange(get Get) *etcdjson.RangeRequest {
	out := &etcdjson.RangeRequest{Key: []byte(get.Key), Limit: get.Limit}
	if get.Prefix {
		out.RangeEnd = prefixEnd(get.Key)
	}
	return out
}

// prefixEnd returns the first key after all keys with the prefix. A single zero byte stands for the end of the key space.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < math.MaxUint8 {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

func fromTxn(response etcdjson.TxnResponse) TxnResult {
	result := TxnResult{Succeeded: response.Succeeded, Revision: response.Header.Revision}
	for _, opResponse := range response.Responses {
		var opResult OpResult
		if opResponse.Range != nil {
			for _, kv := range opResponse.Range.KVs {
				opResult.KVs = append(opResult.KVs, fromKeyValue(kv))
			}
		}
		if opResponse.Txn != nil {
			nested := fromTxn(*opResponse.Txn)
			opResult.Txn = &nested
		}
		result.Results = append(result.Results, opResult)
	}
	return result
}

func fromKeyValue(kv etcdjson.KeyValue) KV {
	return KV{
		Key: string(kv.Key), Value: kv.Value, Lease: LeaseID(kv.Lease),
		CreateRevision: kv.CreateRevision, ModRevision: kv.ModRevision,
	}
}
