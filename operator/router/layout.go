package router

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/instance/daemon"
	"github.com/comfreyladder/comfreyladder/instance/logline"
	"github.com/comfreyladder/comfreyladder/instance/settings"
)

const (
	intentFile  = "intent.ini"
	peerKeyFile = "peer.key"
	// operatorName names the read-only operator whose key the load tool uses for its calls to the
	// instances.
	operatorName = "bench"
)

// writeFiles writes the files of all instances. The first instance of each domain has a data
// folder; these instances found the control group.
func (s *System) writeFiles() error {
	if err := s.write(peerKeyFile, rand.Text()); err != nil {
		return err
	}
	doc := *s.experiment.Intent
	sum := sha256.Sum256([]byte(s.key))
	doc.Operators = append(doc.Operators[:len(doc.Operators):len(doc.Operators)],
		intent.Operator{Name: operatorName, KeyHash: hex.EncodeToString(sum[:]), ReadOnly: true})
	if err := s.write(intentFile, formatIntent(&doc)); err != nil {
		return err
	}
	peers, err := freePorts(instancesPerDomain * len(s.experiment.Engines.Domains))
	if err != nil {
		return err
	}
	var founders []string
	for i, domain := range s.experiment.Engines.Domains {
		founders = append(founders, fmt.Sprintf("%s-1@%s", domain, peers[i*instancesPerDomain]))
	}
	for i, domain := range s.experiment.Engines.Domains {
		for n := range instancesPerDomain {
			in := &instance{name: fmt.Sprintf("%s-%d", domain, n+1), domain: domain, key: s.key, expectedUpstreams: s.upstreamCount(i)}
			in.settingsFile = filepath.Join(s.dir, in.name+".ini")
			if err := s.write(in.name+".ini", in.settingsText(peers[i*instancesPerDomain+n], founders, n == 0)); err != nil {
				return err
			}
			s.instances = append(s.instances, in)
		}
	}
	return nil
}

// upstreamCount returns the number of stand-ins that the fleet starts in a domain.
func (s *System) upstreamCount(domain int) int {
	domains := len(s.experiment.Engines.Domains)
	share := func(count int) int { return (count - domain + domains - 1) / domains }
	sum := share(s.experiment.Engines.Count)
	for _, r := range s.experiment.Runners {
		sum += share(r.Count)
	}
	return sum
}

func (s *System) write(name, text string) error {
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write %s", name)
	}
	return nil
}

func (in *instance) settingsText(peer string, founders []string, disk bool) string {
	var seeds []string
	for _, f := range founders {
		_, address, _ := strings.Cut(f, "@")
		seeds = append(seeds, address)
	}
	b := &strings.Builder{}
	fmt.Fprintf(b, "[instance]\nname = %s\nfailure_domain = %s\ndrain_delay = 0s\n", in.name, in.domain)
	if disk {
		fmt.Fprintf(b, "data_folder = data-%s\n", in.name)
	}
	fmt.Fprintf(b, "[listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = %s\nevent_loops = 1\n", peer)
	fmt.Fprintf(b, "[control]\npeer_key_file = %s\nseeds = %s\n", peerKeyFile, strings.Join(seeds, ", "))
	if disk {
		fmt.Fprintf(b, "founders = %s\nfounding_intent = %s\n", strings.Join(founders, ", "), intentFile)
	}
	b.WriteString("[log]\nlevel = error\n")
	return b.String()
}

func (in *instance) start(ctx context.Context) error {
	cfg, err := settings.Load(in.settingsFile)
	if err != nil {
		return err
	}
	log, err := logline.New(os.Stderr, cfg.Log.Level)
	if err != nil {
		return err
	}
	if in.daemon, err = daemon.New(cfg, log); err != nil {
		return err
	}
	return in.daemon.Start(ctx)
}

// freePorts returns loopback addresses whose ports were free when it probed them. Peers must know
// each other's addresses before any of them listens.
func freePorts(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fault.Wrap(err, fault.Unavailable, "find a free port")
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

func eventLines(e *admin.Explanation) (out []string) {
	for _, ev := range e.Events {
		out = append(out, fmt.Sprintf("%8.0f ms  %s", ev.AtMillis, ev.Text))
	}
	return append(out, "outcome "+e.Outcome)
}
