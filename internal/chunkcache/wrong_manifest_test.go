package chunkcache_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/message"
)

// fleetPeers is what one node of a fleet sees of the others: entries of two data centres and an agent in each. Node IDs begin with the data centre; the
// origin is in z0.
type fleetPeers struct {
	self  string
	nodes map[string]*chunkcache.Cache
}

// ranked returns the entries of a data centre, the first one for a chunk first.
func (p *fleetPeers) ranked(dataCentre string, chunk int) []string {
	var out []string
	for id := range p.nodes {
		if strings.HasPrefix(id, dataCentre+"-entry") {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return int(rankOf(a, chunk)) - int(rankOf(b, chunk)) })
	return out
}

func rankOf(id string, chunk int) uint16 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, chunk, id)
	return uint16(h.Sum32())
}

func (p *fleetPeers) WeightPeers(_, _ string, _ int64, chunk int) []chunkcache.Source {
	dataCentre := p.self[:2]
	sources := p.ranked(dataCentre, chunk)
	if i := slices.Index(sources, p.self); i >= 0 { // An entry: those that rank higher, or for the first one those of the origin's data centre.
		sources = sources[:i]
		if i == 0 && dataCentre != "z0" {
			sources = p.ranked("z0", chunk)
		}
	}
	var out []chunkcache.Source
	for _, id := range sources {
		out = append(out, chunkcache.Source{NodeID: id})
	}
	return out
}

func (p *fleetPeers) MayReadOrigin(_, _ string, _ int64, chunk int, _ chunkcache.Need) bool {
	return p.ranked("z0", chunk)[0] == p.self
}

func (p *fleetPeers) FetchWeights(ctx context.Context, from chunkcache.Source, model string, version int64, chunk int) (*message.WeightsReply, error) {
	reply := p.nodes[from.NodeID].Serve(ctx, &message.WeightsRequest{Model: model, Version: version, Chunk: chunk, HeldOnly: from.HeldOnly})
	if reply.Error != "" {
		return nil, fmt.Errorf("%s: %s", from.NodeID, reply.Error)
	}
	return reply, nil
}

// newWeightsFleet returns two data centres with two entries and an agent each.
func newWeightsFleet(o chunkcache.Origin) map[string]*chunkcache.Cache {
	nodes := map[string]*chunkcache.Cache{}
	for _, dataCentre := range []string{"z0", "z1"} {
		for _, name := range []string{"entry-a", "entry-b", "agent"} {
			id := dataCentre + "-" + name
			origin := o
			if name == "agent" {
				origin = nil
			}
			nodes[id] = chunkcache.New(testOrigin, origin, &fleetPeers{self: id, nodes: nodes}, logr.Discard()).
				WithChunkCount(func(string) int { return 4 })
		}
	}
	return nodes
}

// spoil returns digests with one wrong digit at each of the given chunks.
func spoil(digests []string, chunks ...int) []string {
	out := slices.Clone(digests)
	for _, chunk := range chunks {
		last := "0"
		if strings.HasSuffix(out[chunk], last) {
			last = "1"
		}
		out[chunk] = out[chunk][:len(out[chunk])-1] + last
	}
	return out
}

