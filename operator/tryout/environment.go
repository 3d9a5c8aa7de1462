package tryout

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/order"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/daemon"
	"github.com/comfreyladder/comfreyladder/instance/intentfile"
	"github.com/comfreyladder/comfreyladder/instance/logline"
	"github.com/comfreyladder/comfreyladder/instance/settings"
	"github.com/comfreyladder/comfreyladder/operator/client"
	"github.com/comfreyladder/comfreyladder/operator/samples"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
	"github.com/comfreyladder/comfreyladder/operator/standin/host"
	"github.com/comfreyladder/comfreyladder/operator/standin/service"
)

const (
	engineCount = 2
	// speed shortens the stand-ins' work so that the demo doesn't take long.
	speed = 5
)

// environment is one instance with its stand-ins, in a temporary folder that close removes.
type environment struct {
	scenario        scenario
	dir             string
	organisationKey string
	operatorKey     string
	upstreamKey     string
	daemon          *daemon.Daemon
	engines         []*engine.Engine
	service         *service.Service
}

func newEnvironment(s scenario) (*environment, error) {
	dir, err := os.MkdirTemp("", "comfreyladder-demo-")
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "make a folder for the demo")
	}
	st := &environment{scenario: s, dir: dir, organisationKey: rand.Text(), operatorKey: rand.Text(), upstreamKey: rand.Text()}
	if err := st.prepare(); err != nil {
		st.close()
		return nil, err
	}
	return st, nil
}

func (st *environment) prepare() error {
	text, err := samples.Intent(st.scenario.user)
	if err != nil {
		return err
	}
	doc, err := intentfile.Parse("sample", []byte(text))
	if err != nil {
		return err
	}
	text = samples.WithKey(text, samples.FirstOperator, config.HashKey(st.operatorKey))
	for i := range doc.Upstreams {
		text = samples.WithKey(text, samples.FirstUpstream+i, config.HashKey(st.upstreamKey))
	}
	old := doc.Organisation(st.scenario.organisation).KeyHashes[0]
	text = strings.ReplaceAll(text, old, config.HashKey(st.organisationKey))
	if err := st.write("intent.ini", text); err != nil {
		return err
	}
	if err := st.write("peer.key", rand.Text()); err != nil {
		return err
	}
	name := st.scenario.domain + "-1"
	ini := fmt.Sprintf(`[instance]
name = %s
failure_domain = %s
data_folder = data
drain_delay = 0s
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
[control]
peer_key_file = peer.key
founders = %s@127.0.0.1:0
founding_intent = intent.ini
[log]
level = error
`, name, st.scenario.domain, name)
	return st.write("instance.ini", ini)
}

func (st *environment) write(name, text string) error {
	if err := os.WriteFile(filepath.Join(st.dir, name), []byte(text), 0o600); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write %s", name)
	}
	return nil
}

func (st *environment) start() error {
	cfg, err := settings.Load(filepath.Join(st.dir, "instance.ini"))
	if err != nil {
		return err
	}
	log, err := logline.New(os.Stderr, cfg.Log.Level)
	if err != nil {
		return err
	}
	if st.daemon, err = daemon.New(cfg, log); err != nil {
		return err
	}
	ctx := context.Background()
	if err := st.daemon.Start(ctx); err != nil {
		return err
	}
	if err := st.startStandIns(ctx); err != nil {
		return err
	}
	return st.wait("the engines to announce themselves", st.allUpstreamsLive)
}

func (st *environment) startStandIns(ctx context.Context) error {
	common := host.Config{Announce: []string{st.daemon.CallerAddress()}, Credential: st.upstreamKey}
	doc, err := intentfile.Load(filepath.Join(st.dir, "intent.ini"))
	if err != nil {
		return err
	}
	for _, rule := range doc.Upstreams {
		prefix := strings.TrimSuffix(rule.Name, "*")
		if rule.Kind == "service" {
			st.service = service.New(service.Config{Config: common, Name: prefix + "1", Domain: st.scenario.domain, Service: st.scenario.service})
			if err := st.service.Start(ctx); err != nil {
				return err
			}
			continue
		}
		for i := range engineCount {
			e := engine.New(engine.Config{
				Config: common, Name: fmt.Sprintf("%s%d", prefix, i+1), Domain: st.scenario.domain,
				Models: order.Names(doc.Model(st.scenario.model)), Speed: speed,
			})
			if err := e.Start(ctx); err != nil {
				return err
			}
			st.engines = append(st.engines, e)
		}
	}
	return nil
}

func (st *environment) allUpstreamsLive() bool {
	s, err := st.operatorClient().Status()
	if err != nil {
		return false
	}
	live := 0
	for _, u := range s.Upstreams {
		if u.State == "live" {
			live++
		}
	}
	return live == engineCount+1
}

func (st *environment) operatorClient() *client.Client {
	return &client.Client{Address: st.daemon.OperatorAddress(), Key: st.operatorKey}
}

// effects returns the number of calls that the plain service has run.
func (st *environment) effects() int { return st.service.Book().Counts().Effects }

func (st *environment) stop(w io.Writer) error {
	for _, e := range slices.Backward(st.engines) {
		if err := e.Stop(context.Background()); err != nil {
			return err
		}
	}
	if err := st.service.Stop(context.Background()); err != nil {
		return err
	}
	if err := st.daemon.Stop(context.Background()); err != nil {
		return err
	}
	st.daemon = nil
	fmt.Fprintln(w, "-- drained and stopped")
	fmt.Fprintln(w)
	return nil
}

// close kills the instance if it still runs, and removes the folder.
func (st *environment) close() {
	if st.daemon != nil {
		_ = st.daemon.Kill(context.Background())
	}
	_ = os.RemoveAll(st.dir)
}
