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
	engines = 2
	// speed makes the stand-ins' work fast enough for a demo.
	speed = 5
)

// stage is one instance with its stand-ins, in a folder that ends with it.
type stage struct {
	scene   scene
	dir     string
	orgKey  string
	opKey   string
	upKey   string
	daemon  *daemon.Daemon
	engines []*engine.Engine
	service *service.Service
}

func newStage(s scene) (*stage, error) {
	dir, err := os.MkdirTemp("", "comfreyladder-demo-")
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "make a folder for the demo")
	}
	st := &stage{scene: s, dir: dir, orgKey: rand.Text(), opKey: rand.Text(), upKey: rand.Text()}
	if err := st.prepare(); err != nil {
		st.close()
		return nil, err
	}
	return st, nil
}

func (st *stage) prepare() error {
	text, err := samples.Intent(st.scene.user)
	if err != nil {
		return err
	}
	doc, err := intentfile.Parse("sample", []byte(text))
	if err != nil {
		return err
	}
	text = samples.WithKey(text, samples.FirstOperator, config.HashKey(st.opKey))
	for i := range doc.Upstreams {
		text = samples.WithKey(text, samples.FirstUpstream+i, config.HashKey(st.upKey))
	}
	old := doc.Organisation(st.scene.organisation).KeyHashes[0]
	text = strings.ReplaceAll(text, old, config.HashKey(st.orgKey))
	if err := st.write("intent.ini", text); err != nil {
		return err
	}
	if err := st.write("peer.key", rand.Text()); err != nil {
		return err
	}
	name := st.scene.domain + "-1"
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
`, name, st.scene.domain, name)
	return st.write("instance.ini", ini)
}

func (st *stage) write(name, text string) error {
	if err := os.WriteFile(filepath.Join(st.dir, name), []byte(text), 0o600); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write %s", name)
	}
	return nil
}

func (st *stage) start() error {
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
	return st.wait("the engines to announce themselves", st.announced)
}

func (st *stage) startStandIns(ctx context.Context) error {
	common := host.Config{Announce: []string{st.daemon.CallerAddress()}, Credential: st.upKey}
	doc, err := intentfile.Load(filepath.Join(st.dir, "intent.ini"))
	if err != nil {
		return err
	}
	for _, rule := range doc.Upstreams {
		prefix := strings.TrimSuffix(rule.Name, "*")
		if rule.Kind == "service" {
			st.service = service.New(service.Config{Config: common, Name: prefix + "1", Domain: st.scene.domain, Service: st.scene.service})
			if err := st.service.Start(ctx); err != nil {
				return err
			}
			continue
		}
		for i := range engines {
			e := engine.New(engine.Config{
				Config: common, Name: fmt.Sprintf("%s%d", prefix, i+1), Domain: st.scene.domain,
				Models: order.Names(doc.Model(st.scene.model)), Speed: speed,
			})
			if err := e.Start(ctx); err != nil {
				return err
			}
			st.engines = append(st.engines, e)
		}
	}
	return nil
}

func (st *stage) announced() bool {
	s, err := st.operator().Status()
	if err != nil {
		return false
	}
	live := 0
	for _, u := range s.Upstreams {
		if u.State == "live" {
			live++
		}
	}
	return live == engines+1
}

func (st *stage) operator() *client.Client {
	return &client.Client{Address: st.daemon.OperatorAddress(), Key: st.opKey}
}

// effects returns how often the plain service ran a call.
func (st *stage) effects() int { return st.service.Book().Counts().Effects }

func (st *stage) stop(w io.Writer) error {
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

// close ends what a failure left running.
func (st *stage) close() {
	if st.daemon != nil {
		_ = st.daemon.Kill(context.Background())
	}
	_ = os.RemoveAll(st.dir)
}
