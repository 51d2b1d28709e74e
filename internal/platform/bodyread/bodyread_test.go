package bodyread_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/platform/bodyread"
)

// slowBody delivers size bytes in parts, each after a pause. A negative size is a body without end.
type slowBody struct {
	ctx        context.Context
	size, part int
	pause      time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.size == 0 {
		return 0, io.EOF
	}
	select {
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-time.After(b.pause):
	}
	n := min(len(p), b.part)
	if b.size > 0 {
		n = min(n, b.size)
		b.size -= n
	}
	return n, nil
}

// Guards against a body without end that keeps a read waiting by a byte from time to time: at the size limit of a manifest, such a read
// would last for weeks.
func TestSlowBodyWithoutEndStalls(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 3*bodyread.IdleTimeout)
	defer cancel()
	body := &slowBody{ctx: ctx, size: -1, part: 1, pause: 20 * time.Millisecond}
	started := time.Now()
	_, err := bodyread.ReadAll(ctx, cancel, body, 32<<20, nil)
	g.Expect(errors.Is(err, bodyread.ErrStalled)).To(BeTrue(), "%v", err)
	g.Expect(time.Since(started)).To(BeNumerically("<", 2*bodyread.IdleTimeout))
}

// Guards against taking a slow link for a body without end.
func TestBodyOnSlowLinkIsRead(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const size = 64 << 10
	body := &slowBody{ctx: ctx, size: size, part: 4 << 10, pause: 50 * time.Millisecond}
	content, err := bodyread.ReadAll(ctx, cancel, body, size, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(content).To(HaveLen(size))
}
