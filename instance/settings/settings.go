// Package settings holds the daemon's settings: what one process must know
// before it can learn anything else. All that operators change while the system
// runs belongs to the intent, not here.
package settings

import (
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/inifile"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	Instance Instance
	Listen   Listen
	TLS      TLS
	Control  Control
	Limits   Limits
	Upstream Upstream
	Log      Log
}

// Instance says who this process is.
type Instance struct {
	// Name is unique among all instances, and a new disk needs no new name.
	Name string `ini:"name" allow:"required"`
	// FailureDomain is the failure domain that the instance stands in.
	FailureDomain string `ini:"failure_domain" allow:"required"`
	// DataFolder holds all files; without one the instance only follows.
	DataFolder string `ini:"data_folder"`
	// DrainTimeout bounds a graceful shutdown, counted from the signal.
	DrainTimeout time.Duration `ini:"drain_timeout" default:"10m" allow:"1s..24h"`
	// DrainDelay is how long the instance answers "not ready" but goes on
	// taking requests, until the balancer has noticed.
	DrainDelay time.Duration `ini:"drain_delay" default:"5s" allow:"0s..5m"`
}

// Listen holds the listeners' addresses; port 0 takes a free port.
type Listen struct {
	// Callers serves callers, announcements and readiness, behind the balancer.
	Callers string `ini:"callers" default:"127.0.0.1:8080" allow:"address"`
	// Operators serves the administration API and metrics.
	Operators string `ini:"operators" default:"127.0.0.1:8081" allow:"address"`
	// Peers serves links from other instances.
	Peers string `ini:"peers" default:"127.0.0.1:8082" allow:"address"`
	// EventLoops is the number of event loops per listener; 0 takes one per core.
	EventLoops int `ini:"event_loops" default:"0" allow:"0..256"`
}

// TLS turns TLS on for all listeners. The files are read again when they change.
type TLS struct {
	Certificate string `ini:"certificate"`
	Key         string `ini:"key"`
	// PeerAuthority is the certificate authority that peers' certificates are
	// checked with; empty means the system's.
	PeerAuthority string `ini:"peer_authority"`
}

// Control says how the instance meets the others.
type Control struct {
	// Seeds are peer addresses of instances that are asked first.
	Seeds []string `ini:"seeds" allow:"address"`
	// PeerKeyFile holds the credential that all instances share.
	PeerKeyFile string `ini:"peer_key_file"`
	// Founders are the names of the instances that found the control group, each
	// with its peer address as name@address. Only needed with an empty data folder.
	Founders []string `ini:"founders"`
	// FoundingIntent is the intent file that becomes revision 1.
	FoundingIntent string `ini:"founding_intent"`
	// Lease is how long the configuration counts as known to be the newest
	// after the last contact with the control group.
	Lease time.Duration `ini:"configuration_lease" default:"5s" allow:"1s..10s"`
}

// Limits protect the instance from slow, large or many requests.
type Limits struct {
	// MaxHeader and MaxBody bound one request, in bytes.
	MaxHeader int `ini:"max_header_bytes" default:"16384" allow:"1024..1048576"`
	MaxBody   int `ini:"max_body_bytes" default:"4194304" allow:"1024..268435456"`
	// MaxConnections bounds open connections per listener.
	MaxConnections int `ini:"max_connections" default:"20000" allow:"1..1000000"`
	// IdleTimeout closes connections without a request.
	IdleTimeout time.Duration `ini:"idle_timeout" default:"75s" allow:"1s..1h"`
	// ReadTimeout bounds the arrival of one whole request.
	ReadTimeout time.Duration `ini:"read_timeout" default:"30s" allow:"1s..1h"`
	// WriteTimeout bounds how long a caller may not take what is written to it.
	WriteTimeout time.Duration `ini:"write_timeout" default:"30s" allow:"1s..1h"`
}

// Upstream holds the limits of connections to upstreams.
type Upstream struct {
	// ConnectTimeout bounds the connection's setup.
	ConnectTimeout time.Duration `ini:"connect_timeout" default:"500ms" allow:"1ms..1m"`
	// FirstByteTimeout bounds the wait for the first byte of an answer.
	FirstByteTimeout time.Duration `ini:"first_byte_timeout" default:"60s" allow:"1ms..1h"`
	// Silence bounds the gap between two events of a stream.
	Silence time.Duration `ini:"stream_silence" default:"5s" allow:"1ms..1h"`
	// IdleAge is the age at which an idle pooled connection is closed.
	IdleAge time.Duration `ini:"idle_age" default:"10s" allow:"0s..10m"`
	// Attempts bounds the tries of one request.
	Attempts int `ini:"attempts" default:"3" allow:"1..10"`
}

// Log says how much is logged.
type Log struct {
	Level string `ini:"level" default:"info" allow:"debug|info|warn|error"`
}

// Load reads and checks a settings file. All faults are reported at once, as an
// *inifile.FaultsError. Relative paths count from the file's folder.
func Load(path string) (*Settings, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	for _, part := range s.sections() {
		f.Decode(part.name, part.into)
	}
	s.cross(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	s.anchor(filepath.Dir(path))
	return s, nil
}

type section struct {
	name string
	into any
}

func (s *Settings) sections() []section {
	return []section{
		{"instance", &s.Instance}, {"listen", &s.Listen}, {"tls", &s.TLS}, {"control", &s.Control},
		{"limits", &s.Limits}, {"upstream", &s.Upstream}, {"log", &s.Log},
	}
}

// Describe writes all keys with their defaults and what is allowed.
func Describe(w io.Writer) {
	for _, part := range (&Settings{}).sections() {
		inifile.Describe(w, part.name, reflect.ValueOf(part.into).Elem().Interface())
	}
}

// cross checks what no single key can tell.
func (s *Settings) cross(f *inifile.File) {
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		f.Add("tls", "key", s.TLS.Key, "certificate and key go together")
	}
	if len(s.Control.Seeds) > 0 && s.Control.PeerKeyFile == "" {
		f.Add("control", "peer_key_file", "", "needed with seeds: no peer is met without a credential")
	}
	if len(s.Control.Founders) > 0 && s.Instance.DataFolder == "" {
		f.Add("instance", "data_folder", "", "needed with founders: a founder keeps control state")
	}
	for _, founder := range s.Control.Founders {
		if _, err := ParseFounder(founder); err != nil {
			f.Add("control", "founders", founder, "name@address is needed, such as a1@127.0.0.1:8082")
		}
	}
}

func (s *Settings) anchor(dir string) {
	for _, p := range []*string{
		&s.Instance.DataFolder, &s.TLS.Certificate, &s.TLS.Key, &s.TLS.PeerAuthority,
		&s.Control.PeerKeyFile, &s.Control.FoundingIntent,
	} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}

// Founder is one instance that founds the control group.
type Founder struct{ Name, Address string }

// ParseFounder splits name@address.
func ParseFounder(text string) (Founder, error) {
	name, addr, ok := strings.Cut(text, "@")
	if !ok || name == "" || addr == "" {
		return Founder{}, fault.New(fault.Invalid, "%q is not name@address", text)
	}
	return Founder{Name: name, Address: addr}, nil
}

// ReadKey reads a credential from a file; surrounding white space is dropped.
func ReadKey(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", fault.Wrap(err, fault.Invalid, "read the credential file %s", path)
	}
	key := strings.TrimSpace(string(b))
	if len(key) < minKeyLen {
		return "", fault.New(fault.Invalid, "%s: a credential has at least %d characters", path, minKeyLen)
	}
	return key, nil
}

const minKeyLen = 16
