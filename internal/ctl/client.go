package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/config"
)

const (
	// requestTimeout bounds one HTTP request. It exceeds the 5 s timeout of a submission on the entry.
	requestTimeout = 8 * time.Second
	// maxResponseBytes bounds a response body. It is enough for a JSON-escaped document and the list of changes to another one.
	maxResponseBytes = 8 << 20
)

// errDefinitive marks errors that every entry would return, so that a retry is useless.
var errDefinitive = errors.New("refused by the entry")

// errNotFound marks not-found responses: the entry has no configuration, or not the requested revision.
var errNotFound = errors.New("the entry does not have the requested configuration")

// errOutcomeUnknown marks submissions that failed but may have been accepted.
var errOutcomeUnknown = errors.New("outcome unknown")

// client calls the admin interface of the entries and fails over to the next entry when one does not respond or responds with a
// server error.
type client struct {
	urls  []string
	token string
	// timeout bounds one call of doWithRetry.
	timeout time.Duration
	http    *http.Client
	// preferred is the index in urls of the entry that is tried first: the one that responded last.
	preferred int
}

func newClient(urls []string, token string, timeout time.Duration) *client {
	return &client{urls: urls, token: token, timeout: timeout, http: &http.Client{
		Timeout: requestTimeout,
		// A redirect would carry the token to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// doOnce sends one request to one entry and decodes a successful response into result. maybeRan is false when the request
// certainly had no effect. The error matches errDefinitive when a retry is useless.
func (c *client) doOnce(ctx context.Context, method, url string, body []byte, result any) (maybeRan bool, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false, errors.Mark(err, errDefinitive)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		var opErr *net.OpError
		notSent := errors.As(err, &opErr) && opErr.Op == "dial"
		return !notSent, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return true, errors.Wrapf(err, "%s: read response", url)
	}
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusCreated {
		return true, errors.Wrapf(json.Unmarshal(text, result), "%s: decode response", url)
	}
	return response.Header.Get(admin.OutcomeHeader) != admin.OutcomeNotRun, responseError(url, response.Status, response.StatusCode, text)
}

// responseError converts an error response to an error with the matching exit code, marked as errDefinitive and errNotFound where these
// apply.
func responseError(url, status string, code int, text []byte) error {
	var body admin.ErrorBody
	if err := json.Unmarshal(text, &body); err != nil || body.Error.Message == "" {
		body.Error.Message = "response status " + status
	}
	err := errors.Newf("%s: %s", url, body.Error.Message)
	switch {
	case code == http.StatusConflict:
		return errors.Mark(conflictError(conflictDetail(err, body.Error)), errDefinitive)
	case code == http.StatusUnprocessableEntity:
		return errors.Mark(refusedError(err), errDefinitive)
	case body.Error.Code == admin.CodeNotFound:
		return errors.Mark(errors.Mark(err, errNotFound), errDefinitive)
	case code < http.StatusInternalServerError:
		return errors.Mark(err, errDefinitive)
	default:
		return err
	}
}

// conflictDetail adds to err the revision that was accepted first and what the submitted text would change in it.
func conflictDetail(err error, detail admin.ErrorDetail) error {
	if detail.Current == nil {
		return err
	}
	text := ""
	for _, change := range detail.Difference {
		text += "\n  " + change.String()
	}
	return errors.Newf("%v\nrevision %d by %s has digest %s; the submitted text differs from it in:%s",
		err, detail.Current.Revision, detail.Current.Author, detail.Current.Digest, text)
}

// doWithRetry tries the entries in turn, with backoff after each round, until one succeeds or returns a definitive error, or
// until the timeout ends. The error of a POST that may have taken effect matches errOutcomeUnknown.
func (c *client) doWithRetry(ctx context.Context, method, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	maybeRan := false
	var lastErr error
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		for range c.urls {
			attemptMaybeRan, err := c.doOnce(ctx, method, c.urls[c.preferred]+path, body, result)
			maybeRan = maybeRan || attemptMaybeRan
			if err == nil {
				return struct{}{}, nil
			}
			if lastErr == nil || ctx.Err() == nil || errors.Is(err, errDefinitive) {
				lastErr = err // An attempt that the timeout cuts off says less than those before it.
			}
			if errors.Is(err, errDefinitive) {
				return struct{}{}, backoff.Permanent(err)
			}
			c.preferred = (c.preferred + 1) % len(c.urls)
		}
		return struct{}{}, lastErr
	}, backoff.WithMaxElapsedTime(c.timeout))
	switch {
	case err == nil:
		return nil
	case errors.Is(lastErr, errDefinitive):
		return lastErr
	case lastErr != nil:
		err = lastErr
	}
	if maybeRan && method == http.MethodPost {
		return errors.Mark(err, errOutcomeUnknown)
	}
	return err
}

// current returns the configuration in force. The error matches errNotFound when there is none.
func (c *client) current(ctx context.Context) (config.Envelope, error) {
	var e config.Envelope
	err := c.doWithRetry(ctx, http.MethodGet, admin.PathConfig, nil, &e)
	return e, checkEnvelope(e, err)
}

// history returns an accepted configuration. The error matches errNotFound when there is no such revision.
func (c *client) history(ctx context.Context, revision uint64) (config.Envelope, error) {
	var e config.Envelope
	err := c.doWithRetry(ctx, http.MethodGet, admin.PathHistory+strconv.FormatUint(revision, 10), nil, &e)
	return e, checkEnvelope(e, err)
}

func (c *client) status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	err := c.doWithRetry(ctx, http.MethodGet, admin.PathStatus, nil, &s)
	return s, err
}

// submit submits a configuration. All attempts carry the same submission ID, so that it is accepted at most once.
func (c *client) submit(ctx context.Context, s config.Submission) (config.Envelope, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return config.Envelope{}, errors.Wrap(err, "submission")
	}
	var e config.Envelope
	err = c.doWithRetry(ctx, http.MethodPost, admin.PathConfig, body, &e)
	if errors.Is(err, errOutcomeUnknown) {
		return e, errors.Wrapf(err, "the outcome is unknown; repeat with -id %s -base %d", s.SubmissionID, s.Base)
	}
	if err != nil {
		return e, err
	}
	if e.Digest != s.Digest {
		return e, errors.Newf("the entry accepted digest %s, %s was submitted", e.Digest, s.Digest)
	}
	return e, nil
}

// checkEnvelope returns err, or an error when the text does not match the digest.
func checkEnvelope(e config.Envelope, err error) error {
	if err == nil && config.Digest(e.Text) != e.Digest {
		return errors.Newf("revision %d: the text does not match the digest that the entry sent with it", e.Revision)
	}
	return err
}
