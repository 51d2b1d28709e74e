package membudget_test

import (
	"bytes"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/membudget"
)

const kib = 1 << 10

// Load: 400 callers send bodies of 1 to 64 KiB, of known or unknown length, and read their responses at random speeds, beside a changing
// number of bytes that the kernel holds. Guards against bytes beyond the budget, and against bytes that are lost when requests end.
func TestNothingIsHeldBeyondTheBudget(t *testing.T) {
	g := NewWithT(t)
	const limit = 512 * kib
	budget := membudget.New(limit)
	var wg sync.WaitGroup
	for caller := range 400 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(1, uint64(caller)))
			body := make([]byte, kib+rng.IntN(63*kib))
			held := budget.Reserve()
			defer held.Release()
			expected := len(body)
			if caller%2 == 0 {
				expected = -1
			}
			read, err := held.ReadAll(iotest.OneByteReader(bytes.NewReader(body)), expected, 64*kib)
			usage := budget.Usage()
			if usage.Reserved > limit {
				t.Errorf("%d bytes are reserved", usage.Reserved)
			}
			if err == nil && len(read) != len(body) {
				t.Errorf("%d of %d bytes were read", len(read), len(body))
			}
			if err != nil && !errors.Is(err, membudget.ErrExhausted) {
				t.Error(err)
			}
			budget.SetUnread(rng.Int64N(100 * kib))
		}()
	}
	wg.Wait()
	budget.SetUnread(0)
	g.Expect(budget.Usage().Reserved).To(BeZero())
	held := budget.Reserve()
	_, err := held.ReadAll(strings.NewReader("x"), limit-1, limit)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(budget.Exhausted()).To(BeTrue())
}

// Guards against reading a part of a body that does not fit: a refused request must not use the memory that is short.
func TestBodyThatDoesNotFitIsNotRead(t *testing.T) {
	g := NewWithT(t)
	budget := membudget.New(10 * kib)
	budget.SetUnread(4 * kib)
	source := strings.NewReader(strings.Repeat("x", 8*kib))
	_, err := budget.Reserve().ReadAll(source, 8*kib, 8*kib)
	g.Expect(errors.Is(err, membudget.ErrExhausted)).To(BeTrue())
	g.Expect(source.Len()).To(Equal(8 * kib))
	g.Expect(budget.Usage()).To(Equal(membudget.Usage{Limit: 10 * kib, Unread: 4 * kib, Refusals: 1}))
}

// Guards against data that is lost or repeated where the next part does not fit: a response is forwarded from there on as it arrives.
func TestWhatWasReadBeforeTheBudgetRanOutIsKept(t *testing.T) {
	g := NewWithT(t)
	budget := membudget.New(20 * kib)
	text := make([]byte, 64*kib)
	for i := range text {
		text[i] = byte(i >> 8)
	}
	source := bytes.NewReader(text)
	held := budget.Reserve()
	read, err := held.ReadAll(source, -1, 64*kib)
	g.Expect(errors.Is(err, membudget.ErrExhausted)).To(BeTrue())
	rest, _ := io.ReadAll(source)
	g.Expect(append(read, rest...)).To(Equal(text))
	held.Release()
	g.Expect(budget.Usage().Reserved).To(BeZero())
}

// Guards against an event whose beginning is dropped because its rest does not fit, and against space that is counted twice.
func TestAppendWithinTheBudget(t *testing.T) {
	g := NewWithT(t)
	budget := membudget.New(4 * kib)
	held := budget.Reserve()
	buf, err := held.Append(make([]byte, 0, kib), make([]byte, kib))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(budget.Usage().Reserved).To(BeZero(), "the first buffer is the caller's")
	buf, err = held.Append(buf, []byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(budget.Usage().Reserved).To(Equal(int64(2 * kib)))
	buf, err = held.Append(buf, make([]byte, 2*kib))
	g.Expect(errors.Is(err, membudget.ErrExhausted)).To(BeTrue())
	g.Expect(buf).To(HaveLen(kib + 1))
}

// Guards against a failure of a deployment without a limit of memory, and against memory for what a sender announces and does not send.
func TestNoLimit(t *testing.T) {
	g := NewWithT(t)
	budget := membudget.New(0)
	held := budget.Reserve()
	read, err := held.ReadAll(strings.NewReader("text"), -1, kib)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(read)).To(Equal("text"))
	read, err = held.ReadAll(strings.NewReader("text"), math.MaxInt, math.MaxInt)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(read)).To(Equal("text"))
	held.Release()
	budget.SetUnread(1)
	g.Expect(budget.Exhausted()).To(BeFalse())
	g.Expect(budget.Usage()).To(Equal(membudget.Usage{}))
}

// Guards against a reader's failure that is taken for the end of the data.
func TestFailureOfTheSourceIsReturned(t *testing.T) {
	g := NewWithT(t)
	source := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))
	read, err := membudget.New(kib<<4).Reserve().ReadAll(source, 10, 10)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(string(read)).To(Equal("part"))
}

// Guards against a buffer of twice the largest body: data of unknown length that reaches its limit takes no more than that.
func TestBufferIsNoLargerThanTheLimitOfTheData(t *testing.T) {
	g := NewWithT(t)
	const most = 64 * kib
	budget := membudget.New(kib << 10)
	for _, size := range []int{0, 1, most - 1, most} {
		held := budget.Reserve()
		read, err := held.ReadAll(bytes.NewReader(make([]byte, size)), -1, most)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(read).To(HaveLen(size))
		g.Expect(budget.Usage().Reserved).To(BeNumerically("<=", most+1))
		held.Release()
	}
}
