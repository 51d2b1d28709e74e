package control_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/faultproxy"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/telemetry"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

const (
	wait = 30 * time.Second
	poll = 20 * time.Millisecond
	// catchUp is the target for a data centre after a partition has healed.
	catchUp = 5 * time.Second
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Configuration, membership and control")
}

var _ = AfterSuite(testbed.RemoveBinaries)

// fleet is a running bed with helpers that fail the spec.
type fleet struct{ *testbed.Bed }

func launch(ctx context.Context, spec testbed.Fleet) fleet {
	GinkgoHelper()
	bed, err := testbed.Launch(ctx, spec)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(bed.Close)
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(bed.LogTails())
		}
	})
	return fleet{bed}
}

// threeCentres has the store in the first of three data centres.
func threeCentres() testbed.Fleet {
	return testbed.Fleet{Proxies: true, DataCentres: []testbed.DataCentre{
		{Name: "jylland", Region: "west", Entries: 2, Models: 1},
		{Name: "sjaelland", Region: "west", Entries: 1, Models: 1},
		{Name: "fyn", Region: "west", Entries: 2, Models: 2},
	}}
}

// text returns a valid configuration that differs by its number.
func (f fleet) text(number int) string {
	return strings.Replace(testbed.DefaultConfig(f.Version), `"30s"`, fmt.Sprintf(`"%dms"`, 30000+number), 1)
}

// submit has a configuration accepted by an entry and returns its revision.
func (f fleet) submit(ctx context.Context, entry string, base uint64, number int) uint64 {
	GinkgoHelper()
	accepted, err := f.SubmitConfigOnBase(ctx, entry, base, f.text(number))
	Expect(err).NotTo(HaveOccurred(), f.LogTails)
	Expect(accepted.Revision).To(Equal(base + 1))
	return accepted.Revision
}

// refusal returns the refusal of a submission.
func refusal(err error) *testbed.SubmitError {
	GinkgoHelper()
	var refused *testbed.SubmitError
	Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
	return refused
}

// nodes returns the IDs of all nodes, or of those in a data centre.
func (f fleet) nodes(dataCentre string) []string {
	var out []string
	for _, role := range []message.Role{message.RoleEntry, message.RoleAgent} {
		for _, n := range f.Nodes(role) {
			if dataCentre == "" || n.DataCentre == dataCentre {
				out = append(out, n.ID)
			}
		}
	}
	return out
}

// revision returns the revision in force on a node, 0 when the node does not answer.
func (f fleet) revision(ctx context.Context, node string) uint64 {
	metrics, err := f.Metrics(ctx, node)
	if err != nil {
		return 0
	}
	return uint64(metrics[telemetry.MetricRevision])
}

// expectInForce waits until a revision is in force on nodes.
func (f fleet) expectInForce(ctx context.Context, revision uint64, nodes []string, within time.Duration) {
	GinkgoHelper()
	Eventually(func() map[string]uint64 {
		behind := make(map[string]uint64)
		for _, node := range nodes {
			if have := f.revision(ctx, node); have != revision {
				behind[node] = have
			}
		}
		return behind
	}).WithTimeout(within).WithPolling(poll).Should(BeEmpty())
}

// expectNoReversion checks that no node has put a lower revision in force after a higher one, over all its runs.
func (f fleet) expectNoReversion() {
	GinkgoHelper()
	for _, node := range f.nodes("") {
		var highest uint64
		for _, event := range f.ConfigEvents(node) {
			Expect(event.Revision).To(BeNumerically(">=", highest), node)
			highest = event.Revision
		}
	}
}

func (f fleet) restart(node string) {
	GinkgoHelper()
	f.Process(node).Kill()
	Expect(f.Process(node).Start()).To(Succeed())
}

// cut holds the connections of a data centre to the store, those to other data centres, or both, and returns what heals it.
func (f fleet) cut(dataCentre string, fromStore, fromCentres bool) (heal func()) {
	var cut []*faultproxy.Proxy
	hold := func(proxy *faultproxy.Proxy, match func(faultproxy.Source) bool) {
		proxy.Set("cut", match, faultproxy.Fault{Hold: true})
		cut = append(cut, proxy)
	}
	for _, id := range f.nodes("") {
		inside := f.Node(id).DataCentre == dataCentre
		if fromStore && inside {
			hold(f.Proxy(testbed.ProxyName(id, testbed.StoreName)), faultproxy.Any)
		}
		if proxy := f.Proxy(testbed.LinkProxyName(id)); fromCentres && proxy != nil {
			hold(proxy, func(s faultproxy.Source) bool { return (s.DataCentre == dataCentre) != inside })
		}
	}
	return func() {
		for _, proxy := range cut {
			proxy.Clear("cut")
		}
	}
}
