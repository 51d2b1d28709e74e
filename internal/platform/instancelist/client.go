// Package instancelist is the client of the platform's list of instances, which lags behind the actual state of the fleet.
package instancelist

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/bodyread"
)

const (
	// headerTimeout bounds the time until the header of the response arrives.
	headerTimeout = 2 * time.Second
	// maxListBytes bounds the response. It is enough for about 40,000 instances.
	maxListBytes = 8 << 20
)

// Errors of a Client.
var (
	// ErrUnavailable means that the list could not be read.
	ErrUnavailable = errors.New("instancelist: unavailable")
	// ErrMalformed means that the response is not an instance list.
	ErrMalformed = errors.New("instancelist: malformed response")
)

// State is whether an instance is in service or leaving.
type State string

// States of an instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one instance of the list.
type Instance struct {
	ID string `json:"id"`
	// Role is a message.Role: "entry" or "agent".
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Address is the address for links between nodes.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Document is the JSON body of the list.
type Document struct {
	Instances []Instance `json:"instances"`
}

// Client reads the list. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the service at baseURL, which serves the list at /instances.
func NewClient(baseURL string) *Client {
	transport := &http.Transport{ResponseHeaderTimeout: headerTimeout, IdleConnTimeout: time.Minute,
		MaxResponseHeaderBytes: bodyread.MaxHeadBytes}
	return &Client{url: strings.TrimRight(baseURL, "/") + "/instances", http: &http.Client{Transport: transport}}
}

// List reads all instances. It returns ErrUnavailable or ErrMalformed.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "instancelist"), ErrUnavailable)
	}
	response, err := c.http.Do(request)
	if err != nil {
		// The fault that made this connection fail may affect the idle connections too.
		c.http.CloseIdleConnections()
		return nil, errors.Mark(errors.Wrap(err, "instancelist"), ErrUnavailable)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Mark(errors.Newf("instancelist: status %d", response.StatusCode), ErrUnavailable)
	}
	body, err := bodyread.ReadAll(ctx, cancel, response.Body, maxListBytes, nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "instancelist"), ErrUnavailable)
	}
	var document Document
	if err := json.Unmarshal(body, &document); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "instancelist"), ErrMalformed)
	}
	return document.Instances, nil
}
