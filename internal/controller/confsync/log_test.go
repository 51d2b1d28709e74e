package confsync_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/controller/confsync"
)

// Guards against logs that show a reversion which did not happen: two revisions in force in reverse order.
func TestRevisionsAreLoggedInTheOrderInWhichTheyAreInForce(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	var logged []string
	log := funcr.New(func(_, args string) {
		if !strings.Contains(args, "configuration in force") {
			return
		}
		if strings.Contains(args, `"revision"=1 `) {
			time.Sleep(50 * time.Millisecond) // The next revision arrives before the line is written.
		}
		mu.Lock()
		defer mu.Unlock()
		logged = append(logged, args)
	}, funcr.Options{})
	holder := config.NewHolder()
	s := confsync.New(confsync.Config{NodeID: "a", Holder: holder, Store: newFakeStore(), Log: log, Announce: func() {}})
	var wg sync.WaitGroup
	for base := range uint64(2) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := s.Submit(t.Context(), testSubmission(base, fmt.Sprint("sub-", base), "doc"))
			g.Expect(err).NotTo(HaveOccurred())
		}()
		g.Eventually(holder.Revision, time.Second, time.Millisecond).Should(BeEquivalentTo(base + 1))
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	g.Expect(logged).To(HaveLen(2))
	g.Expect(logged[1]).To(ContainSubstring(`"revision"=2 `))
}
