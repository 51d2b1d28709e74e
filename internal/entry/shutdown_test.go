package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a graceful shutdown that closes a connection while a request is read from it.
func TestShutdownAnswersRequestThatIsBeingRead(t *testing.T) {
	g := NewWithT(t)
	e, stop := startEntry(t, "entry-1", "a")
	nc, err := net.Dial("tcp", e.CallerAddress())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = nc.Close() }()
	answers := bufio.NewReader(nc)
	status := func() int {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return 0
		}
		_, err = io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		return resp.StatusCode
	}
	const request = "GET /other HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + apiKey + "\r\n\r\n"
	_, _ = io.WriteString(nc, request)
	g.Expect(status()).To(Equal(404))
	_, _ = io.WriteString(nc, request[:20])
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	g.Eventually(func() error {
		other, err := net.Dial("tcp", e.CallerAddress())
		if err == nil {
			_ = other.Close()
		}
		return err
	}, waitTimeout).Should(HaveOccurred(), "the entry accepts no connections any more")
	g.Consistently(stopped, "100ms").ShouldNot(Receive())
	_, _ = io.WriteString(nc, request[20:])
	g.Expect(status()).To(Equal(404))
	g.Expect(<-stopped).To(Succeed())
}
