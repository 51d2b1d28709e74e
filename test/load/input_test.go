package load_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/testbed"
)

var _ = Describe("A fleet with unusual callers", Ordered, func() {
	var bed *testbed.Bed
	BeforeAll(func(ctx SpecContext) { bed = launch(ctx) }, NodeTimeout(2*wait))

	stock := func(ctx context.Context, caller string) testbed.Reply {
		reply, err := bed.Call(ctx, testbed.Request{Entry: "entry-1", Method: http.MethodGet, Path: "/stock/tape", Caller: caller})
		Expect(err).NotTo(HaveOccurred())
		return reply
	}
	chat := func(ctx context.Context, caller string, body []byte) testbed.Reply {
		reply, err := bed.Call(ctx, testbed.Request{
			Entry: "entry-1", Method: http.MethodPost, Path: testbed.ChatPath, Caller: caller, Body: body,
		})
		Expect(err).NotTo(HaveOccurred())
		return reply
	}
	// raw sends text as it is and returns the status of the answer. Nothing more is sent, and the connection stays open.
	raw := func(text string) int {
		conn, err := net.Dial("tcp", bed.Node("entry-1").CallerAddress)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		Expect(conn.SetDeadline(time.Now().Add(wait))).To(Succeed())
		_, err = conn.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	head := func(line, more string) string {
		return line + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testbed.CallerKey("small-2") + "\r\n" + more + "\r\n"
	}
	AfterEach(func(ctx SpecContext) {
		Expect(stock(ctx, "small-1").Status).To(Equal(http.StatusOK), "another caller is served")
	}, NodeTimeout(wait))

	// Guards against requests of callers that the configuration does not know, and of known ones beyond their rights.
	It("refuses unknown callers and priorities that are not allowed", func(ctx SpecContext) {
		Expect(stock(ctx, "nobody").Status).To(Equal(http.StatusUnauthorized))
		reply, err := bed.Call(ctx, testbed.Request{
			Entry: "entry-1", Method: http.MethodPost, Path: testbed.ChatPath, Caller: "small-8", Priority: "urgent",
			Body: testbed.ChatBody("x", 1, false),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusForbidden))
		Expect(raw("GET /stock/tape HTTP/1.1\r\nHost: x\r\n\r\n")).To(Equal(http.StatusUnauthorized))
	}, NodeTimeout(wait))

	// Guards against a caller that exceeds its rate or its number of requests in progress at the expense of others.
	It("holds callers to their limits", func(ctx SpecContext) {
		limited := 0
		for range 30 {
			if reply := stock(ctx, "small-9"); reply.Status == http.StatusTooManyRequests {
				Expect(reply.Outcome).To(Equal("not-run"))
				Expect(reply.Header.Get("Retry-After")).NotTo(BeEmpty())
				limited++
			}
		}
		Expect(limited).To(BeNumerically(">=", 10))
		var mu sync.Mutex
		counts := make(map[int]int)
		var wg sync.WaitGroup
		for range 6 {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				status := chat(ctx, "small-8", testbed.ChatBody("long", 30, false)).Status
				mu.Lock()
				defer mu.Unlock()
				counts[status]++
			}()
		}
		wg.Wait()
		Expect(counts).To(Equal(map[int]int{http.StatusOK: 2, http.StatusTooManyRequests: 4}))
	}, NodeTimeout(wait))

	// Guards against oversized or malformed input that is run, that fails with a 5xx or that harms the entry or the upstream.
	It("answers oversized and malformed requests with a clear 4xx", func(ctx SpecContext) {
		Expect(chat(ctx, "small-2", bytes.Repeat([]byte("x"), 65537)).Status).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(chat(ctx, "small-2", []byte(`{"messages": [`)).Status).To(Equal(http.StatusBadRequest))
		Expect(raw(head("GET /stock/tape", "X: "+strings.Repeat("y", 9000)+"\r\n"))).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(raw("GARBAGE\r\n\r\n")).To(Equal(http.StatusBadRequest))
		Expect(raw(head("POST "+testbed.ChatPath, "Content-Length: 5\r\nTransfer-Encoding: nonsense\r\n"))).To(
			BeNumerically(">=", http.StatusBadRequest))
		chunks := "Transfer-Encoding: chunked\r\n"
		Expect(raw(head("POST "+testbed.ChatPath, chunks) + "zz\r\n")).To(Equal(http.StatusBadRequest))
		long := strings.Repeat("x", 70000)
		Expect(raw(head("POST "+testbed.ChatPath, chunks) + fmt.Sprintf("%x\r\n%s\r\n", len(long), long))).To(
			Equal(http.StatusRequestEntityTooLarge))
	}, NodeTimeout(wait))

	// Guards against running a part of a request, and against slow callers that hold up others.
	It("never runs truncated requests, and serves others while slow callers send and read", func(ctx SpecContext) {
		const order = "POST /orders"
		before, err := bed.Journal("service-1")
		Expect(err).NotTo(HaveOccurred())
		conn, err := net.Dial("tcp", bed.Node("entry-1").CallerAddress)
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte(head(order, "Content-Length: 100\r\n") + "part"))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		_ = resp.Body.Close()
		_ = conn.Close()

		slow := make(chan int, 10)
		for range cap(slow) { // Each sends no more than a part of the body.
			go func() {
				defer GinkgoRecover()
				slow <- raw(head(order, "Content-Length: 100\r\n") + "part")
			}()
		}
		for range 4 { // Each asks for a long stream and does not read it.
			reader, err := net.Dial("tcp", bed.Node("entry-1").CallerAddress)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = reader.Close() }()
			body := testbed.ChatBody("slow reader", 2000, true)
			_, err = reader.Write([]byte(head("POST "+testbed.ChatPath, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + string(body)))
			Expect(err).NotTo(HaveOccurred())
		}
		for range 50 {
			reply := stock(ctx, "small-1")
			Expect(reply.Status).To(Equal(http.StatusOK))
			Expect(reply.Total).To(BeNumerically("<", time.Second))
		}
		Expect(chat(ctx, "small-1", testbed.ChatBody("quick", 1, false)).Status).To(Equal(http.StatusOK))
		for range cap(slow) {
			Expect(<-slow).To(Equal(http.StatusRequestTimeout))
		}
		after, err := bed.Journal("service-1")
		Expect(err).NotTo(HaveOccurred())
		for _, entry := range after[len(before):] {
			Expect(entry.Path).NotTo(Equal("/orders"))
		}
	}, NodeTimeout(wait))
})