// Guards against nodes that never hold a version because a manifest of it was wrong: each took the same manifest from the others again, and only the
// one that reads the chunk from the origin sees that it does not match (RECOVER, review/2). A wrong manifest must not load too few chunks either.
func TestWrongManifestIsCorrectedOnAllNodes(t *testing.T) {
	first := func(change func([]string) []string) func(int, []string) []string {
		return func(n int, digests []string) []string {
			if n == 1 {
				return change(digests)
			}
			return digests
		}
	}
	cases := map[string]func(int, []string) []string{
		"all digests of the first one":  first(func(d []string) []string { return spoil(d, 0, 1, 2, 3) }),
		"two digests of the first one":  first(func(d []string) []string { return spoil(d, 0, 3) }),
		"the first one is too short":    first(func(d []string) []string { return d[:3] }),
		"the first one is too long":     first(func(d []string) []string { return append(d, d[0]) }),
		"digests of another version":    first(func([]string) []string { return digests(1, 4) }),
		"digests in another order":      first(func(d []string) []string { return []string{d[1], d[0], d[3], d[2]} }),
		"another digest in each of six": func(n int, d []string) []string { return spoilUntil(6, n, d, n%4) },
	}
	for chunk := range 4 {
		cases[fmt.Sprintf("digest %d of the first one", chunk)] = first(func(d []string) []string { return spoil(d, chunk) })
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				o := &fakeOrigin{spoilManifest: change}
				const recoverTime = 12 * time.Second
				ctx, cancel := context.WithTimeout(t.Context(), recoverTime)
				defer cancel()
				nodes := newWeightsFleet(o)
				errs := make(chan error, len(nodes))
				for id, node := range nodes {
					go func() { errs <- holdAll(ctx, id, node) }()
				}
				time.Sleep(recoverTime)
				synctest.Wait()
				for range nodes {
					g.Expect(<-errs).NotTo(HaveOccurred())
				}
				for chunk := range 4 {
					g.Expect(o.reads[chunk]).To(BeNumerically("<=", 2), "reads of chunk %d from the origin", chunk)
				}
			})
		})
	}
}

// spoilUntil spoils one digest of the first count manifests.
func spoilUntil(count, n int, digests []string, chunk int) []string {
	if n > count {
		return digests
	}
	return spoil(digests, chunk)
}

// holdAll reads the manifest and all chunks of version 2 and compares them.
func holdAll(ctx context.Context, id string, node *chunkcache.Cache) error {
	if _, err := node.Manifest(ctx, "m", 2); err != nil {
		return fmt.Errorf("%s: manifest: %w", id, err)
	}
	for chunk := range 4 {
		data, err := node.Chunk(ctx, "m", 2, chunk)
		if err != nil {
			return fmt.Errorf("%s: chunk %d: %w", id, chunk, err)
		}
		if string(data) != string(chunkData(2, chunk)) {
			return fmt.Errorf("%s: chunk %d is wrong", id, chunk)
		}
	}
	manifest, err := node.Manifest(ctx, "m", 2)
	if err == nil && !slices.Equal(manifest, digests(2, 4)) {
		err = fmt.Errorf("%s: the manifest is still wrong", id)
	}
	return err
}

// Guards against a right manifest and the chunks held that are dropped because the origin sends one chunk corrupt several times.
func TestCorruptChunkDropsNothing(t *testing.T) {
	g := NewWithT(t)
	o := &fakeOrigin{}
	c := chunkcache.New(testOrigin, o, &fakePeers{}, logr.Discard())
	_, err := c.Chunk(testContext(t), "m", 2, 0)
	g.Expect(err).NotTo(HaveOccurred())
	o.corruptNext = 5
	_, err = c.Chunk(testContext(t), "m", 2, 1)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Chunk(testContext(t), "m", 2, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.reads).To(Equal(map[int]int{0: 1, 1: 6}))
}

// Guards against a peer whose chunk does not match its own digest, or that claims none, and replaces the digest of the manifest.
func TestPeerWithoutProofDoesNotCorrectTheManifest(t *testing.T) {
	g := NewWithT(t)
	o := &fakeOrigin{}
	wrong := chunkData(7, 0)
	for _, claimed := range []string{"", digests(2, 4)[1]} {
		p := &fakePeers{order: []string{"a"}, nodes: map[string]func(int) (*message.WeightsReply, error){
			"a": func(chunk int) (*message.WeightsReply, error) {
				if chunk == message.WholeManifest {
					return &message.WeightsReply{Digests: digests(2, 4)}, nil
				}
				return &message.WeightsReply{Data: wrong, Digest: claimed}, nil
			},
		}}
		c := chunkcache.New(testOrigin, o, p, logr.Discard())
		got, err := c.Chunk(testContext(t), "m", 2, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(chunkData(2, 0)))
	}
}
