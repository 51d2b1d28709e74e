//go:build review

package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// origin is the origin of weights. It can spoil one digit of a manifest that it sends.
type origin struct {
	standin.Origin
	record *record

	mu sync.Mutex
	// spoilNext is the version of which the next manifest is spoiled, empty for none.
	spoilNext string
}

// spoilNextManifest spoils one digit of one digest in the next manifest of a version that is sent.
func (o *origin) spoilNextManifest(version string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spoilNext = version
}

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, wire["manifest_path"]) {
		o.record.printf("the origin sends %s", r.URL)
		o.Origin.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	o.Origin.ServeHTTP(answer, r)
	body := answer.Body.Bytes()
	o.mu.Lock()
	spoil := o.spoilNext != "" && o.spoilNext == r.URL.Query().Get("version")
	if spoil {
		o.spoilNext = ""
	}
	o.mu.Unlock()
	if spoil {
		// One bit of the first digit of the first digest: the answer stays well-formed.
		at := bytes.Index(body, []byte(`"digests":["`)) + len(`"digests":["`)
		body[at] = flipDigit(body[at])
	}
	o.record.printf("the origin sends %s, spoiled %v", r.URL, spoil)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = w.Write(body)
}

// flipDigit flips the lowest bit of a hexadecimal digit. The result is another one, except for g, which is f's neighbour.
func flipDigit(digit byte) byte {
	if digit == 'f' {
		return 'd'
	}
	if digit >= 'a' {
		return digit ^ 3
	}
	return digit ^ 1
}
