package store

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/store/etcdjson"
)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (KV, error) {
	var answer etcdjson.RangeResponse
	if err := c.call(ctx, reads, etcdjson.PathRange, etcdjson.RangeRequest{Key: []byte(key)}, &answer); err != nil {
		return KV{}, err
	}
	if len(answer.KVs) == 0 {
		return KV{}, errors.Wrapf(ErrNotFound, "%q", key)
	}
	return fromKeyValue(answer.KVs[0]), nil
}

// Txn implements Store.
func (c *Client) Txn(ctx context.Context, txn Txn) (TxnResult, error) {
	request, kind, err := toTxn(txn)
	if err != nil {
		return TxnResult{}, err
	}
	var answer etcdjson.TxnResponse
	if err := c.call(ctx, kind, etcdjson.PathTxn, request, &answer); err != nil {
		return TxnResult{}, err
	}
	return fromTxn(answer), nil
}

// Grant implements Store. The time to live is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	request := etcdjson.GrantRequest{TTL: int64(math.Ceil(ttl.Seconds()))}
	var answer etcdjson.LeaseResponse
	if err := c.call(ctx, writes, etcdjson.PathGrant, request, &answer); err != nil {
		return 0, err
	}
	return LeaseID(answer.ID), nil
}

// KeepAlive implements Store. A renewal whose answer was lost is reported as ErrUnavailable, because repeating it is safe.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error) {
	var answer etcdjson.KeepAliveResponse
	if err := c.call(ctx, reads, etcdjson.PathKeepAlive, etcdjson.LeaseRequest{ID: int64(lease)}, &answer); err != nil {
		return 0, err
	}
	if answer.Result.TTL <= 0 {
		return 0, errors.Wrapf(ErrLeaseNotFound, "lease %d", lease)
	}
	return time.Duration(answer.Result.TTL) * time.Second, nil
}

// Revoke implements Store. It returns ErrLeaseNotFound, ErrUnavailable or ErrAmbiguous.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	var answer etcdjson.LeaseResponse
	return c.call(ctx, writes, etcdjson.PathRevoke, etcdjson.LeaseRequest{ID: int64(lease)}, &answer)
}

func toTxn(txn Txn) (*etcdjson.TxnRequest, effect, error) {
	out := &etcdjson.TxnRequest{}
	for _, condition := range txn.If {
		compare, err := toCompare(condition)
		if err != nil {
			return nil, reads, err
		}
		out.Compare = append(out.Compare, compare)
	}
	success, thenKind, err := toOps(txn.Then)
	if err != nil {
		return nil, reads, err
	}
	failure, elseKind, err := toOps(txn.Else)
	if err != nil {
		return nil, reads, err
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
		return out, errors.Mark(errors.Newf("store: compare target %q", condition.Target), ErrRejected)
	}
	return out, nil
}

func toOps(ops []Op) ([]etcdjson.RequestOp, effect, error) {
	kind := reads
	out := make([]etcdjson.RequestOp, 0, len(ops))
	for _, op := range ops {
		converted, opKind, err := toOp(op)
		if err != nil {
			return nil, reads, err
		}
		kind = max(kind, opKind)
		out = append(out, converted)
	}
	return out, kind, nil
}

func toOp(op Op) (etcdjson.RequestOp, effect, error) {
	switch {
	case op.Put != nil:
		if len(op.Put.Value) > MaxValueBytes {
			return etcdjson.RequestOp{}, reads, errors.Wrapf(ErrTooLarge, "%q has %d bytes", op.Put.Key, len(op.Put.Value))
		}
		put := &etcdjson.PutRequest{Key: []byte(op.Put.Key), Value: op.Put.Value, Lease: int64(op.Put.Lease)}
		return etcdjson.RequestOp{Put: put}, writes, nil
	case op.Delete != nil:
		return etcdjson.RequestOp{Delete: &etcdjson.DeleteRequest{Key: []byte(op.Delete.Key)}}, writes, nil
	case op.Get != nil:
		return etcdjson.RequestOp{Range: toRange(*op.Get)}, reads, nil
	case op.Txn != nil:
		txn, kind, err := toTxn(*op.Txn)
		return etcdjson.RequestOp{Txn: txn}, kind, err
	default:
		return etcdjson.RequestOp{}, reads, errors.Mark(errors.New("store: empty operation"), ErrRejected)
	}
}

func toRange(get Get) *etcdjson.RangeRequest {
	out := &etcdjson.RangeRequest{Key: []byte(get.Key), Limit: get.Limit}
	if get.Prefix {
		out.RangeEnd = prefixEnd(get.Key)
	}
	return out
}

// prefixEnd returns the first key after all keys with the prefix; a single zero byte means the end of the key space.
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

func fromTxn(answer etcdjson.TxnResponse) TxnResult {
	out := TxnResult{Succeeded: answer.Succeeded, Revision: answer.Header.Revision}
	for _, response := range answer.Responses {
		var result OpResult
		if response.Range != nil {
			for _, kv := range response.Range.KVs {
				result.KVs = append(result.KVs, fromKeyValue(kv))
			}
		}
		if response.Txn != nil {
			nested := fromTxn(*response.Txn)
			result.Txn = &nested
		}
		out.Results = append(out.Results, result)
	}
	return out
}

func fromKeyValue(kv etcdjson.KeyValue) KV {
	return KV{
		Key: string(kv.Key), Value: kv.Value, Lease: LeaseID(kv.Lease),
		CreateRevision: kv.CreateRevision, ModRevision: kv.ModRevision,
	}
}
